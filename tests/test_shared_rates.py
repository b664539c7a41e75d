"""Shared rates while their owners change."""

import asyncio
import random

from fakes import mesh
from fakes import net
import pytest

from savorytally.decisions import shared_rates
from savorytally.world import catalog

GROWERS = catalog.Organisation("growers", 1, 88.0, 88.0)
LIMIT = (88.0 * 5 + 88.0) * 1.25 + 20
EVERYONE = {
    **{f"10.1.0.{number}": "low" for number in range(8)},
    **{f"10.2.0.{number}": "up" for number in range(8)},
}


class Host:
    """The rate owners and buckets of one simulated host."""

    def __init__(self, address):
        self.region = EVERYONE[address]
        self.hosts = shared_rates.RateOwners(address, self.region)
        self.pool = shared_rates.SharedRates(
            0.25, 20.0, 5.0, 20.0, self.hosts.first_owner
        )
        self.pool.learn_organisations({"growers": GROWERS})
        self.learn({}, 0.0)

    def learn(self, draining, now):
        """Apply the host list."""
        listed = {
            address: region
            for address, region in EVERYONE.items()
            if address not in draining
        }
        self.hosts.learn(listed, draining, now)
        self.count()

    def count(self):
        """Update the number of hosts in the shared rates."""
        regions = self.hosts.regions()
        everywhere = sum(map(len, regions.values()))
        self.pool.learn_hosts(len(regions[self.region]), everywhere)

    def owner(self):
        """Return the host that this host considers the rate's owner."""
        addresses = self.hosts.regions()[self.region]
        return shared_rates.rate_owner("growers", addresses)


class Fleet:
    """Hosts of two regions that may receive the host list late."""

    def __init__(self, source, per_s):
        self.source = source
        self.per_s = per_s
        self.hosts = {address: Host(address) for address in EVERYONE}
        self.now = 0.0
        self.granted = []
        self.draining = {}
        self.due = []
        self.next_reports = {"low": 0.3, "up": 0.7}

    def drain(self, at, late_s, ends_after_s):
        """Schedule that the current owner drains and then stops.

        :param at: time at which it starts to drain.
        :param late_s: maximum delay of the host list in seconds.
        :param ends_after_s: time in seconds from then until it stops.
        """
        self.due.append((at, self._drain, late_s, ends_after_s))

    def _drain(self, late_s, ends_after_s):
        remaining = [
            address
            for address in EVERYONE
            if EVERYONE[address] == "low" and address not in self.draining
        ]
        drained = shared_rates.rate_owner("growers", remaining)
        self.draining[drained] = "low"
        draining = dict(self.draining)
        for host in self.hosts.values():
            at = self.now + self.source.uniform(0.0, late_s)
            self.due.append((at, host.learn, draining, at))
        self.due.append((self.now + ends_after_s, self._stop, drained))

    def _stop(self, stopped):
        del self.hosts[stopped]
        for host in self.hosts.values():
            if host.hosts.node_stopping(stopped):
                host.count()

    def simulate(self, seconds):
        """Simulate requests; return the times at which they were granted."""
        while self.now < seconds:
            self.now += 0.005
            due = [item for item in self.due if item[0] <= self.now]
            self.due = [item for item in self.due if item[0] > self.now]
            for _, action, *arguments in due:
                action(*arguments)
            for host in list(self.hosts.values()):
                if self.source.random() < self.per_s * 0.005 / 16:
                    self._request(host)
            for region in self.next_reports:
                if self.now >= self.next_reports[region]:
                    self.next_reports[region] += 0.8
                    self._report_demand(region)
        return self.granted

    def _request(self, host):
        owner = self.hosts.get(host.owner())
        if owner is None:
            host.hosts.node_refuses(host.owner())
        elif owner.pool.grant("growers", 0, self.now).granted:
            self.granted.append(self.now)

    def _report_demand(self, region):
        for host in self.hosts.values():
            if host.region != region:
                continue
            demand = host.pool.measure(self.now)
            for other in self.hosts.values():
                if demand and other.region != region:
                    other.pool.learn_demand(region, demand, self.now)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("late_s", [0.0, 6.0])
@pytest.mark.parametrize("begins_at", [0.0, 4.0])
def test_limit_holds_while_owners_drain_and_host_lists_are_late(
    seed, late_s, begins_at
):
    fleet = Fleet(random.Random(seed), 60.0)
    fleet.drain(begins_at + 1.0, late_s, 6.0)
    fleet.drain(begins_at + 1.2, late_s, 6.0)
    fleet.due.append((begins_at, setattr, fleet, "per_s", 900.0))
    granted = fleet.simulate(14.0)
    within = [
        sum(start / 10 <= at < start / 10 + 5 for at in granted)
        for start in range(90)
    ]
    assert max(within) <= LIMIT


def test_late_bucket_starts_with_the_part_by_hosts():
    late = shared_rates.SharedRates(0.25, 20.0, 5.0, 20.0)
    late.learn_organisations({"growers": GROWERS})
    late.learn_hosts(8, 16)
    # Demand in the other region is low, so this region gets most of the rate.
    late.learn_demand("up", {"growers": 0.1}, 4.0)
    at_once = 0
    while late.grant("growers", 0, 4.0).granted:
        at_once += 1
    assert at_once <= (88.0 * 1.125 + 10) / 2 + 1


@pytest.mark.parametrize("gone_s", [0.4, 5.0, 50.0])
def test_organisation_that_returns_gets_no_second_burst(gone_s):
    """A tenant without a key was forgotten, and its bucket was full again."""
    pool = shared_rates.SharedRates(0.25, 20.0, 5.0, 20.0)
    pool.learn_organisations({"growers": GROWERS})
    now = 1.0
    granted = []

    def take_all():
        while pool.grant("growers", 0, now).granted:
            granted.append(now)

    for _ in range(10):
        take_all()
        pool.measure(now)
        now += 0.1
    pool.learn_organisations({})
    now += gone_s
    pool.measure(now)
    pool.learn_organisations({"growers": GROWERS})
    take_all()
    allowed = GROWERS.burst * 1.125 + 10
    refilled = GROWERS.rate_per_s * 1.125 * (now - 1.0)
    assert len(granted) <= allowed + refilled + 1
    assert granted.count(now) <= min(allowed, refilled) + 1


def test_stopped_owner_is_not_asked_by_hosts_that_connect_later():
    config = mesh.configuration(1)
    config["tenants"]["growers"].update(rate_per_s=100, burst=100)

    async def work():
        fleet = mesh.Mesh()
        await fleet.start({"drawers": ["low-a"] * 4}, config=config)
        addresses = [host.address for host in fleet.hosts]
        owner = shared_rates.rate_owner("growers", addresses)
        (stopping,) = [host for host in fleet.hosts if host.address == owner]
        others = [host for host in fleet.hosts if host is not stopping]
        entry = stopping.entry(state="draining")
        fleet.store.put(f"servers/{stopping.instance_id}", entry)
        await asyncio.sleep(1.0)
        stopping.node.stop()
        # The streams are closed before the others can be notified.
        await asyncio.sleep(1.39)
        fleet.net.reset(owner, mesh.PEER_PORT)
        await asyncio.sleep(0.05)
        granted = []
        for host in others:
            host.node.rates.request_token("growers", 0, granted.append)
        await asyncio.sleep(0.05)
        owners = {host.node.rates._owner("growers") for host in others}
        return len(granted), owners, owner

    granted, owners, stopped = net.run(work)
    assert granted == 3
    assert len(owners) == 1
    assert stopped not in owners


class TestOwnerRemovedWithoutDraining:
    """An owner's stop was reported while the list still contained its host."""

    EVERYONE = {"a": "low", "b": "low"}

    def make_hosts(self, *, stop_reported, stays_listed=False):
        hosts = shared_rates.RateOwners("a", "low")
        hosts.learn(self.EVERYONE, {}, 0.0)
        if stop_reported:
            assert not hosts.node_stopping("b")
        if not stays_listed:
            hosts.learn({"a": "low"}, {}, 2.0)
        return hosts

    def test_stops_being_owner_when_it_refuses_connections(self):
        hosts = self.make_hosts(stop_reported=True)
        assert hosts.node_refuses("b")
        assert hosts.regions() == {"low": ["a"]}

    def test_stays_owner_while_it_accepts_connections(self):
        assert self.make_hosts(stop_reported=True).regions() == {
            "low": ["a", "b"]
        }

    def test_host_that_did_not_report_a_stop_may_only_be_unreachable(self):
        hosts = self.make_hosts(stop_reported=False)
        assert not hosts.node_refuses("b")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_host_that_is_still_listed_is_expected_to_restart(self):
        hosts = self.make_hosts(stop_reported=True, stays_listed=True)
        assert not hosts.node_refuses("b")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_old_report_of_a_stop_is_ignored(self):
        hosts = self.make_hosts(stop_reported=True, stays_listed=True)
        for now in (10.0, 21.0, 30.0):
            hosts.learn(self.EVERYONE, {}, now)
        hosts.learn({"a": "low"}, {}, 31.0)
        assert not hosts.node_refuses("b")


class TestDisconnectedHosts:
    """Many hosts lose the owner of one rate at the same time."""

    ORGANISATION = catalog.Organisation("growers", None, 60.0, 30.0)

    def fleet(self, count):
        return [
            shared_rates.DisconnectedAllowance(
                f"10.{number // 200}.0.{number % 200}"
            )
            for number in range(count)
        ]

    @pytest.mark.parametrize("count", [17, 195, 2000])
    def test_idle_hosts_do_not_accumulate_a_request_each(self, count):
        hosts = self.fleet(count)
        for host in hosts:
            host.take(self.ORGANISATION, count, 0.0)
        taken = sum(
            host.take(self.ORGANISATION, count, 100.0) for host in hosts
        )
        # Half of the number of requests by which a rate may be exceeded.
        assert taken <= 20

    @pytest.mark.parametrize("count", [17, 195, 2000])
    def test_hosts_together_admit_a_fraction_of_the_rate(self, count):
        hosts = self.fleet(count)
        seconds = 100
        taken = sum(
            host.take(self.ORGANISATION, count, step / 10)
            for step in range(seconds * 10)
            for host in hosts
        )
        expected = (
            self.ORGANISATION.rate_per_s
            * shared_rates.DISCONNECTED_FRACTION
            * seconds
        )
        assert 0.8 * expected <= taken <= 1.1 * expected
