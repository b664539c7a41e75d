"""Entry, dispatch, gate and egress, composed without ports."""

import asyncio

from fakes import documents
from fakes import nodes
import pytest

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
    listed = {
        f"{service}-{number}": documents.host(service, number, 1 + number)
        for number, service in enumerate(services)
    }
    return nodes.Fleet(himali, hosts.read(1, listed))


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
    def test_refuses_before_dispatch(self, run, fleet, request_, code):
        made = fleet.add("browse-0", answer_ok)
        outcome = run(made.entry.handle(request_))
        assert outcome.code is code
        assert fleet.peers.calls == []

    def test_organisation_must_be_the_key_s_own(self, run, fleet):
        made = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        foreign = get("/browse/species", X_Organisation="ORG2")
        outcome = run(made.entry.handle(foreign))
        assert outcome.code is results.NOT_PERMITTED
        own = get("/browse/species", X_Organisation="ORG1")
        assert run(made.entry.handle(own)).code is results.ANSWERED

    def test_upstream_is_told_the_key_s_organisation(self, run, fleet):
        told = []

        async def note(request, timeout_s):
            told.extend(
                value
                for name, value in request.headers
                if name == headers.ORGANISATION
            )
            return OK

        made = fleet.add("browse-0", note)
        fleet.add("browse-2", note)
        run(made.entry.handle(get("/browse/species", "org3")))
        assert told == ["org3"]

    def test_every_naming_scheme_reaches_the_same_route(self, run, fleet):
        made = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        for scheme in documents.SCHEMES:
            service = documents.names("browse")[scheme]
            name = documents.names("species")[scheme]
            outcome = run(made.entry.handle(get(f"/{service}/{name}")))
            assert outcome.code is results.ANSWERED
        routes = {call.route_id for call in fleet.peers.calls}
        assert routes == {"species"}

    def test_no_peer_frame_carries_the_key(self, run, fleet):
        made = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        run(made.entry.handle(get("/browse/species")))
        assert documents.key_of("org1") not in repr(fleet.peers.calls)

    def test_gate_level_sheds_at_the_entry(self, run, fleet):
        made = fleet.add("browse-0", answer_ok)
        level = shedding.rank(route.Priority.NORMAL, 0)

        def overloaded(target, call):
            return ports.CallResult(OK, level)

        fleet.peers.intercept = overloaded
        for _ in range(4):
            run(made.entry.handle(get("/browse/species")))
        sent = len(fleet.peers.calls)
        refused = run(made.entry.handle(get("/browse/species")))
        assert refused.code is results.SHED_AT_ENTRY
        assert refused.retry_after_ms > 0
        assert len(fleet.peers.calls) == sent


class TestDispatch:
    def test_retries_not_run_on_another_host(self, run, fleet):
        made = fleet.add("browse-0", answer_ok)
        fleet.add("browse-2", answer_ok)
        targets = []

        def first_fails(target, call):
            targets.append(target.host_id)
            if len(targets) > 1:
                return None
            return ports.CallResult(outcomes.Failure(results.NOT_DISPATCHED))

        fleet.peers.intercept = first_fails
        outcome = run(made.entry.handle(get("/browse/species")))
        assert outcome.code is results.ANSWERED
        assert sorted(targets) == ["browse-0", "browse-2"]

    def test_unknown_outcome_is_not_repeated_unless_idempotent(
        self, run, himali
    ):
        listed = {
            f"s{number}": documents.host("sightings", number, 1 + number)
            for number in range(4)
        }
        fleet = nodes.Fleet(himali, hosts.read(1, listed))
        made = fleet.add("s0", answer_ok)
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
        outcome = run(made.entry.handle(request))
        assert outcome.code is results.OUTCOME_UNKNOWN
        assert len(fleet.peers.calls) == 1

    def test_refused_retry_does_not_deny_an_unknown_attempt(self, run, fleet):
        made = fleet.add("browse-0", answer_ok)
        codes = iter([results.OUTCOME_UNKNOWN, results.NOT_DISPATCHED])
        fleet.peers.intercept = lambda target, call: ports.CallResult(
            outcomes.Failure(next(codes))
        )
        outcome = run(made.entry.handle(get("/browse/species")))
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
        made = fleet.add("browse-2", answer_ok)
        fleet.peers.nodes["checklist-3"] = parent
        outcome = run(made.entry.handle(get("/checklist/pull")))
        assert outcome.code is results.ANSWERED
        above, below = fleet.peers.calls
        assert below.root_id == above.root_id
        assert below.organisation_id == "org1"
        assert below.priority == route.Priority.CRITICAL
        assert below.depth == 1

    def test_token_dies_with_its_call(self, run, fleet):
        tokens = []

        async def keep_token(request, timeout_s):
            tokens.append(dict(request.headers)[headers.CALL_TOKEN])
            return OK

        made = fleet.add("browse-0", keep_token)
        fleet.add("browse-2", keep_token)
        run(made.entry.handle(get("/browse/species")))
        child = get("/browse/species", "", **{headers.CALL_TOKEN: tokens[0]})
        outcome = run(made.egress.handle(child))
        assert outcome.code is results.CALL_TOKEN_REJECTED

    def test_upstream_that_repeats_a_child_is_bounded(self, run, fleet):
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
        made = fleet.add("browse-2", answer_ok)
        fleet.peers.intercept = fail_children
        run(made.entry.handle(get("/checklist/pull")))
        children = [call for call in fleet.peers.calls if call.depth == 1]
        bound = made.view.configuration.retries.per_root
        assert len(children) - 1 <= bound
        assert codes[-1] is results.RETRIES_SPENT


class TestControl:
    def test_fault_in_one_participant_stops_no_other(self, fleet):
        class Faulty:
            handles = ()

            def tick(self, now):
                raise ValueError("fault")

        class Counting:
            handles = ()
            ticks = 0

            def tick(self, now):
                self.ticks += 1
                return []

        made = fleet.add("browse-0", answer_ok)
        counting = Counting()
        made.control.add(Faulty())
        made.control.add(counting)
        made.control.tick()
        assert counting.ticks == 1

    def test_queued_call_leaves_when_its_deadline_passes(self, run, fleet):
        async def work():
            held = asyncio.Event()

            async def wait(request, timeout_s):
                await held.wait()
                return OK

            made = fleet.add("browse-0", wait, policies=ADAPTIVE)
            fleet.add("browse-2", wait, policies=ADAPTIVE)
            slots = made.view.configuration.services["browse"].slots
            calls = [
                asyncio.ensure_future(
                    made.entry.handle(get("/browse/species"))
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
            held.set()
            await asyncio.gather(*calls)
            return refused

        refused = run(work())
        assert refused
        assert all(outcome.code.not_run for outcome in refused)
