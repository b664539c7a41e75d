"""Hosts whose views differ do not grant one allotment at the same time."""

import asyncio
import itertools

from fakes import mesh
from fakes import net
import pytest

from savorytally.decisions import shared_rates

NAMES = "abcd"
# Longest time until all hosts have the newest host list, in seconds.
LAG_S = 1.0


class View:
    """A host's view of the owners, with the host list that it has."""

    def __init__(self, own):
        self.own = own
        self.hosts = shared_rates.RateOwners(own, "low")

    def learn(self, listed, now):
        """Apply a host list."""
        self.hosts.learn(dict.fromkeys(listed, "low"), {}, now)

    def owner(self, organisation):
        """Return the host that this host asks."""
        return shared_rates.rate_owner(
            organisation, self.hosts.regions()["low"]
        )


def granting(views, organisation):
    """Return the hosts that grant, followed as requests would be."""
    found = set()
    for view in views.values():
        for _ in NAMES:
            owner = view.owner(organisation)
            asked = views.get(owner)
            if asked is None or not asked.hosts.lapsed:
                break
            if not view.hosts.owner_lapsed(owner):
                owner = ""
                break
        if owner:
            found.add(owner)
    return found


def start_again(views, name, listed, now, asks=True):
    """Start a host again; it asks all others, as far as they run."""
    fresh = views[name] = View(name)
    fresh.learn(listed, now)
    for other in views.values() if asks else ():
        for address, region, ago_s in other.hosts.unlisted(now):
            if other is not fresh:
                fresh.hosts.learn_unlisted(address, region, ago_s, now)


@pytest.mark.parametrize("gone", NAMES)
@pytest.mark.parametrize("late", NAMES)
@pytest.mark.parametrize("restarted", ["", *NAMES, "ab", "cd", "abcd"])
def test_one_host_grants_after_an_entry_has_expired(gone, late, restarted):
    """Nodes that started later took another owner than the others.

    The node of the expired entry runs on. One host gets the list late; others
    are started again, one after the other, before or after that.
    """
    rest = [name for name in NAMES if name != gone]
    for organisation in ("growers", "agents", "societies"):
        for restart_at in (2.0, 10.0, 19.0, 25.0):
            views = {name: View(name) for name in NAMES}
            for view in views.values():
                view.learn(NAMES, 0.0)
            events = [(5.0, name) for name in rest + [gone] if name != late]
            events.append((5.0 + LAG_S, late))
            changes = [(at, "list", name) for at, name in events]
            changes += [
                (5.0 + restart_at + index * 1.3, "start", name)
                for index, name in enumerate(restarted)
            ]
            for now in (step / 4 for step in range(160)):
                for at, kind, name in changes:
                    if now <= at < now + 0.25 and kind == "list":
                        views[name].learn(rest, now)
                    elif now <= at < now + 0.25:
                        start_again(views, name, rest, now)
                for view in views.values():
                    view.hosts.expire(now)
                assert len(granting(views, organisation)) <= 1, (
                    organisation,
                    restart_at,
                    now,
                )


def test_search_notices_a_host_that_has_not_asked():
    views = {name: View(name) for name in NAMES}
    for view in views.values():
        view.learn(NAMES, 0.0)
    owner = views["a"].owner("growers")
    rest = [name for name in NAMES if name != owner]
    for view in views.values():
        view.learn(rest, 5.0)
    start_again(views, rest[0], rest, 6.0, asks=False)
    assert len(granting(views, "growers")) == 2


def test_nodes_that_start_learn_owners_that_are_not_listed():
    """The same with nodes, and the expired host is asked until it lapses."""
    config = mesh.configuration(1)
    config["tenants"]["growers"].update(rate_per_s=100, burst=100)

    async def work():
        fleet = mesh.Mesh()
        await fleet.start({"drawers": ["low-a"] * 6}, config=config)
        by_address = {host.address: host for host in fleet.hosts}
        owner = shared_rates.rate_owner("growers", by_address)
        others = [host for host in fleet.hosts if host.address != owner]
        await asyncio.sleep(1.0)
        fleet.store.delete(by_address[owner].key)
        await asyncio.sleep(1.0)
        for host in others[:3]:
            await host.restart_node()
            await asyncio.sleep(1.0)
        found = []
        for at_s in (0.0, 11.0, 17.0):
            await asyncio.sleep(at_s)
            granted = []
            for host, _ in itertools.product(fleet.hosts, range(3)):
                host.node.rates.request_token("growers", 0, granted.append)
            await asyncio.sleep(0.05)
            owners = {
                host.node.rates._owner("growers") for host in fleet.hosts
            }
            found.append((owners, sum(one.granted for one in granted)))
        return owner, found

    owner, found = net.run(work)
    assert found[0] == ({owner}, 18)
    # It has lapsed by its own account, and the others are told as they ask.
    assert len(found[1][0]) == 1 and found[1][1] == 18
    assert owner not in found[2][0] and len(found[2][0]) == 1
    assert found[2][1] == 18


def test_entries_of_other_writers_own_no_rates():
    """Tenants whose owner was such an address got 15 % of their rate."""
    config = mesh.configuration(1)
    config["tenants"]["growers"].update(rate_per_s=100, burst=100)

    async def work():
        fleet = mesh.Mesh()
        await fleet.start({"drawers": ["low-a"] * 3}, config=config)
        addresses = [f"10.9.0.{number}" for number in range(200)]
        hosts = [host.address for host in fleet.hosts]
        foreign = shared_rates.rate_owner("growers", addresses + hosts)
        assert foreign in addresses
        entry = fleet.hosts[0].entry() | {
            "service": "not-named-here",
            "address": f"{foreign}:{mesh.UPSTREAM_PORT}",
        }
        fleet.store.put("servers/i-other", entry)
        await asyncio.sleep(1.0)
        await fleet.hosts[0].restart_node()
        await asyncio.sleep(1.0)
        granted = []
        for host, _ in itertools.product(fleet.hosts, range(5)):
            host.node.rates.request_token("growers", 0, granted.append)
        await asyncio.sleep(0.2)
        return [one.granted for one in granted]

    assert net.run(work) == [True] * 15
