"""Calls that wait at a gate do not reach an upstream that has long left."""

import asyncio

from fakes import mesh
from fakes import net
from fakes import stops
import pytest

DRAIN_S = 2.0
# Requests that take longer together than the drain time, and their work.
REQUESTS = 300
WORK_S = 0.05


def drains(cluster, host):
    """Let the upstream say in the host list that it drains."""
    cluster.store.put(host.key, host.entry(state="draining"))


def is_removed(cluster, host):
    """Remove the upstream's entry, without draining."""
    cluster.store.delete(host.key)


def is_replaced(cluster, host):
    """Replace the entry by that of another instance at the address."""
    host.upstream.instance_id = "i-next"
    cluster.store.delete(host.key)
    cluster.store.put("servers/i-next", host.entry(slots=4))


def is_hidden(cluster, host):
    """Add an entry of a later instance; the earlier one has not expired."""
    cluster.store.put("servers/i-next", host.entry(slots=4))


def moves(cluster, host):
    """Give the address to another service."""
    cluster.store.delete(host.key)
    entry = host.entry(slots=4) | {"service": "desk"}
    cluster.store.put("servers/i-next", entry)


def drains_and_is_removed(cluster, host):
    """Remove the entry of the upstream while it drains."""
    drains(cluster, host)
    asyncio.get_running_loop().call_later(0.5, is_removed, cluster, host)


def flaps(cluster, host):
    """Remove, restore and remove the entry."""
    is_removed(cluster, host)
    loop = asyncio.get_running_loop()
    loop.call_later(0.2, cluster.store.put, host.key, host.entry())
    loop.call_later(0.9, is_removed, cluster, host)


WAYS = (drains, is_removed, is_replaced, is_hidden, moves)


def run(leave, news_late=False, left_after_s=0.0, services=stops.SERVICES):
    """Let an upstream leave while calls wait at its gate.

    :param leave: makes it leave.
    :param news_late: whether the change follows another one, so that the
        readers of the store get it later.
    :return: times since the change at which calls reached the upstream, and
        the statuses of all requests.
    """
    arrivals = []

    async def scenario(cluster):
        leaving = stops.hosts_of(cluster, "drawers")[0]
        sender = stops.hosts_of(cluster, "desk")[0]
        loop = asyncio.get_running_loop()
        for host in cluster.hosts:
            host.upstream.echoes_refused = True
        leaving.upstream.observed = lambda *_: arrivals.append(loop.time())
        stops.set_work_s(cluster, WORK_S)
        sent = [
            stops.send_later(cluster, sender, f"r{number}")
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(1.0)
        if news_late:
            cluster.store.put(sender.key, sender.entry(sequence=2))
            await asyncio.sleep(0.05)
        left_at = loop.time() + left_after_s
        leave(cluster, leaving)
        replies = await asyncio.gather(*sent)
        statuses = [reply.status for reply in replies]
        return [at - left_at for at in arrivals], statuses

    return stops.run_scenario(scenario, services, slots=2)


@pytest.mark.parametrize("news_late", [False, True])
@pytest.mark.parametrize("leave", WAYS)
def test_waiting_calls_do_not_reach_an_upstream_that_has_left(
    leave, news_late
):
    """Only calls of an upstream that is listed as draining were refused."""
    arrivals, statuses = run(leave, news_late)
    assert max(arrivals) < DRAIN_S
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) > REQUESTS / 6


def test_entry_that_is_removed_while_draining_changes_nothing():
    arrivals, statuses = run(drains_and_is_removed)
    assert max(arrivals) < DRAIN_S
    assert set(statuses) <= {200, 503}


def test_drain_time_counts_from_the_latest_removal():
    arrivals, statuses = run(flaps, left_after_s=0.9)
    assert max(arrivals) < DRAIN_S
    assert set(statuses) <= {200, 503}


def test_waiting_calls_are_refused_when_the_drain_time_ends():
    """They waited until a slot was free, and had no time left then."""

    async def scenario(cluster):
        leaving = stops.hosts_of(cluster, "drawers")[0]
        sender = stops.hosts_of(cluster, "desk")[0]
        stops.set_work_s(cluster, 6.0)
        for host in stops.hosts_of(cluster, "drawers")[1:]:
            host.upstream.work_s = 0.01
        sent = [
            stops.send_later(cluster, sender, f"r{number}")
            for number in range(12)
        ]
        await asyncio.sleep(0.5)
        assert leaving.node.gate.queue.waiting > 1
        is_removed(cluster, leaving)
        await asyncio.sleep(DRAIN_S + 0.2)
        waiting = leaving.node.gate.queue.waiting
        replies = await asyncio.gather(*sent)
        return waiting, [reply.status for reply in replies]

    waiting, statuses = stops.run_scenario(scenario, slots=2)
    assert waiting == 0
    assert statuses == [200] * 12


def test_upstream_that_is_listed_again_gets_its_calls():
    """An entry that was lost for a moment does not end the service."""

    async def scenario(cluster):
        host = stops.hosts_of(cluster, "drawers")[0]
        sender = stops.hosts_of(cluster, "desk")[0]
        await cluster.send(sender)
        is_removed(cluster, host)
        await asyncio.sleep(1.0)
        cluster.store.put(host.key, host.entry())
        await asyncio.sleep(DRAIN_S)
        return (await cluster.send(sender)).status

    services = {"drawers": ["low-a"], "desk": ["low-a"]}
    assert stops.run_scenario(scenario, services) == 200


def test_lapsed_entry_of_the_only_upstream_is_still_served():
    """Its own node asks it; leaving upstreams say so."""

    async def scenario(cluster):
        host = stops.hosts_of(cluster, "drawers")[0]
        sender = stops.hosts_of(cluster, "desk")[0]
        await cluster.send(sender)
        is_removed(cluster, host)
        await asyncio.sleep(DRAIN_S + 1.0)
        served = (await cluster.send(sender)).status
        host.upstream.leaving = True
        await asyncio.sleep(2.0)
        return served, (await cluster.send(sender)).status

    config = mesh.configuration(1)
    config["services"] = {"drawers": {"health_path": "/healthz"}}
    services = {"drawers": ["low-a"], "desk": ["low-a"]}

    async def work():
        cluster = mesh.Mesh()
        await cluster.start(services, config=config)
        return await scenario(cluster)

    assert net.run(work) == (200, 503)
