"""Retries over all hosts, calls below retries included, within the bound."""

import asyncio
import bisect
import collections
import dataclasses
import functools
import heapq
import random

from fakes import mesh
from fakes import net
from fakes import repeats
import pytest

from savorytally.decisions import parent_matching
from savorytally.decisions import retry_budget
from savorytally.decisions import retry_slack
from savorytally.decisions import subtree_budget
from savorytally.platform import headers

TOP, DEEP = "drawers", "ledger"


def config():
    """Return a configuration with a service that is called by upstreams."""
    made = mesh.configuration(1)
    made["routes"]["r-lookup"]["priority"] = 0
    made["routes"]["r-ledger"] = mesh.route(DEEP, auth_exempt=True)
    return made


def of(there, service_name):
    """Return the hosts of a service."""
    return [host for host in there.hosts if host.service_name == service_name]


def chain(there, calls, budget_ms=2000, named=True):
    """Make each request at the top service call the deep one repeatedly.

    The calls are sequential. Those made when the request has arrived more
    than once are marked in their identifiers.

    :param calls: number of calls that each request makes.
    :param budget_ms: most time that a call is given.
    :param named: whether calls contain their parent's identifier.
    """

    def calling(host):
        async def make(given):
            loop = asyncio.get_running_loop()
            left_s = int(given["x-savorytally-deadline-ms"]) / 1000
            until = loop.time() + left_s
            name = given["x-savorytally-attempt-id"]
            arrivals = sum(
                other.upstream.arrived.count(name) for other in of(there, TOP)
            )
            again = "-again" if arrivals > 1 else ""
            for number in range(calls):
                left_ms = int((until - loop.time()) * 1000)
                at = int(loop.time() * 1e6)
                made_by = f"{name}.{number}{again}-{at}"
                if not named:
                    made_by = made_by.replace(".", "-")
                reply = await there.send(
                    host,
                    f"/{DEEP}/{number}",
                    key=None,
                    remaining_ms=max(1, min(left_ms, budget_ms)),
                    request_id=made_by,
                )
                if getattr(reply, "status", 0) != 200:
                    return 500
            return 200

        return make

    for host in of(there, TOP):
        host.upstream.calls = calling(host)


def play(scenario, services, **changes):
    """Run a scenario on a started mesh."""

    async def work():
        there = mesh.Mesh()
        await there.start(services, config=config(), **changes)
        return await scenario(there)

    return net.run(work)


def kill(there, host):
    """Stop a node abruptly, without closing its connections in order."""
    for task in host.node._tasks:
        task.cancel()
    for server in host.node._servers:
        server.close()
    for port in (mesh.ENTRY_PORT, mesh.READY_PORT, mesh.PEER_PORT):
        there.net.reset(host.address, port)


def observe(there, checker):
    """Count all requests and retries that arrive at the upstreams.

    Calls made by a retried request count as retries where they arrive.
    """
    loop = asyncio.get_running_loop()
    seen = set()

    def arrived(host, name, ran, given):
        again = name in seen or "-again-" in name
        seen.add(name)
        if again:
            checker.retry(host.service_name, loop.time())
        elif host.service_name == DEEP:
            checker.request(DEEP, loop.time())

    for host in there.hosts:
        host.upstream.observed = functools.partial(arrived, host)
    return seen


def metric(there, series):
    """Return a counter summed over all nodes."""
    total = 0
    for host in there.hosts:
        for line in host.node.counts.render().decode().splitlines():
            name, _, value = line.rpartition(" ")
            if name == f"savorytally_{series}":
                total += int(value)
    return total


def begin(known, deadline, name, now):
    """Record a request that is forwarded to the upstream."""
    return known.request_started("page", deadline, name, now, name)


def call(known, deadline, hint, left_ms, now):
    """Return the match of a call.

    :param hint: identifier of the call.
    """
    named = hint.rpartition(b".")[0]
    seen = parent_matching.ObservedCall(
        "lookup", deadline, left_ms / 1000, named
    )
    return known.match_call(seen, now)


class TestCounters:
    @pytest.mark.parametrize("how", ["named", "order"])
    def test_count_first_arrivals_retries_and_matched_calls(self, how):
        async def scenario(there):
            chain(there, calls=2, budget_ms=300, named=how == "named")
            first = of(there, TOP)[0]
            first.upstream.rejects = lambda: True
            for _ in range(20):
                await there.send(there.hosts[-1], f"/{TOP}/1")
            sent = {
                (service_name, kind): metric(
                    there,
                    f'sent_total{{service="{service_name}",kind="{kind}"}}',
                )
                for service_name in (TOP, DEEP)
                for kind in ("first", "retry", "below_retry")
            }
            matched = metric(there, f'calls_matched_total{{how="{how}"}}')
            arrived = [len(host.upstream.arrived) for host in there.hosts]
            return sent, matched, arrived

        sent, matched, arrived = play(
            scenario, {TOP: ["low-a", "low-b"], DEEP: ["low-a"]}
        )
        assert sent[TOP, "first"] == 20
        assert sent[TOP, "retry"] == arrived[0] + arrived[1] - 20 > 0
        assert sent[DEEP, "below_retry"] == 2 * sent[TOP, "retry"]
        assert sent[DEEP, "first"] + sent[DEEP, "below_retry"] == arrived[2]
        assert matched == arrived[2]


class TestBound:
    """The bound holds in any window, over all hosts, at every service."""

    def hosts(self, source, services, per_s, seconds, **chain):
        """Send requests for the given time; return the fleet."""
        fleet = repeats.Fleet(services, source)
        fleet.learn(0.0)
        now = 0.0
        while now < seconds:
            now += source.expovariate(per_s)
            fleet.run(now, **chain)
        return fleet

    @pytest.mark.parametrize("calls", [1, 4])
    @pytest.mark.parametrize("per_s", [5, 60])
    def test_calls_below_a_retry_are_within_the_bound(self, per_s, calls):
        services = {"page": 6, "reserve": 5, "lookup": 6}
        fleet = self.hosts(
            random.Random(1),
            services,
            per_s,
            40.0,
            calls=calls,
            rejected={"page": 0.5, "reserve": 0.1},
        )
        assert max(fleet.checker.excess().values()) <= 0
        assert fleet.checker.retries("page") > 0

    @pytest.mark.parametrize(
        "rejected",
        [
            {"checklist": 0.2},
            {"checklist": 0.4},
            {"ranges": 0.3},
            {"species": 0.5},
            {"species": 0.3, "checklist": 0.2},
        ],
    )
    def test_chain_that_fans_out_at_its_end_is_within_the_bound(
        self, rejected
    ):
        fleet = self.hosts(
            random.Random(9),
            {"species": 4, "sightings": 4, "ranges": 5, "checklist": 4},
            50,
            40.0,
            calls={"species": 1, "sightings": 1, "ranges": 4},
            rejected=rejected,
        )
        assert max(fleet.checker.excess().values()) <= 0
        # A host learns the calls of a route with its first request.
        assert fleet.refused_below <= len(fleet.hosts)

    @pytest.mark.parametrize("hosts", [68, 310])
    def test_many_hosts_share_less_than_one_retry_each(self, hosts):
        fleet = self.hosts(
            random.Random(2),
            {"page": hosts},
            hosts / 8,
            30.0,
            calls=0,
            rejected={"page": 0.7},
        )
        assert fleet.checker.excess()["page"] <= 0

    @pytest.mark.parametrize("fraction", [0.0, 0.2])
    def test_shrinking_host_list_does_not_raise_the_shares(self, fraction):
        source = random.Random(3)
        fleet = repeats.Fleet({"page": 17}, source)
        now = 0.0
        while now < 60.0:
            now += source.expovariate(4.0)
            # Most entries expire for ten seconds.
            fleet.learn(now, fraction if 40.0 < now < 50.0 else 1.0)
            fleet.run(now, calls=0, rejected={"page": 0.8})
        assert fleet.checker.excess()["page"] <= 0

    def test_node_without_a_host_list_uses_no_share(self):
        source = random.Random(4)
        fleet = repeats.Fleet({"page": 17}, source)
        for number in range(300):
            fleet.run(0.01 * number, calls=0, rejected={"page": 0.8})
        assert fleet.checker.excess()["page"] <= 0

    @pytest.mark.parametrize("every_s", [0.3, 1.0])
    def test_nodes_restarted_in_series_use_no_second_share(self, every_s):
        source = random.Random(5)
        fleet = repeats.Fleet({"page": 5}, source)
        fleet.learn(0.0)
        now, next_s = 0.0, 30.0
        while now < 60.0:
            now += source.expovariate(6.0)
            while now > next_s:
                next_s += every_s
                fleet.restart(source.choice(fleet.hosts), now)
            fleet.run(now, calls=0, rejected={"page": 0.8})
        assert fleet.checker.excess()["page"] <= 0

    def test_delayed_retries_arrive_within_the_bound(self):
        source = random.Random(6)
        fleet = repeats.Fleet({"page": 17}, source)
        fleet.learn(0.0)
        delayed_senders = []
        now = 0.0
        while now < 50.0:
            now += source.expovariate(400.0)
            fleet.confirm(now)
            sender = source.choice(fleet.hosts)
            sender.budget.record_request("page", now)
            fleet.checker.request("page", now)
            # Retries sent within these four seconds arrive at their end.
            delayed = 36.0 <= now < 40.0
            if delayed_senders and now >= 40.0:
                for host in delayed_senders:
                    host.arrived("page", now)
                    fleet.checker.retry("page", now)
                delayed_senders = []
            if not sender.retry("page", now):
                continue
            if delayed:
                delayed_senders.append(sender)
                continue
            sender.arrived("page", now)
            fleet.checker.retry("page", now)
        assert fleet.checker.excess()["page"] <= 0

    @pytest.mark.parametrize("seed", range(12))
    def test_bursts_and_delays_are_within_the_bound(self, seed):
        source = random.Random(seed)
        fleet = repeats.Fleet({"page": 4}, source)
        fleet.learn(0.0)
        delay_s = source.choice([0.05, 0.5, 3.0])
        on_way = []
        now, change, per_s = 0.0, 0.0, 0.0
        while now < 80.0:
            if now >= change:
                change = now + source.uniform(0.5, 12.0)
                per_s = source.choice([2.0, 20.0, 200.0])
            now += source.expovariate(per_s)
            fleet.confirm(now)
            while on_way and on_way[0][0] <= now:
                at, _, host = heapq.heappop(on_way)
                host.arrived("page", at)
                fleet.checker.retry("page", at)
            host = source.choice(fleet.hosts)
            host.budget.record_request("page", now)
            fleet.checker.request("page", now)
            # Sends as many retries as the budget allows.
            while host.retry("page", now):
                at = now + source.uniform(0.0, delay_s)
                heapq.heappush(on_way, (at, source.random(), host))
        assert fleet.checker.excess()["page"] <= 0
        assert fleet.checker.retries("page") > 500

    def test_most_of_the_budget_is_used(self):
        fleet = self.hosts(
            random.Random(7),
            {"page": 17},
            100,
            40.0,
            calls=0,
            rejected={"page": 0.6},
        )
        allowed = repeats.RATIO * 100 * 40 + 4 * repeats.SLACK
        assert fleet.checker.retries("page") > 0.7 * allowed


class TestSubtreeBudget:
    def chain(self, firsts):
        """Return a subtree budget without slack, and its retry budget."""
        share = retry_slack.SlackShare(0, "10.0.0.1", 10.0, True)
        share.learn_hosts(["10.0.0.1"], 0.0)
        budget = retry_budget.FleetRetryBudget(0.2, 10.0, share)
        for _ in range(firsts):
            budget.record_request("lookup", 0.0)
        return subtree_budget.SubtreeBudget(budget), budget

    def test_calls_per_request_are_learned(self):
        chain, _ = self.chain(0)
        chain.record_calls("page", {}, True)
        assert chain.expected_calls("page") == {}
        for _ in range(60):
            chain.record_calls("page", {"lookup": 2}, True)
            chain.record_calls("page", {"lookup": 1, "map": 1}, True)
        assert chain.expected_calls("page") == {"lookup": 2, "map": 1}
        for _ in range(60):
            chain.record_calls("page", {"lookup": 2}, True)
        assert chain.expected_calls("page") == {"lookup": 2}

    def test_retry_without_budget_for_all_its_calls_is_not_run(self):
        chain, _ = self.chain(50)
        chain.record_calls("page", {"lookup": 3}, True)
        assert chain.reserve("page", 0.1) is not None
        # The budget is five retries.
        assert chain.reserve("page", 0.1) is None

    def test_reserved_calls_are_made_or_returned(self):
        chain, budget = self.chain(50)
        chain.record_calls("page", {"lookup": 5}, True)
        reserved = chain.reserve("page", 0.1)
        assert not chain.charge_call(None, "lookup", 0.1)
        assert chain.charge_call(reserved, "lookup", 0.1)
        budget.record_arrival("lookup", 0.2)
        chain.release(reserved, 0.2)
        taken = [chain.charge_call(None, "lookup", 0.3) for _ in range(5)]
        assert taken == [True] * 4 + [False]


class Sharer:
    """A host that uses its share of the slack as soon as it is allowed."""

    def __init__(self, name, first_start):
        self.name = name
        self.cut_until = 0.0
        self.lapsed_until = 0.0
        self.down_until = 0.0
        self.start(first_start)

    def start(self, first_start):
        """Restart with empty state."""
        self.share = retry_slack.SlackShare(
            TOTAL, self.name, repeats.WINDOW_S, first_start
        )
        self.view = frozenset()
        self.sent = collections.deque()

    def read(self, listed, now):
        """Read the host list unless the host is cut off from it."""
        if now < self.cut_until:
            return
        if listed == self.view:
            self.share.confirm_list(now)
            return
        self.view = listed
        self.share.learn_hosts(listed, now)

    def use(self, now):
        """Return how many retries the host sends now."""
        while self.sent and now - self.sent[0] > repeats.WINDOW_S:
            self.sent.popleft()
        more = max(0, self.share.share(now) - len(self.sent))
        self.sent.extend([now] * more)
        return more


TOTAL = 50


class TestShares:
    @pytest.mark.parametrize("seed", range(4))
    def test_shares_add_up_to_the_total_while_hosts_come_and_go(self, seed):
        source = random.Random(seed)
        hosts = [Sharer(f"10.0.0.{number}", True) for number in range(12)]
        used = []
        for tick in range(3000):
            now = 0.2 * tick
            up = [host for host in hosts if now >= host.down_until]
            if source.random() < 0.05:
                host = source.choice(up)
                kind = source.randrange(5)
                if kind == 0:
                    host.cut_until = now + source.uniform(1.0, 90.0)
                elif kind == 1:
                    host.lapsed_until = now + source.uniform(1.0, 90.0)
                elif kind == 2:
                    host.start(first_start=False)
                elif kind == 3 and len(hosts) < 40:
                    hosts.append(Sharer(f"10.0.1.{tick}", False))
                elif kind == 4:
                    host.down_until = now + source.uniform(1.0, 90.0)
                    host.lapsed_until = host.down_until
                    host.start(first_start=False)
            listed = frozenset(
                host.name for host in hosts if now >= host.lapsed_until
            )
            for host in up:
                host.read(listed, now)
                used += [now] * host.use(now)
        window_s = repeats.WINDOW_S - 0.1
        most = max(
            bisect.bisect_right(used, begin + window_s) - place
            for place, begin in enumerate(used)
        )
        assert 0.5 * TOTAL < most <= TOTAL

    @pytest.mark.parametrize("hosts", [1, 17, 68, 310])
    def test_total_is_distributed_to_any_number_of_hosts(self, hosts):
        names = [f"10.0.{n % 4}.{n}" for n in range(hosts)]
        shares = []
        for name in names:
            share = retry_slack.SlackShare(TOTAL, name, 10.0, True)
            share.learn_hosts(names, 0.0)
            shares.append(share.share(0.0))
        assert sum(shares) == TOTAL
        assert max(shares) - min(shares) <= 1


class TestNodes:
    """Complete nodes; retries are counted where they reach upstreams."""

    def excess(
        self, fault_injection, per_s=2, seconds=40, calls=16, **chained
    ):
        """Return the retries beyond the bound, and the requests served.

        :param fault_injection: coroutine function that runs meanwhile.
        """
        source = random.Random(8)
        checker = repeats.BoundChecker()

        async def scenario(there):
            loop = asyncio.get_running_loop()
            chain(there, calls, **chained)
            observe(there, checker)

            def cut(connection, name, answer):
                if source.random() < 0.8:
                    connection.transport.abort()
                else:
                    connection.transport.write(answer)

            for host in of(there, TOP):
                host.upstream.fault = cut
            injecting = asyncio.ensure_future(fault_injection(there, source))
            sent = []
            end = loop.time() + seconds
            while loop.time() < end:
                await asyncio.sleep(source.expovariate(per_s))
                checker.request(TOP, loop.time())
                host = source.choice(there.hosts)
                sent.append(
                    asyncio.ensure_future(there.send(host, f"/{TOP}/1"))
                )
            injecting.cancel()
            replies = await asyncio.gather(*sent, return_exceptions=True)
            return sum(getattr(got, "status", 0) == 200 for got in replies)

        services = {
            TOP: ["low-a", "low-b", "up-a", "low-a"] * 2,
            DEEP: ["low-a", "low-b"],
        }
        served = play(scenario, services, slots=40)
        return checker.excess(), served

    async def calm(self, there, source):
        """Inject no faults."""

    async def cut_streams(self, there, source):
        """Reset the connections to random nodes one after the other."""
        while True:
            await asyncio.sleep(source.uniform(0.1, 0.5))
            host = source.choice(there.hosts)
            there.net.reset(host.address, mesh.PEER_PORT)

    async def kill_nodes(self, there, source):
        """Kill and restart random nodes one after the other."""
        while True:
            await asyncio.sleep(source.uniform(0.3, 1.2))
            host = source.choice(there.hosts)
            kill(there, host)
            await asyncio.sleep(0.2)
            await host.start_node(first_start=False)

    @pytest.mark.parametrize(
        "fault_injection", ["calm", "cut_streams", "kill_nodes"]
    )
    def test_calls_below_retries_are_within_the_bound(self, fault_injection):
        excess, served = self.excess(getattr(self, fault_injection))
        assert max(excess.values()) <= 0
        assert served > 0

    def test_chain_of_a_retry_is_seldom_cut_off_halfway(self):
        counts = []

        async def watch(there, source):
            try:
                await asyncio.sleep(1000.0)
            finally:
                for series in ("sent", "retries_refused"):
                    series += f'_total{{service="{DEEP}",kind="below_retry"}}'
                    counts.append(metric(there, series))

        excess, _ = self.excess(watch, per_s=8, calls=4)
        sent, refused = counts
        assert max(excess.values()) <= 0
        assert sent > 100
        assert refused <= 0.05 * sent

    def test_calls_without_parent_identifier_are_within_the_bound(self):
        excess, served = self.excess(self.calm, named=False)
        assert max(excess.values()) <= 0
        assert served > 0

    def test_calls_with_their_own_timeout_are_within_the_bound(self):
        excess, served = self.excess(self.calm, budget_ms=300)
        assert max(excess.values()) <= 0
        assert served > 0


class TestMatching:
    """Calls are matched to their parents despite event loop delay."""

    def share(self, lag_s, named, seed=0, budget_ms=700):
        """Return the fraction of the calls that were matched correctly.

        :param lag_s: largest event loop delay.
        :param named: whether calls name their parent.
        :param budget_ms: most time that a call is given.
        """
        source = random.Random(seed)
        known = parent_matching.ParentMatcher()
        events = []
        for number in range(1500):
            started_at = source.uniform(0.0, 30.0)
            events.append((started_at, number, 0, 0.0))
        parents, correct, calls = {}, 0, 0
        while events:
            events.sort(reverse=True)
            now, number, step, until = events.pop()
            name = b"request-%d" % number
            if step == 0:
                left_s = int(source.uniform(300, 5000)) / 1000
                # When the upstream has read it.
                read = now + 0.0005 + source.random() * lag_s
                parents[number] = begin(known, now + left_s, name, now)
                until = read + left_s
                now = read
            elif step in (1, 3):
                # The upstream makes a call; the node reads it later.
                left_ms = min(int((until - now) * 1000), budget_ms)
                if left_ms <= 0:
                    known.request_ended(parents[number], now)
                    continue
                seen = now + 0.0005 + source.random() * lag_s
                events.append((seen, number, step + 0.5, (until, left_ms)))
                continue
            elif step in (1.5, 3.5):
                until, left_ms = until
                hint = name + b".%d" % step if named else b"other"
                match = call(known, now + left_ms / 1000, hint, left_ms, now)
                calls += 1
                correct += match.parent is parents[number]
                done = now + source.uniform(0.01, 0.08)
                events.append((done, number, step + 0.5, (match, until)))
                continue
            elif step in (2, 4):
                match, until = until
                if match.parent is not None:
                    known.call_ended(match.parent, True, now)
                now += 0.0005 + source.random() * lag_s
            else:
                known.request_ended(parents[number], now)
                continue
            work_s = source.uniform(0.05, 0.2)
            events.append((now + work_s, number, int(step) + 1, until))
        return correct / calls

    @pytest.mark.parametrize("lag_ms", [0, 5, 20, 50])
    def test_call_that_names_its_parent_is_matched_correctly(self, lag_ms):
        assert self.share(lag_ms / 1000, named=True) == 1.0

    def test_call_of_an_ended_parent_is_matched_by_deadline(self):
        known = parent_matching.ParentMatcher()
        parent = begin(known, 5.0, b"here", 0.0)
        ended = begin(known, 7.0, b"gone", 0.0)
        known.request_ended(ended, 0.5)
        match = call(known, 5.0, b"gone.1", 4400, 0.6)
        assert match == parent_matching.Match(
            parent, parent_matching.MatchMethod.EXACT
        )

    @pytest.mark.parametrize(
        ("request_id", "parent"),
        [
            (b"b4dc4d77d0b1feaf", b""),
            (b"b4dc4d77d0b1feaf.b8b390db", b"b4dc4d77d0b1feaf"),
            (b"36e0.1f0f.9f75", b"36e0.1f0f"),
            (b"", b""),
        ],
    )
    def test_parent_is_read_from_the_identifier(self, request_id, parent):
        assert headers.HEADER_NAMES.parent_of(request_id) == parent
        silent = dataclasses.replace(headers.HEADER_NAMES, call_separator=b"")
        assert silent.parent_of(request_id) == b""

    def test_calls_of_an_abandoned_retry_count_as_retries(self):
        """Some upstreams go on with a request after its connection closed."""

        async def scenario(there):
            chain(there, calls=4)
            first, second = of(there, TOP)
            first.upstream.rejects = lambda: True
            for host in of(there, DEEP):
                host.upstream.work_s = 0.05
            while not second.upstream.ran:
                await there.send(
                    there.hosts[-1], f"/{TOP}/1", leave_after_s=0.09
                )
                await asyncio.sleep(0.5)
            arrived = len(first.upstream.arrived)
            kind = f'sent_total{{service="{DEEP}",kind="first"}}'
            made = len(of(there, DEEP)[0].upstream.arrived)
            return arrived, made, metric(there, kind)

        services = {TOP: ["low-a", "low-b"], DEEP: ["low-a"]}
        arrived, made, first = play(scenario, services)
        assert arrived
        assert made > 1
        assert first == 0

    @pytest.mark.parametrize("lag_ms", [5, 20, 50])
    def test_event_loop_delay_does_not_prevent_matching(self, lag_ms):
        """With delay, a call's deadline appears later than its parent's."""
        late = self.share(lag_ms / 1000, named=False, budget_ms=5000)
        exact = self.share(0.0, named=False, budget_ms=5000)
        assert late > 0.8 * exact
