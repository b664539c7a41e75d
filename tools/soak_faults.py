"""Faults of a soak and their schedule."""

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

# Time after which the address of an upstream that ended is used again.
REUSE_S = 2.0
DRAIN_S = 2.0
# Time by which the list lags behind what a leaving upstream answers.
LISTED_LATE_S = 3.0
# Limits that upstreams name, and how long, as a multiple of a fault's time.
LIMITS_PER_S = (0.0, 0.2, 2.6, 7.6, 15.0)
LIMIT_LASTS = 4.0
# Silence after which the entry of an upstream is removed.
EXPIRY_S = 3.0
PLANNED = "planned"
# Pauses between faults where there are so many hosts.
HOSTS_USUAL = 8
PAUSE_MIN = 0.2
PAUSES_S = (0.05, 0.8)
LASTS_S = (0.2, 2.0)


@dataclasses.dataclass(frozen=True)
class Planned:
    """A fault of the schedule.

    :param at_s: from the start of the run.
    :param kind: what is done.
    :param host: number of the host.
    :param for_s: how long it lasts, if it does.
    :param seed: of what else is drawn.
    """

    at_s: float
    kind: str
    host: int
    for_s: float
    seed: int


@dataclasses.dataclass(frozen=True)
class Injection:
    """A fault that is due in a run."""

    run: "soak.Soak"
    planned: Planned

    @property
    def host(self) -> soak_hosts.Host:
        """The host that it is done to."""
        return self.run.hosts[self.planned.host]

    @property
    def for_s(self) -> float:
        """How long it lasts, if it does."""
        return self.planned.for_s

    @property
    def seed(self) -> int:
        """Of what else is drawn."""
        return self.planned.seed


Inject = t.Callable[[Injection], t.Coroutine[t.Any, t.Any, None]]


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of fault.

    :param inject: does it.
    :param group: what it is done to.
    :param everywhere: whether it is done to all hosts.
    """

    inject: Inject
    group: str
    everywhere: bool


KINDS: dict[str, Kind] = {}
_ALL = frozenset(
    (PLANNED, "leaving", "process", "link", "store", "upstream", "release")
)
# Groups that the faults of a run are drawn from, by its seed.
THEMES = (
    frozenset((PLANNED,)),
    frozenset((PLANNED, "upstream", "leaving")),
    frozenset((PLANNED, "release", "process")),
    frozenset((PLANNED, "process", "link", "store")),
    _ALL,
)


def _fault(
    group: str, everywhere: bool = False
) -> t.Callable[[Inject], Inject]:
    def register(inject: Inject) -> Inject:
        KINDS[inject.__name__] = Kind(inject, group, everywhere)
        return inject

    return register


def schedule(seed: int, hosts: int, seconds: float) -> list[Planned]:
    """Return the faults of a seed; more hosts get more of them."""
    drawn = random.Random(seed)
    theme = THEMES[seed % len(THEMES)]
    kinds = sorted(name for name in KINDS if KINDS[name].group in theme)
    pause = max(PAUSE_MIN, HOSTS_USUAL / hosts)
    planned, at_s = [], 0.5
    while at_s < seconds:
        planned.append(
            Planned(
                at_s,
                drawn.choice(kinds),
                drawn.randrange(hosts),
                drawn.uniform(*LASTS_S),
                drawn.getrandbits(32),
            )
        )
        at_s += drawn.uniform(*PAUSES_S) * pause
    return planned


async def play(run: "soak.Soak", planned: t.Iterable[Planned]) -> None:
    """Inject faults when they are due; they overlap."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.TaskGroup() as group:
        for fault in planned:
            await asyncio.sleep(max(0.0, began + fault.at_s - loop.time()))
            group.create_task(_inject(run, fault))


async def _inject(run: "soak.Soak", planned: Planned) -> None:
    kind = KINDS[planned.kind]
    host = run.hosts[planned.host]
    address = "" if kind.everywhere else host.address
    with run.record.fault(planned.kind, address, kind.group):
        await kind.inject(Injection(run, planned))


async def _stop(run: "soak.Soak", host: soak_hosts.Host) -> None:
    # Noted until the process has ended, which is judged.
    with run.record.fault("stop", host.address, PLANNED):
        await host.stop()


@_fault(PLANNED)
async def restart(fault: Injection) -> None:
    await _stop(fault.run, fault.host)
    await asyncio.sleep(fault.for_s / 4)
    fault.host.start()


@_fault(PLANNED)
async def reload(fault: Injection) -> None:
    fault.host.write_settings(
        f"terms.bounds.quota_slack={fault.seed % 9 + 16}\n"
    )
    fault.host.signal(signal.SIGHUP)


@_fault(PLANNED, everywhere=True)
async def change(fault: Injection) -> None:
    fault.run.put_configuration(fault.seed)


@_fault(PLANNED, everywhere=True)
async def revoke(fault: Injection) -> None:
    fault.run.revoke_key(fault.seed)


@_fault("process")
async def kill(fault: Injection) -> None:
    fault.host.signal(signal.SIGKILL)
    await asyncio.sleep(fault.for_s)
    fault.host.start()


@_fault("process")
async def reload_early(fault: Injection) -> None:
    """Send the signal for changed settings soon after a start."""
    fault.host.signal(signal.SIGKILL)
    await asyncio.sleep(0.1)
    fault.host.start()
    process = fault.host.process
    await asyncio.sleep(fault.for_s / 2)
    fault.host.signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    if process is not None and process.poll() == -signal.SIGHUP:
        fault.run.record.own_ends.append(fault.host.address)
        fault.host.start()


@_fault("process")
async def pause(fault: Injection) -> None:
    process = fault.host.process
    fault.host.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    if process is not None and process.poll() is None:
        process.send_signal(signal.SIGCONT)


@_fault("link")
async def reset_streams(fault: Injection) -> None:
    fault.host.proxy.reset()


@_fault("link")
async def silence_streams(fault: Injection) -> None:
    """Lose what is sent in one direction or in both."""
    ways = ((0,), (1,), (0, 1))[fault.seed % 3]
    for way in ways:
        fault.host.proxy.mute[way] = True
    await asyncio.sleep(fault.for_s)
    for way in ways:
        fault.host.proxy.mute[way] = False


@_fault("link")
async def delay_streams(fault: Injection) -> None:
    fault.host.proxy.delay_s = 0.1
    await asyncio.sleep(fault.for_s)
    fault.host.proxy.delay_s = 0.0


@_fault("store", everywhere=True)
async def store_down(fault: Injection) -> None:
    fault.run.store.status = (429, 503)[fault.seed % 2]
    fault.run.store_proxy.reset()
    await asyncio.sleep(fault.for_s)
    fault.run.store.status = 0


@_fault("store", everywhere=True)
async def store_silent(fault: Injection) -> None:
    fault.run.store_proxy.mute = [True, True]
    await asyncio.sleep(fault.for_s)
    fault.run.store_proxy.mute = [False, False]


@_fault("store", everywhere=True)
async def history_lost(fault: Injection) -> None:
    fault.run.store.forget()
    fault.run.store_proxy.reset()


@_fault("upstream")
async def crash(fault: Injection) -> None:
    """End an upstream; it returns under its identifier."""
    upstream = fault.host.upstream
    if not upstream.up:
        return
    upstream.end()
    await asyncio.sleep(fault.for_s)
    if fault.host.upstream is upstream and not upstream.up:
        await upstream.start()
        fault.run.list_upstream(fault.host)


@_fault("leaving")
async def crash_for_good(fault: Injection) -> None:
    """End an upstream; another service gets its address."""
    upstream = fault.host.upstream
    if not upstream.up or not fault.run.may_replace(fault.host):
        return
    upstream.end()
    await asyncio.gather(
        _replace(fault),
        _expire(fault.run, upstream.instance_id),
    )


async def _expire(run: "soak.Soak", instance_id: str) -> None:
    await asyncio.sleep(EXPIRY_S)
    run.store.delete(f"servers/{instance_id}")


async def _replace(fault: Injection) -> None:
    await asyncio.gather(_stop(fault.run, fault.host), asyncio.sleep(REUSE_S))
    await fault.run.replace_upstream(fault.host, fault.seed)
    fault.host.start()


@_fault(PLANNED)
async def leave(fault: Injection) -> None:
    """Let an upstream drain and end; another service gets its address."""
    upstream = fault.host.upstream
    if (
        not upstream.up
        or upstream.leaving
        or not fault.run.may_replace(fault.host)
    ):
        return
    key = f"servers/{upstream.instance_id}"
    # Its answers say so, and at times the list only later.
    upstream.leaving = True
    await asyncio.sleep(LISTED_LATE_S * (fault.seed % 2))
    if not upstream.up:
        return
    if fault.seed % 3:
        fault.run.store.put(key, fault.host.entry("draining"))
    else:
        fault.run.store.delete(key)
    fault.run.record.leaving[upstream.instance_id] = time.time()
    await asyncio.sleep(DRAIN_S + fault.for_s)
    fault.run.store.delete(key)
    if not upstream.up:
        return
    upstream.end()
    await _replace(fault)


async def _name_limit(
    fault: Injection, host: soak_hosts.Host, limit_per_s: float
) -> None:
    upstream = host.upstream
    if not upstream.up or upstream.limit_per_s is not None:
        return
    began, start = time.time(), upstream.start_id
    upstream.limit_per_s = limit_per_s
    await asyncio.sleep(fault.for_s * LIMIT_LASTS)
    if upstream.start_id == start:
        upstream.limit_per_s = None
    fault.run.record.limits.append(
        soak_record.Limit(start, limit_per_s, began, time.time())
    )


@_fault(PLANNED)
async def name_limit(fault: Injection) -> None:
    """Let an upstream, or all of its service, name a limit."""
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
            group.create_task(_name_limit(fault, host, limit_per_s))


@_fault("release")
async def bad_release(fault: Injection) -> None:
    """Let all upstreams of a service, or of some, fail often."""
    services = {fault.host.upstream.service}
    if fault.seed % 2:
        services = set(soak_upstreams.TOP)
    harmed = [
        other.upstream
        for other in fault.run.hosts
        if other.upstream.service in services
    ]
    for upstream in harmed:
        upstream.harm["fail"] = 0.9
    await asyncio.sleep(fault.for_s * 5)
    for upstream in harmed:
        upstream.harm["fail"] = 0.0


@_fault("upstream")
async def drop_idle(fault: Injection) -> None:
    """End idle connections of an upstream without notice."""
    for _ in range(int(fault.for_s / 0.1)):
        fault.host.upstream.drop_connections(idle_only=True)
        await asyncio.sleep(0.1)


def _harm(kind: str, part: float) -> None:
    """Register a fault that harms a part of an upstream's answers."""

    async def inject(fault: Injection) -> None:
        harm = fault.host.upstream.harm
        harm[kind] = part
        await asyncio.sleep(fault.for_s)
        harm[kind] = 0.0

    inject.__name__ = f"answers_{kind}"
    _fault("upstream")(inject)


for _kind, _part in (
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
    ("trickle", 0.2),
):
    _harm(_kind, _part)
