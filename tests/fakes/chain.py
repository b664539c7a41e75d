"""A chain of nodes on a virtual event loop under seeded random load."""

import asyncio
import collections
import dataclasses
import json
import random
import typing as t

from savorytally import clock
from savorytally import node
from savorytally import outcomes
from savorytally import ports
from savorytally import results
from savorytally import settings
from savorytally import view
from savorytally.parts import context
from savorytally.parts import headers
from savorytally.peer import messages
from savorytally.world import host
from savorytally.world import region

from . import documents

HOP_S = 0.0015
# How often a waiting read looks for a newer value.
POLL_S = 0.1


class StoredPlatform:
    """A platform with values that tests publish."""

    def __init__(self, **values: t.Any) -> None:
        self._values: dict[str, ports.Value] = {}
        for name, value in values.items():
            self.publish(name, 1, value)

    def publish(self, name: str, version: int, value: t.Any) -> None:
        """Replace a value."""
        body = json.dumps(value).encode()
        self._values[name] = ports.Value(name, version, body)

    async def read(
        self, name: str, after: int, wait_s: float
    ) -> ports.Value | None:
        """Return a newer value, or ``None`` after ``wait_s`` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while self._values[name].version <= after:
            remaining_s = end - loop.time()
            if remaining_s <= 0.0:
                return None
            await asyncio.sleep(min(remaining_s, POLL_S))
        return self._values[name]


class DelayedPeers:
    """Delivers calls and messages between nodes of a chain with a delay.

    :param host_id: the sending host.
    :param nodes: all nodes of the chain by host.
    """

    def __init__(self, host_id: str, nodes: dict[str, node.Node]) -> None:
        self._host_id = host_id
        self._nodes = nodes

    async def call(
        self,
        target: host.Host,
        call: messages.Call,
        late: ports.LateResult | None = None,
    ) -> ports.CallResult:
        """Run the call at the target's gate."""
        await asyncio.sleep(HOP_S)
        gate = self._nodes[target.host_id].gate
        outcome = await gate.run(call)
        level = gate.shed_level(call)
        await asyncio.sleep(HOP_S)
        return ports.CallResult(outcome, level)

    def send(self, target: host.Host, message: messages.Message) -> None:
        """Deliver a control message."""
        control = self._nodes[target.host_id].control
        loop = asyncio.get_running_loop()
        loop.call_later(HOP_S, control.deliver, self._host_id, message)


class SlottedUpstream:
    """An upstream with a limited number of slots that may make child calls.

    :param slots: number of requests that run at once; others wait.
    :param service_s: mean service time of a request in seconds.
    :param children: path of the child call by path of the request.
    """

    def __init__(
        self, slots: int, service_s: float, children: dict[str, str]
    ) -> None:
        self.slowdown_factor = 1.0
        self.executed: collections.Counter[str] = collections.Counter()
        # Arrival times of requests, and headers added to all answers.
        self.arrival_times: list[float] = []
        self.advertised_headers: outcomes.Headers = ()
        self._slots = asyncio.Semaphore(slots)
        self._service_s = service_s
        self._children = children
        self._random = random.Random(slots)
        self.egress: t.Any = None

    async def exchange(
        self, request: ports.UpstreamRequest, timeout_s: float
    ) -> outcomes.Outcome:
        """Run a request and then its child call, if it has one."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._serve(request)
        except TimeoutError:
            return outcomes.Failure(results.DEADLINE_PASSED)

    async def _serve(self, request: ports.UpstreamRequest) -> outcomes.Outcome:
        self.arrival_times.append(asyncio.get_running_loop().time())
        async with self._slots:
            time_factor = self._random.uniform(0.5, 1.5)
            await asyncio.sleep(
                self._service_s * time_factor * self.slowdown_factor
            )
            self.executed[request.path] += 1
        child = self._children.get(request.path)
        if child is not None:
            token = dict(request.headers)[headers.CALL_TOKEN]
            child_answer = await self.egress.handle(
                context.Request(
                    "GET", child, "", ((headers.CALL_TOKEN, token),), b""
                )
            )
            if (
                isinstance(child_answer, outcomes.Failure)
                or child_answer.status != 200
            ):
                return outcomes.Answer(502, self.advertised_headers, b"")
        return outcomes.Answer(200, self.advertised_headers, b"ok")


@dataclasses.dataclass(frozen=True)
class Site:
    """One host of the chain."""

    host_id: str
    service: str
    number: int


@dataclasses.dataclass
class SentRequest:
    """A logical request of a caller, its result codes and its success."""

    at: float
    organisation: str
    path: str
    served: bool = False
    codes: list[int] = dataclasses.field(default_factory=list)


SITES = (
    Site("browse-0", "browse", 0),
    Site("browse-1", "browse", 1),
    Site("sightings-0", "sightings", 2),
    Site("checklist-0", "checklist", 3),
)
SLOTS = {"browse": 16, "sightings": 16, "checklist": 4}
SERVICE_S = {"browse": 0.010, "sightings": 0.010, "checklist": 0.016}
CHILDREN = {"/species": "/sightings/recent", "/recent": "/checklist/pull"}
OPERATIONS = (
    ("GET", "/browse/species", 0.5),
    ("GET", "/checklist/pull", 0.3),
    ("POST", "/sightings/report", 0.2),
)


def configuration(rate_per_s: float) -> dict[str, t.Any]:
    """Return the chain's configuration document."""
    value = documents.himali()
    routes = value["routes"]
    routes["recent"] = documents.route("recent", "sightings", "browsing")
    for organisation in value["organisations"].values():
        organisation["routes"] = sorted(routes)
        organisation["rate_per_s"] = organisation["burst"] = rate_per_s
    for item in routes.values():
        item["timeout_ms"] = 1_000
    for service, slots in SLOTS.items():
        value["services"][service]["slots"] = slots
    return value


class Chain:
    """Nodes of three chained services, and callers that retry on every node.

    :param policies: the nodes' policies.
    :param rate_per_s: rate and burst of each organisation.
    :param seed: seed of the load.
    """

    def __init__(
        self, policies: settings.Policies, rate_per_s: float, seed: int = 1
    ) -> None:
        self.nodes: dict[str, node.Node] = {}
        self.upstreams: dict[str, SlottedUpstream] = {}
        self.sent: list[SentRequest] = []
        self._policies = policies
        self._clock = clock.VirtualClock()
        self._random = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._platform = StoredPlatform(
            configuration=configuration(rate_per_s),
            hosts={
                site.host_id: documents.host(site.service, site.number, 1)
                for site in SITES
            },
        )

    @property
    def clock(self) -> clock.VirtualClock:
        """The virtual clock of event loop, nodes and callers."""
        return self._clock

    async def start(self) -> None:
        """Start the nodes and wait until they have their configuration."""
        for site in SITES:
            self._add(site)
        self._tasks = [
            asyncio.ensure_future(coroutine)
            for node_ in self.nodes.values()
            for coroutine in (node_.control.run(), node_.watch.run())
        ]
        await asyncio.sleep(8.0)

    async def stop(self) -> None:
        """Cancel the nodes' background tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def load(self, seconds: float, rates: dict[str, float]) -> None:
        """Send requests as a Poisson process.

        :param seconds: duration of the load.
        :param rates: mean requests per second by organisation.
        """
        end = self._clock.now() + seconds
        total = sum(rates.values())
        while True:
            await asyncio.sleep(self._random.expovariate(total))
            if self._clock.now() >= end:
                return
            (organisation,) = self._random.choices(
                list(rates), list(rates.values())
            )
            asyncio.ensure_future(self._request(organisation))

    def publish(self, version: int, **fields: t.Any) -> None:
        """Publish a version of the configuration with further fields."""
        value = configuration(self._rate_per_s)
        value.update(fields, version=version)
        self._platform.publish("configuration", version, value)

    def between(self, start: float, end: float) -> list[SentRequest]:
        """Return the logical requests first sent in a time interval."""
        return [item for item in self.sent if start <= item.at < end]

    def _add(self, site: Site) -> None:
        region_id, centre = documents.PLACES[site.number]
        upstream = SlottedUpstream(
            SLOTS[site.service], SERVICE_S[site.service], CHILDREN
        )
        added = node.Node(
            settings.Settings(
                host_id=site.host_id,
                service_id=site.service,
                place=region.Place(region_id, centre),
                address="127.0.0.1",
                upstream_url="",
                platform_url="",
                policies=self._policies,
                fleet_started_s=self._clock.wall(),
            ),
            ports.Environment(
                clock=self._clock,
                random=random.Random(site.number),
                peers=DelayedPeers(site.host_id, self.nodes),
                upstream=upstream,
                platform=self._platform,
            ),
            view.View(),
        )
        upstream.egress = added.egress
        self.nodes[site.host_id] = added
        self.upstreams[site.host_id] = upstream

    async def _request(self, organisation: str) -> None:
        (operation,) = self._random.choices(
            OPERATIONS, [share for _, _, share in OPERATIONS]
        )
        method, path, _ = operation
        item = SentRequest(self._clock.now(), organisation, path)
        self.sent.append(item)
        key = documents.key_of(organisation)
        request_headers = [(headers.AUTHORIZATION, f"Bearer {key}")]
        if method == "POST":
            request_headers.append(
                (headers.IDEMPOTENCY_KEY, f"k{len(self.sent)}")
            )
        request = context.Request(
            method, path, "", tuple(request_headers), b""
        )
        entries = self._random.sample(list(self.nodes), len(self.nodes))
        for entry in entries:
            outcome = await self.nodes[entry].entry.handle(request)
            item.codes.append(outcome.code.number)
            if isinstance(outcome, outcomes.Answer) and outcome.status == 200:
                item.served = True
                return
            await asyncio.sleep(0.05)
