"""Faults of a soak run and their schedule."""

import asyncio
import dataclasses
import random
import signal
import time
import typing as t

from tools import soak_hosts
from tools import soak_record
from tools import soak_upstreams

if t.TYPE_CHECKING:
    from tools import soak

# Time after which the address of a stopped upstream is reused.
ADDRESS_REUSE_DELAY_S = 2.0
DRAIN_TIME_S = 2.0
# Delay of the host list after an upstream has advertised draining.
LIST_DELAY_S = 3.0
# Rate limits that upstreams advertise, and the duration as a multiple of the
# duration of the fault.
LIMITS_PER_S = (0.0, 0.2, 2.6, 7.6, 15.0)
LIMIT_DURATION_FACTOR = 4.0
# Time that a configuration is in force before a restored store loses it, and
# until the first lost write is repeated.
LOST_TIME_S = 3.5
REWRITE_DELAY_S = 1.8
# Time for which a data centre stays evacuated, beyond the fault's duration.
EVACUATION_S = 5.5
# Time from the end of a process until it is started again.
RESTART_S = 0.2
# Time after which the store removes the entry of a crashed upstream.
ENTRY_EXPIRY_S = 3.0
# Fields of an odd entry in the store, each with a value that no entry has.
ODD_FIELDS = (
    ("sequence", 1 << 70),
    ("slots", 10**400),
    ("born", 1 << 64),
    ("address", "127.0.0.1:70000"),
    ("address", "127.0.0.1:-1"),
    ("zone", "\ud800"),
    ("service", "desk\r\nx: y"),
    ("cold_remaining", "1e300s"),
    ("state", ["ready"]),
)
# Largest time from a change to a silence of the store: the pause of readers
# after a change, in which they do not wait for the next one.
SILENT_AFTER_MAX_MS = 600
# Duration of the store's silence as a multiple of the duration of the fault,
# and least time between the starts of two silences, so that the checks apply
# in between.
SILENCE_FACTOR = 2.0
SILENCE_INTERVAL_S = 8.0
# Time from one spell of slow work to the next, with as many hosts as above.
SLOW_PAUSE_RANGE_S = (0.2, 1.0)
# Duration of a spell of slow work as a multiple of that of the fault.
SLOW_FACTOR = 4.0
PLANNED = "planned"
# Changes that restart nothing, so that no node starts with a fresh read.
CHANGES = "changes"
SILENCE = "silence"
# Pauses between faults, scaled inversely to the number of hosts.
REFERENCE_HOSTS = 8
PAUSE_FACTOR_MIN = 0.2
PAUSE_RANGE_S = (0.05, 0.8)
DURATION_RANGE_S = (0.2, 2.0)


@dataclasses.dataclass(frozen=True)
class PlannedFault:
    """A scheduled fault.

    :param at_s: time since the start of the run, in seconds.
    :param kind: name of the fault, a key of ``KINDS``.
    :param host: number of the host.
    :param duration_s: duration in seconds, unused by momentary faults.
    :param seed: seed of the other choices that the fault makes.
    """

    at_s: float
    kind: str
    host: int
    duration_s: float
    seed: int


@dataclasses.dataclass(frozen=True)
class ActiveFault:
    """A scheduled fault that is being injected into a run."""

    run: "soak.Soak"
    planned: PlannedFault

    @property
    def host(self) -> soak_hosts.Host:
        """The host that the fault affects."""
        return self.run.hosts[self.planned.host]

    @property
    def duration_s(self) -> float:
        """The duration in seconds, unused by momentary faults."""
        return self.planned.duration_s

    @property
    def seed(self) -> int:
        """The seed of the other choices that the fault makes."""
        return self.planned.seed


Inject = t.Callable[[ActiveFault], t.Coroutine[t.Any, t.Any, None]]


@dataclasses.dataclass(frozen=True)
class FaultKind:
    """A registered kind of fault.

    :param inject: injects the fault.
    :param group: group of faults that it belongs to.
    :param all_hosts: whether it affects all hosts.
    """

    inject: Inject
    group: str
    all_hosts: bool


KINDS: dict[str, FaultKind] = {}
_ALL = frozenset(
    (
        *(PLANNED, CHANGES, "leaving", "process", "link", "store", SILENCE),
        *("upstream", "release", "writer", "zone"),
    )
)
# Groups that the faults of a run are drawn from, by seed modulo length.
GROUPS_BY_SEED = (
    frozenset((PLANNED, CHANGES)),
    frozenset((PLANNED, CHANGES, "upstream", "leaving")),
    frozenset((PLANNED, CHANGES, "release", "process", "zone")),
    frozenset(
        (PLANNED, CHANGES, "process", "link", "store", "writer", SILENCE)
    ),
    _ALL,
    frozenset((CHANGES, SILENCE)),
)


def _fault(
    group: str, everywhere: bool = False
) -> t.Callable[[Inject], Inject]:
    def register(inject: Inject) -> Inject:
        KINDS[inject.__name__] = FaultKind(inject, group, everywhere)
        return inject

    return register


def schedule(seed: int, hosts: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a seed, more of them with more hosts."""
    generator = random.Random(seed)
    groups = GROUPS_BY_SEED[seed % len(GROUPS_BY_SEED)]
    kinds = sorted(name for name in KINDS if KINDS[name].group in groups)
    pause = max(PAUSE_FACTOR_MIN, REFERENCE_HOSTS / hosts)
    planned, at_s, silence_from_s = [], 0.5, 0.0
    while at_s < seconds:
        fault = PlannedFault(
            at_s,
            generator.choice(kinds),
            generator.randrange(hosts),
            generator.uniform(*DURATION_RANGE_S),
            generator.getrandbits(32),
        )
        silent = KINDS[fault.kind].group == SILENCE
        if not silent or at_s >= silence_from_s:
            planned.append(fault)
            if silent:
                silence_from_s = at_s + SILENCE_INTERVAL_S
        at_s += generator.uniform(*PAUSE_RANGE_S) * pause
    return planned


def slow_spells(seed: int, hosts: int, seconds: float) -> list[PlannedFault]:
    """Return the spells of slow work of a seed that plans operations.

    They are drawn apart from the other faults, which they don't replace.
    """
    if PLANNED not in GROUPS_BY_SEED[seed % len(GROUPS_BY_SEED)]:
        return []
    generator = random.Random(f"slow work of {seed}")
    pause = max(PAUSE_FACTOR_MIN, REFERENCE_HOSTS / hosts)
    planned, at_s = [], 0.0
    while at_s < seconds:
        planned.append(
            PlannedFault(
                at_s,
                slow_work.__name__,
                generator.randrange(hosts),
                generator.uniform(*DURATION_RANGE_S),
                generator.getrandbits(32),
            )
        )
        at_s += generator.uniform(*SLOW_PAUSE_RANGE_S) * pause
    return planned


async def play(run: "soak.Soak", planned: t.Iterable[PlannedFault]) -> None:
    """Inject each fault when it is due; faults may overlap."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.TaskGroup() as group:
        for fault in planned:
            await asyncio.sleep(max(0.0, began + fault.at_s - loop.time()))
            group.create_task(_inject(run, fault))


async def _inject(run: "soak.Soak", planned: PlannedFault) -> None:
    kind = KINDS.get(planned.kind, SLOW_WORK)
    host = run.hosts[planned.host]
    address = "" if kind.all_hosts else host.address
    with run.record.fault(planned.kind, address, kind.group):
        await kind.inject(ActiveFault(run, planned))


async def slow_work(fault: ActiveFault) -> None:
    """Let some work of an upstream, or of its service, be slow for a while.

    A spell affects the long route of the service, and every second one its
    short route too.
    """
    service = fault.host.upstream.service
    affected = [
        host.upstream
        for host in fault.run.hosts
        if host is fault.host
        or (fault.seed % 3 and host.upstream.service == service)
    ]
    routes = [f"{service}{soak_record.LONG}", service][: 1 + fault.seed % 2]
    until = time.time() + fault.duration_s * SLOW_FACTOR
    for upstream in affected:
        for route in routes:
            known = upstream.slow_until.get(route, 0.0)
            upstream.slow_until[route] = max(known, until)
    await asyncio.sleep(fault.duration_s * SLOW_FACTOR)


# Not registered with the others, since its spells are drawn apart.
SLOW_WORK = FaultKind(slow_work, PLANNED, False)


async def _stop(run: "soak.Soak", host: soak_hosts.Host) -> None:
    # Recorded until the process has exited, since the checks cover the stop.
    with run.record.fault("stop", host.address, PLANNED):
        await host.stop()


@_fault(PLANNED)
async def restart(fault: ActiveFault) -> None:
    await _stop(fault.run, fault.host)
    await asyncio.sleep(fault.duration_s / 4)
    fault.host.start()


@_fault(PLANNED)
async def reload(fault: ActiveFault) -> None:
    fault.host.write_settings(
        f"terms.bounds.quota_slack={fault.seed % 9 + 16}\n"
    )
    fault.host.signal(signal.SIGHUP)


@_fault(CHANGES, everywhere=True)
async def change(fault: ActiveFault) -> None:
    fault.run.put_configuration(fault.seed)


@_fault(CHANGES, everywhere=True)
async def revoke(fault: ActiveFault) -> None:
    fault.run.revoke_key(fault.seed)


@_fault("process")
async def kill(fault: ActiveFault) -> None:
    fault.host.signal(signal.SIGKILL)
    await asyncio.sleep(fault.duration_s)
    fault.host.start()


@_fault("process")
async def reload_early(fault: ActiveFault) -> None:
    """Send the reload signal soon after a node's start."""
    fault.host.signal(signal.SIGKILL)
    await asyncio.sleep(0.1)
    fault.host.start()
    process = fault.host.process
    await asyncio.sleep(fault.duration_s / 2)
    fault.host.signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    if process is not None and process.poll() == -signal.SIGHUP:
        fault.run.record.unexpected_exits.append(fault.host.address)
        fault.host.start()


@_fault("process")
async def pause(fault: ActiveFault) -> None:
    process = fault.host.process
    fault.host.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    if process is not None and process.poll() is None:
        process.send_signal(signal.SIGCONT)


@_fault("link")
async def reset_streams(fault: ActiveFault) -> None:
    fault.host.proxy.reset()


@_fault("link")
async def silence_streams(fault: ActiveFault) -> None:
    """Drop the data of peer streams in one direction or in both."""
    directions = ((0,), (1,), (0, 1))[fault.seed % 3]
    for direction in directions:
        fault.host.proxy.blackholed[direction] = True
    await asyncio.sleep(fault.duration_s)
    for direction in directions:
        fault.host.proxy.blackholed[direction] = False


@_fault("link")
async def delay_streams(fault: ActiveFault) -> None:
    fault.host.proxy.delay_s = 0.1
    await asyncio.sleep(fault.duration_s)
    fault.host.proxy.delay_s = 0.0


@_fault("store", everywhere=True)
async def store_down(fault: ActiveFault) -> None:
    fault.run.store.status = (429, 503)[fault.seed % 2]
    fault.run.store_proxy.reset()
    await asyncio.sleep(fault.duration_s)
    fault.run.store.status = 0


@_fault("store", everywhere=True)
async def store_silent(fault: ActiveFault) -> None:
    fault.run.store_proxy.blackholed = [True, True]
    await asyncio.sleep(fault.duration_s)
    fault.run.store_proxy.blackholed = [False, False]


@_fault(SILENCE, everywhere=True)
async def store_hung(fault: ActiveFault) -> None:
    """Let the store take requests and answer none, often after a change.

    Later it works on new connections, while the others stay silent.
    """
    await _change_before(fault)
    fault.run.store_proxy.silence(later=True)
    await asyncio.sleep(fault.duration_s * SILENCE_FACTOR)
    fault.run.store_proxy.silence(later=False)


@_fault(SILENCE, everywhere=True)
async def store_connections_silent(fault: ActiveFault) -> None:
    """Let the open connections to the store fall silent; new ones work."""
    await _change_before(fault)
    fault.run.store_proxy.silence(later=False)


async def _change_before(fault: ActiveFault) -> None:
    if fault.seed % 4:
        fault.run.put_configuration(fault.seed)
        await asyncio.sleep(fault.seed // 4 % SILENT_AFTER_MAX_MS / 1000)


@_fault("store", everywhere=True)
async def history_lost(fault: ActiveFault) -> None:
    fault.run.store.forget()
    fault.run.store_proxy.reset()


@_fault("store", everywhere=True)
async def store_restored(fault: ActiveFault) -> None:
    """Restore the store from a copy, then write again what it has lost."""
    run = fault.run
    copied = run.store.copy()
    await asyncio.sleep(fault.duration_s)
    run.put_configuration(fault.seed)
    await asyncio.sleep(LOST_TIME_S)
    if fault.seed % 4:
        run.store.status = 503
        run.store_proxy.reset()
        await asyncio.sleep(fault.duration_s / 2)
        run.store.status = 0
    run.store.restore(copied)
    if fault.seed % 3:
        # The host starts while the store holds the copy.
        with run.record.fault("kill", fault.host.address, "process"):
            fault.host.signal(signal.SIGKILL)
            await asyncio.sleep(RESTART_S)
            fault.host.start()
    await asyncio.sleep(REWRITE_DELAY_S)
    await run.rewrite_store()


@_fault("writer", everywhere=True)
async def odd_entry(fault: ActiveFault) -> None:
    """Let another writer hold an entry of odd values among the upstreams'."""
    name, value = ODD_FIELDS[fault.seed % len(ODD_FIELDS)]
    key = f"servers/odd-{fault.seed}"
    fault.run.store.put(key, {**fault.host.entry(), name: value})
    await asyncio.sleep(fault.duration_s)
    fault.run.store.delete(key)


@_fault("zone", everywhere=True)
async def evacuate(fault: ActiveFault) -> None:
    """Evacuate a data centre and take it back."""
    run, zone = fault.run, fault.host.zone
    if zone in run.evacuated:
        return
    began = run.evacuate(zone)
    await asyncio.sleep(EVACUATION_S + fault.duration_s)
    run.take_back(zone, began)


@_fault("zone", everywhere=True)
async def confine(fault: ActiveFault) -> None:
    """Confine a service's requests to a region until the end of the run."""
    run, service = fault.run, fault.host.upstream.service
    if service not in run.homes:
        run.confine(service, run.regions[fault.seed % len(run.regions)])
        run.put_configuration(fault.seed)


@_fault("upstream")
async def crash(fault: ActiveFault) -> None:
    """Crash an upstream and restart it under the same identifier."""
    upstream = fault.host.upstream
    if not upstream.up:
        return
    upstream.end()
    await asyncio.sleep(fault.duration_s)
    if fault.host.upstream is upstream and not upstream.up:
        await upstream.start(cold=True)
        fault.run.list_upstream(fault.host)


@_fault("leaving")
async def crash_for_good(fault: ActiveFault) -> None:
    """Crash an upstream and start another service on its address."""
    upstream = fault.host.upstream
    if not upstream.up or not fault.run.may_replace(fault.host):
        return
    upstream.end()
    await asyncio.gather(
        _replace(fault),
        _expire(fault.run, upstream.instance_id),
    )


async def _expire(run: "soak.Soak", instance_id: str) -> None:
    await asyncio.sleep(ENTRY_EXPIRY_S)
    run.store.delete(f"servers/{instance_id}")


async def _replace(fault: ActiveFault) -> None:
    await asyncio.gather(
        _stop(fault.run, fault.host), asyncio.sleep(ADDRESS_REUSE_DELAY_S)
    )
    await fault.run.replace_upstream(fault.host, fault.seed)
    fault.host.start()


@_fault(PLANNED)
async def leave(fault: ActiveFault) -> None:
    """Drain and stop an upstream, start another service on its address."""
    upstream = fault.host.upstream
    if (
        not upstream.up
        or upstream.draining
        or not fault.run.may_replace(fault.host)
    ):
        return
    key = f"servers/{upstream.instance_id}"
    # Responses advertise draining at once, the host list sometimes later.
    upstream.draining = True
    await asyncio.sleep(LIST_DELAY_S * (fault.seed % 2))
    if not upstream.up:
        return
    if fault.seed % 3:
        fault.run.store.put(key, fault.host.entry("draining"))
    else:
        fault.run.store.delete(key)
    fault.run.record.draining_since[upstream.incarnation_id] = time.time()
    await asyncio.sleep(DRAIN_TIME_S + fault.duration_s)
    fault.run.store.delete(key)
    if not upstream.up:
        return
    upstream.end()
    await _replace(fault)


async def _advertise_limit(
    fault: ActiveFault, host: soak_hosts.Host, limit_per_s: float
) -> None:
    upstream = host.upstream
    if not upstream.up or upstream.limit_per_s is not None:
        return
    began, incarnation = time.time(), upstream.incarnation_id
    upstream.limit_per_s = limit_per_s
    await asyncio.sleep(fault.duration_s * LIMIT_DURATION_FACTOR)
    if upstream.incarnation_id == incarnation:
        upstream.limit_per_s = None
    fault.run.record.advertised_limits.append(
        soak_record.AdvertisedLimit(
            incarnation, limit_per_s, began, time.time()
        )
    )


@_fault(PLANNED)
async def name_limit(fault: ActiveFault) -> None:
    """Let an upstream, or all of its service, advertise a rate limit."""
    service = fault.host.upstream.service
    limited = [fault.host]
    if fault.seed % 4 == 0:
        limited = [
            host
            for host in fault.run.hosts
            if host.upstream.service == service
        ]
    limit_per_s = LIMITS_PER_S[fault.seed % len(LIMITS_PER_S)]
    async with asyncio.TaskGroup() as group:
        for host in limited:
            group.create_task(_advertise_limit(fault, host, limit_per_s))


@_fault("release")
async def bad_release(fault: ActiveFault) -> None:
    """Let most requests fail at all upstreams of one or more services."""
    services = {fault.host.upstream.service}
    if fault.seed % 2:
        services = set(soak_upstreams.ENTRY_SERVICES)
    affected = [
        other.upstream
        for other in fault.run.hosts
        if other.upstream.service in services
    ]
    for upstream in affected:
        upstream.fault_probability["fail"] = 0.9
    await asyncio.sleep(fault.duration_s * 5)
    for upstream in affected:
        upstream.fault_probability["fail"] = 0.0


@_fault("upstream")
async def drop_idle(fault: ActiveFault) -> None:
    """Abort idle connections of an upstream."""
    for _ in range(int(fault.duration_s / 0.1)):
        fault.host.upstream.drop_connections(idle_only=True)
        await asyncio.sleep(0.1)


def _register_response_fault(kind: str, fraction: float) -> None:
    """Register a fault that affects a fraction of an upstream's responses.

    :param kind: kind of fault.
    :param fraction: probability of the fault for each response.
    """

    async def inject(fault: ActiveFault) -> None:
        probability = fault.host.upstream.fault_probability
        probability[kind] = fraction
        await asyncio.sleep(fault.duration_s)
        probability[kind] = 0.0

    inject.__name__ = f"answers_{kind}"
    _fault("upstream")(inject)


for _kind, _fraction in (
    ("reject", 0.5),
    ("reject_twice", 0.2),
    ("reject_late", 0.2),
    ("fail", 0.7),
    ("lose", 0.5),
    ("cut", 0.5),
    ("garble", 0.5),
    ("twice", 0.5),
    ("late", 0.5),
    ("close", 0.3),
    ("endless", 0.1),
    ("tiny_chunks", 0.1),
    ("odd_status", 0.5),
    ("trickle", 0.2),
):
    _register_response_fault(_kind, _fraction)
