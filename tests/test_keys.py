"""Withdrawn keys: queued calls, child calls, pauses and lagging gates."""

import asyncio
import dataclasses
import random

from fakes import documents
from fakes import nodes
import pytest

from savorytally import defaults
from savorytally import outcomes
from savorytally import results
from savorytally.decisions import freshness
from savorytally.parts import context
from savorytally.parts import headers
from savorytally.world import document
from savorytally.world import hosts

OK = outcomes.Answer(200, (), b"ok")


def without_key(organisation: str, version: int = 2):
    """Return a configuration in which an organisation holds no key."""
    changed = documents.himali(version)
    changed["organisations"][organisation]["key_digests"] = []
    return document.read(changed)


def request(path: str, key: str = "") -> context.Request:
    """Return a request that presents a key."""
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
    def test_only_for_the_organisation_that_holds_the_key(self, himali):
        digest = documents.digest_of("org1")[:16]
        assert himali.granted("org1", digest)
        assert not himali.granted("org2", digest)
        assert not himali.granted("org1", digest[:15])

    def test_not_after_withdrawal(self):
        digest = documents.digest_of("org1")[:16]
        assert not without_key("org1").granted("org1", digest)


class TestWithdrawal:
    def test_queued_call_is_refused_when_its_turn_comes(self, run, fleet):
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

    def test_child_call_of_a_running_parent_is_refused(self, run, fleet):
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


class TestLaggingGate:
    def test_new_key_is_not_called_rejected_by_an_old_gate(self, run, fleet):
        made = fleet.add("browse-0", lambda request_, timeout_s: None)
        call = dataclasses.replace(
            nodes_call(fleet, run), key_id="f" * 16, organisation_id="org1"
        )
        assert run(made.gate.run(call)).code is results.KEY_REJECTED
        made.dissemination.behind("browse-1", 9, fleet.clock.now())
        assert run(made.gate.run(call)).code is results.STALE_VIEW


def nodes_call(fleet, run):
    """Return a call as the entry would send it."""

    async def answer(request_, timeout_s):
        return OK

    fleet.add("browse-1", answer)
    entry = fleet.add("browse-0", answer).entry
    key = documents.key_of("org1")
    run(entry.handle(request("/browse/species", key)))
    return fleet.peers.calls[-1]


class TestPause:
    def test_nothing_is_admitted_after_a_pause(self, run, fleet):
        ran = []

        async def note(request_, timeout_s):
            ran.append(request_.path)
            return OK

        fleet.add("browse-1", note)
        made = fleet.add("browse-0", note)
        made.control.tick()
        fleet.clock.advance(defaults.PAUSE_GAP_S + 0.1)
        key = documents.key_of("org1")
        outcome = run(made.entry.handle(request("/browse/species", key)))
        assert outcome.code is results.STALE_VIEW
        assert ran == []

    def test_short_gap_is_no_pause(self, run, fleet):
        async def answer(request_, timeout_s):
            return OK

        fleet.add("browse-1", answer)
        made = fleet.add("browse-0", answer)
        made.control.tick()
        fleet.clock.advance(defaults.PAUSE_GAP_S - 0.1)
        key = documents.key_of("org1")
        outcome = run(made.entry.handle(request("/browse/species", key)))
        assert outcome.code is results.ANSWERED

    def test_watch_begun_before_the_pause_confirms_nothing(self, source):
        judge = freshness.PauseDetector(source)
        judge.tick(10.0)
        judge.tick(20.0)
        judge.platform_read(19.9)
        assert not judge.confirmed(20.1)
        judge.platform_read(20.0)
        assert judge.confirmed(20.2)

    def test_answer_to_an_earlier_question_confirms_nothing(self, source):
        judge = freshness.PauseDetector(source)
        judge.tick(10.0)
        judge.tick(20.0)
        judge.check_peer_replies({"configuration": 9})
        assert not judge.confirmed(20.1)

    def test_view_behind_the_answer_is_not_confirmed(self, source):
        judge = freshness.PauseDetector(source)
        judge.tick(10.0)
        judge.tick(20.0)
        judge.query.record_reply("peer", (("configuration", 3),))
        judge.check_peer_replies({"configuration": 2})
        assert not judge.confirmed(20.1)
        judge.check_peer_replies({"configuration": 3})
        assert judge.confirmed(20.2)

    def test_goes_on_when_nobody_answers_for_long(self, source):
        judge = freshness.PauseDetector(source)
        judge.tick(10.0)
        now = 20.0
        while now < 20.0 + defaults.CONFIRM_GIVE_UP_S - 0.1:
            assert not judge.confirmed(now)
            now += defaults.CONTROL_TICK_S
        assert judge.confirmed(now + 0.3)
        assert judge.unconfirmed_resumes == 1
