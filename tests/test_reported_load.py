"""Load reports of upstreams: parsing, trust, ceiling and slowdown."""

import asyncio
import heapq
import random

from fakes import mesh
from fakes import net
import pytest

from savorytally import results
from savorytally.dataplane import frames
from savorytally.decisions import gate_queue
from savorytally.decisions import placement
from savorytally.decisions import reported_load
from savorytally.world import catalog

SEEDS = range(3)
LOAD = "x-savorytally-server-load"


def applied(*reports, **changes):
    """Return the state after reports of 10 ms distance."""
    known = reported_load.ReportedLoad()
    for index, report in enumerate(reports):
        now = index * 0.01
        given = {"sent": 1, "rejected": False, **changes}
        known.apply(report, now, now=now, **given)
    return known


class TestParse:
    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            (b"3,1,20", (3, 1, 20, None)),
            (b" 3, 1 ,20,250 ", (3, 1, 20, 250)),
        ],
    )
    def test_three_and_four_figures_are_read(self, value, expected):
        assert reported_load.parse([value]) == reported_load.Report(*expected)

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"3,1",
            b"3,1,20,100,7",
            b"-3,1,20",
            b"3,1,0",
            b"3,1,20,0",
            b"3,1,20,-250",
            b"1e3,1,20",
            b"3.5,1,20",
            b"3,1,nan",
            b"3,1,20,",
            b"9" * 5000 + b",1,20",
            b"3,1,999999",
            b"3,1,20,999999",
            "٣,1,20".encode(),
            b"\xff\xfe,1,20",
            b"3,1,20\x00",
        ],
    )
    def test_wrong_values_are_ignored(self, value):
        # An upstream with a faulty header must not stop or starve its gate.
        assert reported_load.parse([value]) is None

    def test_absent_and_contradicting_headers_are_ignored(self):
        assert reported_load.parse([]) is None
        assert reported_load.parse([b"1,0,20", b"1,0,10"]) is None


class TestReportedLoad:
    def test_older_response_does_not_replace_a_newer_report(self):
        # A long body delays a response past later ones.
        known = applied(reported_load.Report(1, 0, 20, 100))
        newer = reported_load.Report(1, 0, 10, 250)
        known.apply(newer, 2.0, 1, False, 2.0)
        known.apply(reported_load.Report(9, 0, 40, 100), 1.5, 1, False, 2.1)
        assert known.report(2.1) is newer
        assert known.slowdown(2.1) == 250

    def test_report_is_dropped_when_stale(self):
        known = applied(reported_load.Report(1, 0, 10, 250))
        assert known.slowdown(0.1) == 250
        assert known.slowdown(0.5) is None
        assert known.ceiling(5.0) == 9
        assert known.ceiling(20.0) is None

    def test_absent_reports_set_no_ceiling(self):
        known = reported_load.ReportedLoad()
        assert known.ceiling(0.0) is None
        assert known.slowdown(0.0) is None

    @pytest.mark.parametrize(
        ("report", "changes"),
        [
            # 0 running while it rejects.
            (reported_load.Report(0, 0, 4, 900), {"rejected": True}),
            # 0 running although the gate has had 20 there for long.
            (reported_load.Report(0, 0, 4, 900), {"sent": 20}),
            # More running than it has slots.
            (reported_load.Report(9, 0, 4, 900), {}),
        ],
    )
    def test_misreports_are_not_used(self, report, changes):
        known = applied(*[report] * 60, **changes)
        assert not known.trusted
        assert known.ceiling(0.6) is None
        assert known.slowdown(0.6) is None

    def test_trust_returns_with_correct_reports(self):
        wrong = [reported_load.Report(9, 0, 4)] * 60
        known = applied(*wrong, *[reported_load.Report(1, 0, 4)] * 120)
        assert known.trusted

    def test_burst_in_transit_keeps_trust(self):
        # The upstream has not read the requests sent in the last moment.
        known = applied(*[reported_load.Report(1, 0, 20)] * 60)
        for index in range(5):
            now = 0.6 + index * 0.001
            known.apply(
                reported_load.Report(1, 0, 20), now, 19 - index, False, now
            )
        assert known.trusted

    def test_constant_overstatement_leaves_the_gate_some_slots(self):
        # An upstream that always reports itself full must not starve.
        known = applied(*[reported_load.Report(20, 50, 20)] * 60)
        assert known.ceiling(0.6) == 4

    def test_slots_in_use_stay_below_the_knee(self):
        # Above 95 % of the slots work takes 1.3 times as long.
        for slots in range(2, 400):
            assert reported_load.usable_slots(slots) <= 0.95 * slots


class Replay:
    """A gate in front of an upstream that reports its load.

    :param slots: the upstream's slots.
    :param listed: slots in the host list.
    :param other: fraction of the slots that requests use which do not pass
        the gate.
    :param load: arrivals at the gate as a multiple of what is left.
    :param slowdown: returns the factor on run times by time.
    :param learn: whether the gate reads the reports.
    """

    def __init__(
        self,
        seed,
        slots=20,
        listed=20,
        other=0.0,
        load=1.2,
        seconds=10.0,
        run_s=0.05,
        slowdown=lambda now: 1.0,
        knee=True,
        learn=True,
    ):
        self.source = random.Random(seed)
        self.queue = gate_queue.GateQueue()
        self.queue.learn_slots(listed)
        self.known = reported_load.ReportedLoad()
        self.slots, self.run_s, self.learn = slots, run_s, learn
        self.slowdown, self.knee = slowdown, knee
        self.running = self.sent = 0
        self.rejected = self.forwarded = self.served = self.slowed = 0
        self.ends = []
        self.count = 0
        self.own_at = self.other_at = 0.0
        own_per_s = slots * (1 - other) / run_s * load
        other_per_s = slots * other / run_s
        now = 0.0
        while now < seconds:
            if not other or self.own_at <= self.other_at:
                now = self.own_at
                self.own_at += self.source.expovariate(own_per_s)
                self.finish(now)
                self.arrive(now)
            else:
                now = self.other_at
                self.other_at += self.source.expovariate(other_per_s)
                self.finish(now)
                if self.running < self.slots:
                    self.run(None, now)

    def arrive(self, now):
        self.queue.remove_overdue(now)
        job = gate_queue.Job(1, False, "r", now + 1.0, 0.5)
        if self.queue.offer(job, now) is gate_queue.Decision.START:
            self.start(job, now)

    def run(self, job, now):
        """Run a request at the upstream."""
        self.running += 1
        ran_s = self.run_s * self.source.uniform(0.5, 1.5)
        ran_s *= self.slowdown(now)
        if self.knee and self.running > 0.95 * self.slots:
            ran_s *= 1.3
            self.slowed += job is not None
        self.count += 1
        heapq.heappush(self.ends, (now + ran_s, self.count, job, now))

    def start(self, job, now):
        """Forward a request, which the upstream may reject as full."""
        self.forwarded += 1
        self.sent += 1
        if self.running >= self.slots:
            self.rejected += 1
            self.report(True, now)
            self.sent -= 1
            self.release(job, None, now)
            return
        self.run(job, now)

    def release(self, job, ran_s, now):
        for started in self.queue.finish(job, ran_s, now).started:
            self.start(started, now)

    def report(self, rejected, now):
        if not self.learn:
            return
        percent = round(self.slowdown(now) * 100)
        report = reported_load.parse(
            [b"%d,0,%d,%d" % (self.running, self.slots, percent)]
        )
        self.known.apply(report, now, self.sent, rejected, now)
        self.queue.learn_reported(self.known.ceiling(now))

    def finish(self, until):
        while self.ends and self.ends[0][0] <= until:
            now, _, job, began = heapq.heappop(self.ends)
            self.running -= 1
            if job is not None:
                self.served += 1
                self.report(False, now)
                self.sent -= 1
                self.release(job, now - began, now)


class TestCeiling:
    """An upstream's own rejections as full are at most 2 % of arrivals."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("slots", [8, 20, 40])
    def test_fewer_slots_than_listed(self, seed, slots):
        replay = Replay(seed, slots=slots, listed=2 * slots)
        assert replay.rejected <= 0.02 * replay.forwarded

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("other", [0.1, 0.3, 0.5])
    def test_other_work_shares_the_upstream(self, seed, other):
        replay = Replay(seed, slots=40, listed=40, other=other)
        assert replay.rejected <= 0.02 * replay.forwarded

    @pytest.mark.parametrize("seed", SEEDS)
    def test_capacity_is_used(self, seed):
        # A ceiling must not give up what the upstream still has.
        with_reports = Replay(seed, load=1.3)
        without = Replay(seed, load=1.3, learn=False)
        assert with_reports.served >= 0.98 * without.served

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("slots", [10, 20, 22, 24, 41, 60])
    def test_knee_is_not_reached(self, seed, slots):
        # Above 95 % of the slots work takes 1.3 times as long.
        replay = Replay(seed, slots=slots, listed=slots, load=1.3)
        assert replay.slowed <= 0.02 * replay.forwarded

    def test_ceiling_is_lifted_when_reports_stop(self):
        queue = gate_queue.GateQueue()
        queue.learn_slots(20)
        assert not queue.learn_reported(8)
        assert queue.limit == 8
        assert queue.learn_reported(None)
        assert queue.limit == 19
        assert not queue.learn_reported(40)
        assert queue.limit == 19


def run_mesh(scenario, **changes):
    """Run a scenario on a mesh with two hosts of one service."""

    async def work():
        cluster = mesh.Mesh()
        await cluster.start({"drawers": ["low-a"] * 2}, **changes)
        return await scenario(cluster)

    return net.run(work)


async def send_many(cluster, count, at_once):
    """Send requests to the first host; return the responses."""
    responses = []
    for _ in range(count // at_once):
        responses += await asyncio.gather(
            *[cluster.send(cluster.hosts[0]) for _ in range(at_once)]
        )
    return responses


class TestGate:
    """The reports of upstreams on the simulated network."""

    def advertise(self, cluster, value):
        for host in cluster.hosts:
            host.upstream.advertised_headers = {LOAD: value}

    def limits(self, cluster):
        return [host.node.gate.queue.limit for host in cluster.hosts]

    def test_reported_slots_limit_concurrency(self):
        async def scenario(cluster):
            self.advertise(cluster, "1,0,4,250")
            responses = await send_many(cluster, 40, 2)
            metrics = cluster.hosts[0].node.counts.render()
            return responses, self.limits(cluster), metrics

        responses, limits, metrics = run_mesh(scenario, slots=20)
        assert limits == [3, 3]
        assert {item.status for item in responses} == {200}
        assert not any(item.header(LOAD.encode()) for item in responses)
        assert b"savorytally_upstream_reported_slots 4" in metrics
        assert b"savorytally_upstream_slowdown_percent 250" in metrics

    @pytest.mark.parametrize("value", ["", "x", "0,0,0", "-1,0,4", "9" * 99])
    def test_wrong_reports_change_nothing(self, value):
        async def scenario(cluster):
            self.advertise(cluster, value)
            responses = await send_many(cluster, 40, 2)
            return responses, self.limits(cluster)

        responses, limits = run_mesh(scenario, slots=20)
        assert limits == [19, 19]
        assert {item.status for item in responses} == {200}

    def test_report_on_a_rejection_is_read(self):
        async def scenario(cluster):
            self.advertise(cluster, "4,0,4")
            for host in cluster.hosts:
                host.upstream.rejects = lambda: True
            await send_many(cluster, 4, 2)
            metrics = cluster.hosts[0].node.counts.render()
            return self.limits(cluster), metrics

        limits, metrics = run_mesh(scenario, slots=20)
        assert min(limits) < 4
        assert b"savorytally_upstream_rejected_free 0" in metrics
        assert b"savorytally_upstream_rejected_full 0" not in metrics

    def test_gate_counts_the_requests_at_its_upstream(self):
        # Requests that are withdrawn or cut off must not be counted for ever.
        async def scenario(cluster):
            upstream = cluster.hosts[0].upstream
            upstream.work_s = 0.2
            upstream.fault = lambda connection, name, answer: (
                connection.transport.abort()
                if name.endswith("3")
                else connection.transport.write(answer)
            )
            await asyncio.gather(
                *[
                    cluster.send(
                        cluster.hosts[0],
                        leave_after_s=0.1 if index % 3 == 0 else None,
                    )
                    for index in range(30)
                ]
            )
            await asyncio.sleep(3)
            return [host.node.gate._sent for host in cluster.hosts]

        assert run_mesh(scenario) == [0, 0]


class TestResult:
    def test_slowdown_is_sent_only_when_reported(self):
        # Builds without the field reject frames that contain it.
        plain = frames.Result(1, results.ANSWERED.number)
        slow = plain._replace(slowdown=250)
        assert len(slow.encoded_fields) == len(plain.encoded_fields) + 1
        for sent in (plain, slow):
            data = frames.encode(frames.Kind.RESULT, *sent.encoded_fields)
            (frame,) = frames.Decoder().feed(data)
            assert frames.Result(*frame[1:]) == sent

    def test_sender_that_does_not_read_it_gets_no_slowdown(self):
        async def scenario(cluster):
            gate = cluster.hosts[0].node.gate
            cluster.hosts[0].upstream.advertised_headers = {LOAD: "1,0,8,250"}
            found = []
            for flags in (0, frames.Flag.OPTIONAL_FIELDS):
                call = frames.Call(
                    *(1, "i-1", "r-lookup", b"GET", b"/drawers/1", [], b""),
                    *(1000, 500, 1, flags | frames.Flag.IDEMPOTENT),
                    *("growers", "drawers", b"request-1"),
                )
                gate.run(call, found.append)
                await asyncio.sleep(0.5)
            return [item.slowdown for item in found]

        assert run_mesh(scenario) == [None, 250]


class TestPlacement:
    def make(self, *names):
        known = placement.Placement(
            "low-a", {"low-a": "low"}, random.Random(1)
        )
        listed = {
            name: catalog.Instance(
                instance_id=name,
                service="almanac",
                address=name,
                port=1,
                data_centre="low-a",
                slots=20,
                ready=True,
                cold_s=0.0,
            )
            for name in names
        }
        known.learn_instances(listed, 0.0)
        return known

    def chosen(self, known, now, count=200):
        names = [
            known.choose("almanac", "r", (), 0.5, now).instance_id
            for _ in range(count)
        ]
        return {name: names.count(name) / count for name in set(names)}

    def test_upstream_that_is_slow_at_the_moment_gets_less(self):
        known = self.make("slow", "usual")
        for index in range(100):
            for name in ("slow", "usual"):
                known.record_load(name, "r", 0.05, 1, 19, 1 + index / 100)
                known.record_slowdown(name, 100, 1 + index / 100)
        known.record_slowdown("slow", 250, 2.0)
        # Its share by speed is 1 / 3.5.
        assert self.chosen(known, 2.0)["slow"] < 0.35
        # It changes many times a second: an old report has no weight.
        assert 0.4 < self.chosen(known, 2.3)["slow"] < 0.6

    def test_lasting_slowdown_is_not_counted_twice(self):
        # The mean run time contains it already.
        known = self.make("slow", "usual")
        for index in range(100):
            now = 1 + index / 100
            for name, percent in (("slow", 200), ("usual", 100)):
                known.record_load(name, "r", 0.05, 1, 19, now)
                known.record_slowdown(name, percent, now)
        assert 0.4 < self.chosen(known, 2.0)["slow"] < 0.6
