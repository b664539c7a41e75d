"""Withdrawn keys: queued calls, child calls, pauses and outdated gates."""

import asyncio
import dataclasses
import random

from fakes import documents
from fakes import nodes
import pytest

from savorytally import defaults
from savorytally import outcomes
from savorytally import results
from savorytally.decisions import pause_detection
from savorytally.parts import context
from savorytally.parts import headers
from savorytally.world import document
from savorytally.world import hosts

OK = outcomes.Answer(200, (), b"ok")


def without_key(organisation: str, version: int = 2):
    """Return a configuration in which an organisation has no key."""
    changed = documents.himali(version)
    changed["organisations"][organisation]["key_digests"] = []
    return document.read(changed)


def request(path: str, key: str = "") -> context.Request:
    """Return a request with an API key."""
    pairs = (("Authorization", f"Bearer {key}"),) if key else ()
    return context.Request("GET", path, "", pairs, b"")


@pytest.fixture
def fleet(himali):
    services = ["browse", "browse", "checklist"]
    listed = {
        f"{service}-{number}": documents.host(service, number, 1 + number)
        for number, service in enumerate(services)
    }
    return nodes.Fleet(himali, hosts.read(1, listed))


@pytest.fixture
def source():
    return random.Random(1)


class TestGranted:
    def test_only_the_organisation_with_the_key_is_granted(self, himali):
        digest = documents.digest_of("org1")[:16]
        assert himali.granted("org1", digest)
        assert not himali.granted("org2", digest)
        assert not himali.granted("org1", digest[:15])

    def test_withdrawn_key_is_not_granted(self):
        digest = documents.digest_of("org1")[:16]
        assert not without_key("org1").granted("org1", digest)


class TestWithdrawal:
    def test_queued_call_is_rejected_when_it_is_dequeued(self, run, fleet):
        ran = []
        key = documents.key_of("org1")

        async def work():
            release = asyncio.Event()

            async def slow(request_, timeout_s):
                ran.append(request_.path)
                await release.wait()
                return OK

            made = fleet.add("browse-1", slow)
            entry = fleet.add("browse-0", slow).entry
            calls = [
                asyncio.ensure_future(
                    entry.handle(request("/browse/species", key))
                )
                for _ in range(200)
            ]
            await asyncio.sleep(0.05)
            started = len(ran)
            now = fleet.clock.now()
            for node in (made, fleet.peers.nodes["browse-0"]):
                node.view.offer_configuration(without_key("org1"), now)
            release.set()
            done = await asyncio.gather(*calls)
            return started, done

        started, done = run(work())
        codes = {item.code for item in done}
        assert 0 < started < len(done)
        assert len(ran) == started
        assert results.KEY_REJECTED in codes

    def test_child_call_of_a_running_parent_is_rejected(self, run, fleet):
        seen = []
        key = documents.key_of("org1")

        async def parent(request_, timeout_s):
            now = fleet.clock.now()
            for other in fleet.peers.nodes.values():
                other.view.offer_configuration(without_key("org1"), now)
            token = dict(request_.headers)[headers.CALL_TOKEN]
            node = next(
                item
                for item in fleet.peers.nodes.values()
                if item.tokens.find(token) is not None
            )
            child = context.Request(
                "GET",
                "/checklist/pull",
                "",
                ((headers.CALL_TOKEN, token),),
                b"",
            )
            seen.append(await node.egress.handle(child))
            return OK

        async def leaf(request_, timeout_s):
            seen.append("ran")
            return OK

        fleet.add("checklist-2", leaf)
        fleet.add("browse-1", parent)
        entry = fleet.add("browse-0", parent).entry
        run(entry.handle(request("/browse/species", key)))
        assert "ran" not in seen
        assert seen[0].code is results.KEY_REJECTED
        assert seen[0].code.not_run


class TestOutdatedGate:
    def test_outdated_gate_does_not_reject_a_new_key(self, run, fleet):
        made = fleet.add("browse-0", lambda request_, timeout_s: None)
        call = dataclasses.replace(
            call_from_entry(fleet, run),
            key_id="f" * 16,
            organisation_id="org1",
        )
        assert run(made.gate.run(call)).code is results.KEY_REJECTED
        made.dissemination.newer_version_seen("browse-1", 9, fleet.clock.now())
        assert run(made.gate.run(call)).code is results.STALE_VIEW


def call_from_entry(fleet, run):
    """Return a call as the entry sends it."""

    async def answer(request_, timeout_s):
        return OK

    fleet.add("browse-1", answer)
    entry = fleet.add("browse-0", answer).entry
    key = documents.key_of("org1")
    run(entry.handle(request("/browse/species", key)))
    return fleet.peers.calls[-1]


class TestPause:
    def test_no_request_is_admitted_after_a_pause(self, run, fleet):
        ran = []

        async def record_run(request_, timeout_s):
            ran.append(request_.path)
            return OK

        fleet.add("browse-1", record_run)
        made = fleet.add("browse-0", record_run)
        made.control.tick()
        fleet.clock.advance(defaults.PAUSE_GAP_S + 0.1)
        key = documents.key_of("org1")
        outcome = run(made.entry.handle(request("/browse/species", key)))
        assert outcome.code is results.STALE_VIEW
        assert ran == []

    def test_short_gap_does_not_count_as_a_pause(self, run, fleet):
        async def answer(request_, timeout_s):
            return OK

        fleet.add("browse-1", answer)
        made = fleet.add("browse-0", answer)
        made.control.tick()
        fleet.clock.advance(defaults.PAUSE_GAP_S - 0.1)
        key = documents.key_of("org1")
        outcome = run(made.entry.handle(request("/browse/species", key)))
        assert outcome.code is results.ANSWERED

    def test_read_started_before_the_pause_does_not_confirm(self, source):
        detector = pause_detection.PauseDetector(source)
        detector.tick(10.0)
        detector.tick(20.0)
        detector.platform_read(19.9)
        assert not detector.confirmed(20.1)
        detector.platform_read(20.0)
        assert detector.confirmed(20.2)

    def test_view_is_not_confirmed_without_a_reply(self, source):
        detector = pause_detection.PauseDetector(source)
        detector.tick(10.0)
        detector.tick(20.0)
        detector.check_peer_replies({"configuration": 9})
        assert not detector.confirmed(20.1)

    def test_view_older_than_a_reply_is_not_confirmed(self, source):
        detector = pause_detection.PauseDetector(source)
        detector.tick(10.0)
        detector.tick(20.0)
        detector.query.record_reply("peer", (("configuration", 3),))
        detector.check_peer_replies({"configuration": 2})
        assert not detector.confirmed(20.1)
        detector.check_peer_replies({"configuration": 3})
        assert detector.confirmed(20.2)

    def test_resumes_without_replies_after_the_timeout(self, source):
        detector = pause_detection.PauseDetector(source)
        detector.tick(10.0)
        now = 20.0
        while now < 20.0 + defaults.CONFIRM_TIMEOUT_S - 0.1:
            assert not detector.confirmed(now)
            now += defaults.CONTROL_TICK_S
        assert detector.confirmed(now + 0.3)
        assert detector.unconfirmed_resumes == 1
