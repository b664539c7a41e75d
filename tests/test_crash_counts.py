"""Crashes are counted although hosts that should count them are not there."""

import asyncio
import zlib

from fakes import mesh
from fakes import net
import hypothesis
from hypothesis import strategies as st
import pytest

from savorytally.decisions import crash_reports
from savorytally.decisions import poison_requests

SERVICES = {"drawers": ["low-a", "low-b"] * 2, "desk": ["low-a", "low-b"] * 2}
TARGET = "/drawers/bad"
RESTART_S = 0.4
# Time between two requests, in which each upstream returns and news spreads.
PAUSE_S = 1.5
REQUESTS = 10
# Crashes that convict a request, and one that crosses the conviction.
CRASHES_MAX = 4
FINGERPRINT = poison_requests.fingerprint(
    "growers", b"GET", TARGET.encode(), b""
)


def rank(address):
    """Return the weight by which a host is chosen to count the crashes."""
    return zlib.crc32(f"{FINGERPRINT} {address}".encode())


def crash(cluster, host):
    """End a host's upstream; it is back after some time."""
    place = (host.address, mesh.UPSTREAM_PORT)
    server = cluster.net.servers.pop(place, None)
    cluster.net.reset(*place)
    if server is not None:
        asyncio.get_running_loop().call_later(
            RESTART_S, cluster.net.servers.setdefault, place, server
        )


def put_foreign_entries(cluster, count=1):
    """Write entries of another writer, whose hosts are chosen first."""
    highest = max(rank(host.address) for host in cluster.hosts)
    addresses = [f"10.9.{n // 250}.{n % 250 + 1}" for n in range(20_000)]
    chosen = [one for one in addresses if rank(one) > highest][:count]
    for number, address in enumerate(chosen):
        entry = cluster.hosts[0].entry() | {
            "service": "not-named-here",
            "address": f"{address}:{mesh.UPSTREAM_PORT}",
        }
        cluster.store.put(f"servers/i-other-{number}", entry)
    return chosen


def counting_hosts(cluster):
    """Return the hosts in the order in which they should count."""
    return sorted(
        cluster.hosts, key=lambda host: rank(host.address), reverse=True
    )


def play(prepare, after=None):
    """Send a request that crashes its upstreams again and again.

    :param prepare: called with the mesh before the first request.
    :param after: called with the mesh and the number of requests sent.
    :return: the addresses of the upstreams that it has crashed.
    """
    crashes = []

    async def scenario():
        cluster = mesh.Mesh()
        await cluster.start(SERVICES)
        prepare(cluster)
        await asyncio.sleep(1.0)
        for host in cluster.hosts:

            async def calls(headers, host=host):
                if headers["x-savorytally-attempt-id"].startswith("boom"):
                    crashes.append(host.address)
                    crash(cluster, host)
                    await asyncio.sleep(RESTART_S)
                return 200

            host.upstream.calls = calls
        entries = [
            host for host in cluster.hosts if host.service_name == "desk"
        ]
        for number in range(REQUESTS):
            await cluster.send(
                entries[number % 2], TARGET, request_id=f"boom-{number}"
            )
            if after is not None:
                await after(cluster, number + 1)
            await asyncio.sleep(PAUSE_S)

    net.run(scenario)
    return crashes


@pytest.mark.parametrize("count", [1, 3, 12])
def test_foreign_entries_do_not_take_the_counts(count):
    """A host without a node was chosen to count, and nobody counted."""
    crashes = play(lambda cluster: put_foreign_entries(cluster, count))
    assert 3 <= len(crashes) <= CRASHES_MAX


def test_silent_address_does_not_take_the_counts():
    """Frames to an address that never answers were lost without notice."""

    def prepare(cluster):
        for address in put_foreign_entries(cluster, 2):
            cluster.net.unreachable.add((address, mesh.PEER_PORT))

    assert 3 <= len(play(prepare)) <= CRASHES_MAX


def test_host_that_is_down_does_not_take_the_counts():
    """The node of a listed host was down, and nobody counted."""

    def prepare(cluster):
        host = counting_hosts(cluster)[0]
        if host.service_name == "drawers":
            crash(cluster, host)
        host.node._store_watch.stop()
        for port in (mesh.ENTRY_PORT, mesh.READY_PORT, mesh.PEER_PORT):
            cluster.net.servers.pop((host.address, port))
            cluster.net.reset(host.address, port)

    assert 3 <= len(play(prepare)) <= CRASHES_MAX


def test_suspended_host_does_not_take_the_counts():
    """A host that takes frames without reading them was chosen."""

    def prepare(cluster):
        host = counting_hosts(cluster)[0]
        cluster.net.drop_data(host.address, mesh.PEER_PORT)
        # Later connections are accepted and not read.
        cluster.net.servers[host.address, mesh.PEER_PORT] = lambda: (
            mesh.HttpServer(lambda connection: None)
        )

    assert 3 <= len(play(prepare)) <= CRASHES_MAX


@pytest.mark.parametrize("restarted", [0, 1, 2])
def test_restart_of_one_counting_host_does_not_lose_the_count(restarted):
    """One host alone knew the crashes so far."""

    async def after(cluster, sent):
        if sent == 2:
            await counting_hosts(cluster)[restarted].restart_node()

    assert 3 <= len(play(lambda cluster: None, after)) <= CRASHES_MAX


def test_restarted_nodes_learn_which_requests_are_refused():
    """Nothing told a node that started later, and its upstream crashed."""

    async def after(cluster, sent):
        if sent == 5:
            for host in cluster.hosts:
                await host.restart_node()
                await asyncio.sleep(0.5)

    assert 3 <= len(play(lambda cluster: None, after)) <= CRASHES_MAX


def test_refusal_that_has_lapsed_can_be_repeated():
    """Hosts that did not count kept the lapsed time of the first refusal."""
    known = poison_requests.PoisonRequests()
    update = poison_requests.Update(poison_requests.State.CONVICTED, 7)
    assert known.apply_update(update, 1.0)
    later = 2.0 + poison_requests.REFUSED_S
    assert known.refused_s(7, later) == 0.0
    assert known.apply_update(update, later)
    assert known.refused_s(7, later) > 0.0


def deliver(reports, report, replying):
    """Deliver a report among hosts that reply or not; return who counted."""
    counted = set()
    chosen = reports.distribute([report])
    while chosen:
        again = []
        for address, group in sorted(chosen.items()):
            number = reports.sending(group)
            if address in replying:
                counted.add(address)
                reports.replied(number)
            else:
                again += reports.lost(number)
        chosen = reports.distribute(again)
    return counted


@hypothesis.given(
    st.integers(0, 1 << 32),
    st.sets(st.integers(0, 99), min_size=1, max_size=60),
    st.sets(st.integers(0, 99), max_size=40),
)
def test_crashes_of_a_request_are_counted_in_common(fingerprint, up, down):
    """Whoever reports and whoever is down, three hosts count them all."""
    addresses = {f"10.1.0.{number}" for number in up | down}
    replying = {f"10.1.0.{number}" for number in up - down}
    sets = []
    for _ in range(2):
        hosts = crash_reports.counting_hosts(fingerprint, addresses)
        report = crash_reports.Report(fingerprint, hosts)
        counted = deliver(crash_reports.CrashReports(), report, replying)
        assert report.failed == (len(counted) < crash_reports.COUNTING_HOSTS)
        sets.append(counted)
    tried = crash_reports.counting_hosts(fingerprint, addresses)
    reached = [one for one in tried if one in replying]
    first = set(reached[: crash_reports.COUNTING_HOSTS])
    assert sets[0] == sets[1]
    assert first <= sets[0] <= set(reached)


def test_search_notices_a_report_that_is_not_passed_on(monkeypatch):
    monkeypatch.setattr(crash_reports.CrashReports, "lost", lambda *_: [])
    addresses = [f"10.1.0.{number}" for number in range(9)]
    hosts = crash_reports.counting_hosts(7, addresses)
    report = crash_reports.Report(7, hosts)
    replying = set(hosts[1:])
    counted = deliver(crash_reports.CrashReports(), report, replying)
    assert len(counted) < crash_reports.COUNTING_HOSTS
