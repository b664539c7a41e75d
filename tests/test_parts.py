"""Tests of entry, dispatch, gate and egress on nodes without open ports."""

import asyncio

from fakes import documents
from fakes import nodes
import pytest

from savorytally import defaults
from savorytally import outcomes
from savorytally import ports
from savorytally import results
from savorytally import settings
from savorytally.decisions import shedding
from savorytally.parts import context
from savorytally.parts import headers
from savorytally.world import hosts
from savorytally.world import route

ADAPTIVE = settings.Policies(admission="adaptive", quota="local")
OK = outcomes.Answer(200, (), b"ok")


async def answer_ok(request, timeout_s):
    return OK


@pytest.fixture
def fleet(himali):
    services = ["browse", "checklist", "browse", "checklist"]
    host_entries = {
        f"{service}-{number}": documents.host(service, number, 1 + number)
        for number, service in enumerate(services)
    }
    return nodes.Fleet(himali, hosts.read(1, host_entries))


def get(path, organisation="org1", **extra):
    pairs = tuple((name.replace("_", "-"), v) for name, v in extra.items())
    if organisation:
        key = documents.key_of(organisation)
        pairs += (("Authorization", f"Bearer {key}"),)
    return context.Request("GET", path, "", pairs, b"")


class TestEntry:
    @pytest.mark.parametrize(
        ("request_", "code"),
        [
            (get("/nowhere/species"), results.UNKNOWN_ROUTE),
            (get("/browse/nothing"), results.UNKNOWN_ROUTE),
            (get("/browse/species", ""), results.KEY_MISSING),
            (get("/browse/species", "nobody"), results.KEY_REJECTED),
            (
                get("/browse/species", X_Request_Timeout_Ms="soon"),
                results.MALFORMED_REQUEST,
            ),
            (
                get("/browse/species/" + documents.key_of("org1")),
                results.KEY_MISPLACED,
            ),
        ],
    )
    def test_invalid_request_is_rejected_before_dispatch(
        self, run, fleet, request_, code
    ):
        node = fleet.add("browse-0", answer_ok)
        outcome = run(node.entry.handle(request_))
        assert outcome.code is code
        assert fleet.peers.calls == []

    def test_organisation_header_must_match_the_key(self, run, fleet):
        node = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        foreign = get("/browse/species", X_Organisation="ORG2")
        outcome = run(node.entry.handle(foreign))
        assert outcome.code is results.NOT_PERMITTED
        own = get("/browse/species", X_Organisation="ORG1")
        assert run(node.entry.handle(own)).code is results.ANSWERED

    def test_upstream_receives_the_organisation_of_the_key(self, run, fleet):
        received = []

        async def record(request, timeout_s):
            received.extend(
                value
                for name, value in request.headers
                if name == headers.ORGANISATION
            )
            return OK

        node = fleet.add("browse-0", record)
        fleet.add("browse-2", record)
        run(node.entry.handle(get("/browse/species", "org3")))
        assert received == ["org3"]

    def test_names_of_every_scheme_resolve_to_the_same_route(self, run, fleet):
        node = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        for scheme in documents.SCHEMES:
            service = documents.names("browse")[scheme]
            name = documents.names("species")[scheme]
            outcome = run(node.entry.handle(get(f"/{service}/{name}")))
            assert outcome.code is results.ANSWERED
        routes = {call.route_id for call in fleet.peers.calls}
        assert routes == {"species"}

    def test_calls_to_peers_do_not_contain_the_key(self, run, fleet):
        node = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        run(node.entry.handle(get("/browse/species")))
        assert documents.key_of("org1") not in repr(fleet.peers.calls)

    def test_shed_level_of_the_gate_applies_at_the_entry(self, run, fleet):
        node = fleet.add("browse-0", answer_ok)
        level = shedding.rank(route.Priority.NORMAL, 0)

        def overloaded(target, call):
            return ports.CallResult(OK, level)

        fleet.peers.intercept = overloaded
        for _ in range(4):
            run(node.entry.handle(get("/browse/species")))
        sent = len(fleet.peers.calls)
        refused = run(node.entry.handle(get("/browse/species")))
        assert refused.code is results.SHED_AT_ENTRY
        assert refused.retry_after_ms > 0
        assert len(fleet.peers.calls) == sent


class TestDispatch:
    def test_call_that_was_not_run_is_retried_on_another_host(
        self, run, fleet
    ):
        node = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        targets = []

        def first_fails(target, call):
            targets.append(target.host_id)
            if len(targets) > 1:
                return None
            return ports.CallResult(outcomes.Failure(results.NOT_DISPATCHED))

        fleet.peers.intercept = first_fails
        outcome = run(node.entry.handle(get("/browse/species")))
        assert outcome.code is results.ANSWERED
        assert sorted(targets) == ["browse-0", "browse-2"]

    def test_unknown_outcome_is_not_retried_unless_idempotent(
        self, run, himali
    ):
        host_entries = {
            f"s{number}": documents.host("sightings", number, 1 + number)
            for number in range(4)
        }
        fleet = nodes.Fleet(himali, hosts.read(1, host_entries))
        node = fleet.add("s0", answer_ok)
        fleet.peers.intercept = lambda target, call: ports.CallResult(
            outcomes.Failure(results.OUTCOME_UNKNOWN)
        )
        key = documents.key_of("org1")
        request = context.Request(
            "POST",
            "/sightings/report",
            "",
            (
                (headers.AUTHORIZATION, f"Bearer {key}"),
                (headers.IDEMPOTENCY_KEY, "k1"),
            ),
            b"wren",
        )
        outcome = run(node.entry.handle(request))
        assert outcome.code is results.OUTCOME_UNKNOWN
        assert len(fleet.peers.calls) == 1

    def test_not_run_retry_does_not_hide_an_unknown_outcome(self, run, fleet):
        node = fleet.add("browse-0", answer_ok)
        codes = iter([results.OUTCOME_UNKNOWN, results.NOT_DISPATCHED])
        fleet.peers.intercept = lambda target, call: ports.CallResult(
            outcomes.Failure(next(codes))
        )
        outcome = run(node.entry.handle(get("/browse/species")))
        assert len(fleet.peers.calls) == 2
        assert outcome.code is results.OUTCOME_UNKNOWN


class TestEgress:
    def test_child_inherits_organisation_priority_and_depth(self, run, fleet):
        async def call_child(request, timeout_s):
            token = dict(request.headers)[headers.CALL_TOKEN]
            child = get("/browse/species", "", **{headers.CALL_TOKEN: token})
            return await parent.egress.handle(child)

        fleet.add("browse-0", answer_ok)
        parent = fleet.add("checklist-1", call_child)
        fleet.add("checklist-3", call_child)
        node = fleet.add("browse-2", answer_ok)
        fleet.peers.nodes["checklist-3"] = parent
        outcome = run(node.entry.handle(get("/checklist/pull")))
        assert outcome.code is results.ANSWERED
        parent_call, child_call = fleet.peers.calls
        assert child_call.root_id == parent_call.root_id
        assert child_call.organisation_id == "org1"
        assert child_call.priority == route.Priority.CRITICAL
        assert child_call.depth == 1

    def test_call_token_is_rejected_after_its_call(self, run, fleet):
        tokens = []

        async def keep_token(request, timeout_s):
            tokens.append(dict(request.headers)[headers.CALL_TOKEN])
            return OK

        node = fleet.add("browse-0", keep_token)
        fleet.add("browse-2", keep_token)
        run(node.entry.handle(get("/browse/species")))
        child = get("/browse/species", "", **{headers.CALL_TOKEN: tokens[0]})
        outcome = run(node.egress.handle(child))
        assert outcome.code is results.CALL_TOKEN_REJECTED

    def test_retries_of_a_child_call_by_its_upstream_are_bounded(
        self, run, fleet
    ):
        codes = []

        async def repeat_child(request, timeout_s):
            token = dict(request.headers)[headers.CALL_TOKEN]
            child = get("/browse/species", "", **{headers.CALL_TOKEN: token})
            for _ in range(20):
                outcome = await parent.egress.handle(child)
                codes.append(outcome.code)
            return OK

        def fail_children(target, call):
            if call.depth == 0:
                return None
            return ports.CallResult(outcomes.Failure(results.UPSTREAM_BROKEN))

        parent = fleet.add("checklist-1", repeat_child)
        fleet.add("checklist-3", repeat_child)
        fleet.peers.nodes["checklist-3"] = parent
        node = fleet.add("browse-2", answer_ok)
        fleet.peers.intercept = fail_children
        run(node.entry.handle(get("/checklist/pull")))
        children = [call for call in fleet.peers.calls if call.depth == 1]
        bound = node.view.configuration.retries.per_root
        assert len(children) - 1 <= bound
        assert codes[-1] is results.RETRIES_SPENT


class TestControl:
    def test_exception_in_a_participant_does_not_stop_the_others(self, fleet):
        class Failing:
            handles = ()

            def tick(self, now):
                raise ValueError("fault")

        class Counting:
            handles = ()
            ticks = 0

            def tick(self, now):
                self.ticks += 1
                return []

        node = fleet.add("browse-0", answer_ok)
        counting = Counting()
        node.control.add(Failing())
        node.control.add(counting)
        node.control.tick()
        assert counting.ticks == 1

    def test_exception_in_a_callback_does_not_end_the_ticks(self, run, fleet):
        """Without ticks, a node goes on serving with an outdated view."""
        ticks = []

        def fail():
            ticks.append(fleet.clock.now())
            raise ValueError("fault")

        async def work():
            node = fleet.add("browse-0", answer_ok)
            node.control.add_tick_callback(fail)
            ticking = asyncio.ensure_future(node.control.run())
            await asyncio.sleep(2.5 * defaults.CONTROL_TICK_S)
            ended = ticking.done()
            ticking.cancel()
            return ended

        assert not run(work())
        assert len(ticks) > 1

    def test_queued_call_is_rejected_when_its_deadline_passes(
        self, run, fleet
    ):
        async def work():
            released = asyncio.Event()

            async def wait_for_release(request, timeout_s):
                await released.wait()
                return OK

            node = fleet.add("browse-0", wait_for_release, policies=ADAPTIVE)
            fleet.add("browse-2", wait_for_release, policies=ADAPTIVE)
            slots = node.view.configuration.services["browse"].slots
            calls = [
                asyncio.ensure_future(
                    node.entry.handle(get("/browse/species"))
                )
                for _ in range(4 * slots)
            ]
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            fleet.clock.advance(10.0)
            for item in fleet.peers.nodes.values():
                item.control.tick()
            await asyncio.sleep(0.01)
            refused = [call.result() for call in calls if call.done()]
            released.set()
            await asyncio.gather(*calls)
            return refused

        refused = run(work())
        assert refused
        assert all(outcome.code.not_run for outcome in refused)
