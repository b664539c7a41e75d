"""Rates while their keepers change soon after the first start."""

import asyncio
import random

from fakes import mesh
from fakes import net
import pytest

from savorytally.decisions import ratepool
from savorytally.world import catalog

GROWERS = catalog.Organisation("growers", 1, 88.0, 88.0)
LIMIT = (88.0 * 5 + 88.0) * 1.25 + 20
EVERYONE = {
    **{f"10.1.0.{number}": "low" for number in range(8)},
    **{f"10.2.0.{number}": "up" for number in range(8)},
}


class Host:
    """What a host knows of other hosts and keeps of rates."""

    def __init__(self, address):
        self.region = EVERYONE[address]
        self.hosts = ratepool.Hosts(address, self.region)
        self.pool = ratepool.RatePool(
            0.25, 20.0, 5.0, 20.0, self.hosts.first_keeper
        )
        self.pool.learn_organisations({"growers": GROWERS})
        self.learn({}, 0.0)

    def learn(self, draining, now):
        """Apply the list."""
        listed = {
            address: region
            for address, region in EVERYONE.items()
            if address not in draining
        }
        self.hosts.learn(listed, draining, now)
        self.count()

    def count(self):
        """Tell the pool how many hosts there are."""
        regions = self.hosts.regions()
        everywhere = sum(map(len, regions.values()))
        self.pool.learn_hosts(len(regions[self.region]), everywhere)

    def keeper(self):
        """Return whom this host asks."""
        near = self.hosts.regions()[self.region]
        return ratepool.keeper("growers", near)


class Fleet:
    """Hosts of two regions whose lists may be late."""

    def __init__(self, source, per_s):
        self.source = source
        self.per_s = per_s
        self.hosts = {address: Host(address) for address in EVERYONE}
        self.now = 0.0
        self.granted = []
        self.draining = {}
        self.due = []
        self.tells = {"low": 0.3, "up": 0.7}

    def drain(self, at, late_s, ends_after_s):
        """Let the host that is or follows a keeper drain, then end."""
        self.due.append((at, self._drain, late_s, ends_after_s))

    def _drain(self, late_s, ends_after_s):
        stay = [
            address
            for address in EVERYONE
            if EVERYONE[address] == "low" and address not in self.draining
        ]
        gone = ratepool.keeper("growers", stay)
        self.draining[gone] = "low"
        draining = dict(self.draining)
        for host in self.hosts.values():
            at = self.now + self.source.uniform(0.0, late_s)
            self.due.append((at, host.learn, draining, at))
        self.due.append((self.now + ends_after_s, self._end, gone))

    def _end(self, gone):
        del self.hosts[gone]
        for host in self.hosts.values():
            if host.hosts.stops(gone):
                host.count()

    def play(self, seconds):
        """Return when requests were granted."""
        while self.now < seconds:
            self.now += 0.005
            due = [item for item in self.due if item[0] <= self.now]
            self.due = [item for item in self.due if item[0] > self.now]
            for _, do, *given in due:
                do(*given)
            for host in list(self.hosts.values()):
                if self.source.random() < self.per_s * 0.005 / 16:
                    self._ask(host)
            for region in self.tells:
                if self.now >= self.tells[region]:
                    self.tells[region] += 0.8
                    self._tell(region)
        return self.granted

    def _ask(self, host):
        keeper = self.hosts.get(host.keeper())
        if keeper is None:
            host.hosts.refuses(host.keeper())
        elif keeper.pool.grant("growers", 0, self.now).granted:
            self.granted.append(self.now)

    def _tell(self, region):
        for host in self.hosts.values():
            if host.region != region:
                continue
            told = host.pool.measure(self.now)
            for other in self.hosts.values():
                if told and other.region != region:
                    other.pool.learn_demand(region, told, self.now)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("late_s", [0.0, 6.0])
@pytest.mark.parametrize("begins_at", [0.0, 4.0])
def test_limit_holds_while_a_keeper_drains_and_lists_are_late(
    seed, late_s, begins_at
):
    fleet = Fleet(random.Random(seed), 60.0)
    fleet.drain(begins_at + 1.0, late_s, 6.0)
    fleet.drain(begins_at + 1.2, late_s, 6.0)
    fleet.due.append((begins_at, setattr, fleet, "per_s", 900.0))
    granted = fleet.play(14.0)
    within = [
        sum(start / 10 <= at < start / 10 + 5 for at in granted)
        for start in range(90)
    ]
    assert max(within) <= LIMIT


def test_bucket_that_is_used_late_begins_with_its_part_of_the_start():
    late = ratepool.RatePool(0.25, 20.0, 5.0, 20.0)
    late.learn_organisations({"growers": GROWERS})
    late.learn_hosts(8, 16)
    # The other region asks for little, so that most of the rate is here.
    late.learn_demand("up", {"growers": 0.1}, 4.0)
    at_once = 0
    while late.grant("growers", 0, 4.0).granted:
        at_once += 1
    assert at_once <= (88.0 * 1.125 + 10) / 2 + 1


def test_keeper_that_stops_is_not_asked_by_hosts_that_connect_later():
    config = mesh.configuration(1)
    config["tenants"]["growers"].update(rate_per_s=100, burst=100)

    async def work():
        there = mesh.Mesh()
        await there.start({"drawers": ["low-a"] * 4}, config=config)
        near = [host.address for host in there.hosts]
        kept_by = ratepool.keeper("growers", near)
        (stops,) = [host for host in there.hosts if host.address == kept_by]
        others = [host for host in there.hosts if host is not stops]
        entry = stops.entry(state="draining")
        there.store.put(f"servers/{stops.instance_id}", entry)
        await asyncio.sleep(1.0)
        stops.node.stop()
        # There is no stream when the others would be told.
        await asyncio.sleep(1.39)
        there.net.reset(kept_by, mesh.PEER_PORT)
        await asyncio.sleep(0.05)
        granted = []
        for host in others:
            host.node.rates.take("growers", 0, granted.append)
        await asyncio.sleep(0.05)
        asked = {host.node.rates._keeper("growers") for host in others}
        return len(granted), asked, kept_by

    granted, asked, stopped = net.run(work)
    assert granted == 3
    assert len(asked) == 1
    assert stopped not in asked


class TestKeeperWhoseEntryGoesWithoutDraining:
    """Its stop was heard while the list still told that it was ready."""

    EVERYONE = {"a": "low", "b": "low"}

    def known(self, *, told, stays_listed=False):
        hosts = ratepool.Hosts("a", "low")
        hosts.learn(self.EVERYONE, {}, 0.0)
        if told:
            assert not hosts.stops("b")
        if not stays_listed:
            hosts.learn({"a": "low"}, {}, 2.0)
        return hosts

    def test_it_keeps_nothing_once_it_takes_no_connection(self):
        hosts = self.known(told=True)
        assert hosts.refuses("b")
        assert hosts.regions() == {"low": ["a"]}

    def test_it_stays_keeper_while_it_takes_connections(self):
        assert self.known(told=True).regions() == {"low": ["a", "b"]}

    def test_one_that_did_not_stop_may_be_cut_off_only(self):
        hosts = self.known(told=False)
        assert not hosts.refuses("b")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_one_that_is_still_listed_starts_again(self):
        hosts = self.known(told=True, stays_listed=True)
        assert not hosts.refuses("b")
        assert hosts.regions() == {"low": ["a", "b"]}

    def test_stop_of_long_ago_says_nothing(self):
        hosts = self.known(told=True, stays_listed=True)
        for now in (10.0, 21.0, 30.0):
            hosts.learn(self.EVERYONE, {}, now)
        hosts.learn({"a": "low"}, {}, 31.0)
        assert not hosts.refuses("b")


class TestHostsWithoutAKeeper:
    """Many hosts lose the keeper of one organisation at the same moment."""

    KNOWN = catalog.Organisation("growers", None, 60.0, 30.0)

    def fleet(self, count):
        return [
            ratepool.Alone(f"10.{number // 200}.0.{number % 200}")
            for number in range(count)
        ]

    @pytest.mark.parametrize("count", [17, 195, 2000])
    def test_idle_hosts_have_not_saved_a_request_each(self, count):
        hosts = self.fleet(count)
        for host in hosts:
            host.take(self.KNOWN, count, 0.0)
        taken = sum(host.take(self.KNOWN, count, 100.0) for host in hosts)
        # Half of the requests by which the users let a rate be passed.
        assert taken <= 20

    @pytest.mark.parametrize("count", [17, 195, 2000])
    def test_together_they_admit_a_part_of_the_rate(self, count):
        hosts = self.fleet(count)
        seconds = 100
        taken = sum(
            host.take(self.KNOWN, count, step / 10)
            for step in range(seconds * 10)
            for host in hosts
        )
        part = self.KNOWN.rate_per_s * ratepool.DISCONNECTED_FRACTION * seconds
        assert 0.8 * part <= taken <= 1.1 * part
