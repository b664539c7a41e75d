"""Quarantine of requests that crash upstreams."""

import asyncio
import random

from fakes import documents
from fakes import nodes
from fakes import transport
import pytest

from savorytally import outcomes
from savorytally import results
from savorytally.decisions import admission
from savorytally.decisions import crash_detection
from savorytally.decisions import quarantine
from savorytally.decisions import refusal_cache
from savorytally.parts import context
from savorytally.world import hosts

CRASHER = 666
BROKEN = admission.CallEnd.BROKEN
ANSWERED = admission.CallEnd.ANSWERED
CALM = transport.NetworkConditions()


def request_for(bird):
    key = documents.key_of("org1")
    return context.Request(
        "GET",
        f"/browse/species/{bird}",
        "",
        (("Authorization", f"Bearer {key}"),),
        b"",
    )


HOSTS = [f"checklist-{number}" for number in range(8)]


class Service:
    """Gates of one service whose upstreams crash on one request."""

    def __init__(self, seed, conditions=CALM):
        self.source = random.Random(seed)
        self.carrier = transport.Transport(self.source, conditions)
        self.nodes = {
            host_id: quarantine.Quarantine(host_id, self.peers_of(host_id))
            for host_id in HOSTS
        }
        self.lost = set()
        self.refused = 0
        self.tickets = iter(range(1_000_000))
        for host_id, node in self.nodes.items():
            self.carrier.join(host_id, [node])

    @staticmethod
    def peers_of(host_id):
        return lambda: [other for other in HOSTS if other != host_id]

    @property
    def now(self):
        return self.carrier.clock.now()

    def send(self, host_id, fingerprint, neighbours=(), service_s=0.02):
        """Run a request if the quarantine allows it; return its verdict."""
        node = self.nodes[host_id]
        verdict = node.check(fingerprint, self.now)
        if isinstance(verdict, quarantine.Quarantined):
            self.refused += 1
            return verdict
        if isinstance(verdict, quarantine.WaitForTrial):
            return verdict
        running = [fingerprint]
        if isinstance(verdict, quarantine.Unrestricted):
            running += neighbours
        started = {next(self.tickets): item for item in running}
        for ticket, item in started.items():
            node.started(ticket, item, self.now)
        self.carrier.at(service_s, lambda: self.finish(host_id, started))
        return verdict

    def finish(self, host_id, started):
        crashed = CRASHER in started.values()
        if crashed:
            self.lost.add(host_id)
        for ticket in started:
            end = BROKEN if crashed else ANSWERED
            self.nodes[host_id].ended(ticket, end, True, self.now)


class TestCrashDetector:
    def test_all_calls_broken_is_a_crash(self):
        detector = crash_detection.CrashDetector()
        for ticket in (1, 2, 3):
            detector.started(ticket, ticket * 10, False, 0.0)
        assert detector.broken(1, 1.0) is None
        assert detector.broken(2, 1.01) is None
        crash = detector.broken(3, 1.02)
        assert crash.fingerprints == {10, 20, 30}

    def test_one_broken_connection_is_no_crash(self):
        detector = crash_detection.CrashDetector()
        for ticket in (1, 2):
            detector.started(ticket, ticket, False, 0.0)
        assert detector.broken(1, 1.0) is None
        detector.answered(2)
        detector.started(3, 3, False, 1.1)
        crash = detector.broken(3, 1.2)
        assert crash.fingerprints == {3}

    def test_refused_connection_confirms_a_crash(self):
        detector = crash_detection.CrashDetector()
        detector.started(1, 10, False, 0.0)
        detector.started(2, 20, False, 0.0)
        detector.broken(1, 1.0)
        detector.started(3, 30, False, 1.1)
        crash = detector.refused(3, 1.1)
        assert crash.fingerprints == {10}


class TestConviction:
    @pytest.mark.parametrize("seed", range(20))
    def test_retried_crasher_crashes_at_most_three_hosts(self, seed):
        conditions = transport.NetworkConditions(
            loss_rate=0.1, duplication_rate=0.1
        )
        service = Service(seed, conditions)
        for _ in range(400):
            host_id = service.source.choice(HOSTS)
            service.send(host_id, CRASHER, neighbours=(1, 2))
            service.carrier.run(0.1)
        assert len(service.lost) <= 3
        assert service.refused > 300

    @pytest.mark.parametrize("seed", range(20))
    def test_storm_of_retries_crashes_at_most_three_hosts(self, seed):
        service = Service(seed)
        service.send(HOSTS[0], CRASHER, neighbours=(1, 2))
        service.carrier.run(0.3)
        for _ in range(100):
            for host_id in HOSTS:
                service.send(host_id, CRASHER)
            service.carrier.run(0.05)
        assert len(service.lost) <= 3

    def test_conviction_expires(self):
        node = quarantine.Quarantine("a", lambda: [])
        node.apply_conviction(CRASHER, 1_000, 0.0)
        assert isinstance(node.check(CRASHER, 0.5), quarantine.Quarantined)
        assert node.check(CRASHER, 1.5) == quarantine.UNRESTRICTED


class TestNodes:
    def test_retried_crasher_crashes_few_hosts_and_others_are_served(
        self, run, himali
    ):
        listed = {
            f"b{number}": documents.host("browse", number, 1 + number)
            for number in range(8)
        }
        fleet = nodes.Fleet(himali, hosts.read(1, listed))
        lost = set()

        def upstream_of(host_id):
            async def serve(request, timeout_s):
                if request.path.endswith("crash"):
                    lost.add(host_id)
                    return outcomes.Failure(results.UPSTREAM_BROKEN)
                return outcomes.Answer(200, (), b"whole")

            return serve

        for host_id in listed:
            fleet.add(host_id, upstream_of(host_id))
        made = fleet.peers.nodes

        def spread():
            for sender, item in made.items():
                now = fleet.clock.now()
                for sent in item.quarantine.tick(now):
                    peer = made[sent.host_id].quarantine
                    peer.receive(sender, sent.message, now)

        async def pump():
            while True:
                await asyncio.sleep(0.01)
                fleet.clock.advance(0.1)
                spread()

        async def work():
            pumping = asyncio.ensure_future(pump())
            codes = []
            for number in range(40):
                entry = made[f"b{number % 8}"].entry
                outcome = await entry.handle(request_for("crash"))
                codes.append(outcome.code)
                other = await entry.handle(request_for("wren"))
                assert other.code is results.ANSWERED
                await asyncio.sleep(0.01)
            pumping.cancel()
            return codes

        codes = run(work())
        assert len(lost) <= 3
        assert codes[-1] is results.QUARANTINED


class TestRefusalCache:
    def test_entry_refuses_until_the_conviction_expires(self):
        cache = refusal_cache.RefusalCache()
        cache.note(CRASHER, 1_000, 5.0)
        assert 0 < cache.remaining_ms(CRASHER, 5.5) <= 501
        assert cache.remaining_ms(CRASHER, 6.0) == 0
        assert cache.remaining_ms(1, 5.5) == 0

    def test_its_size_is_bounded(self):
        cache = refusal_cache.RefusalCache()
        for fingerprint in range(refusal_cache.ENTRIES_MAX + 10):
            cache.note(fingerprint, 1_000, 0.0)
        remembered = sum(
            cache.remaining_ms(fingerprint, 0.1) > 0
            for fingerprint in range(refusal_cache.ENTRIES_MAX + 10)
        )
        assert remembered == refusal_cache.ENTRIES_MAX


class TestConcurrentRequests:
    def test_concurrent_requests_run_again_and_are_cleared(self):
        service = Service(3)
        service.send(HOSTS[0], CRASHER, neighbours=(1, 2))
        service.carrier.run(0.5)
        for _ in range(30):
            for neighbour in (1, 2):
                service.send(service.source.choice(HOSTS), neighbour)
            service.carrier.run(0.1)
        for node in service.nodes.values():
            for neighbour in (1, 2):
                verdict = node.check(neighbour, service.now)
                assert verdict == quarantine.UNRESTRICTED
        assert service.lost == {HOSTS[0]}

    def test_popular_request_is_cleared_by_its_next_response(self):
        service = Service(4)
        service.send(HOSTS[1], 1, service_s=0.5)
        service.send(HOSTS[0], CRASHER, neighbours=(1,))
        service.carrier.run(0.3)
        verdict = service.nodes[HOSTS[2]].check(1, service.now)
        assert verdict == quarantine.WAIT
        service.carrier.run(0.7)
        verdict = service.nodes[HOSTS[2]].check(1, service.now)
        assert verdict == quarantine.UNRESTRICTED
