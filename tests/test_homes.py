"""Homes of requests and evacuated data centres of the product's interface."""

import asyncio
import dataclasses
import json
import random

from fakes import chain
from fakes import documents
from fakes import nodes
from fakes import virtual_loop
import pytest

from savorytally import outcomes
from savorytally import results
from savorytally import settings
from savorytally import view
from savorytally.decisions import admission
from savorytally.decisions import balanced  # noqa: F401, registers a policy
from savorytally.decisions import dissemination
from savorytally.decisions import evacuation_refusals
from savorytally.decisions import retry
from savorytally.decisions import routing
from savorytally.http import admin_views
from savorytally.parts import context
from savorytally.parts import dispatch
from savorytally.parts import headers
from savorytally.parts import publications
from savorytally.world import configuration
from savorytally.world import document
from savorytally.world import document_parts
from savorytally.world import host
from savorytally.world import hosts
from savorytally.world import patch
from savorytally.world import publication
from savorytally.world import region
from savorytally.world import route
from savorytally.world import sections

KIRTIPUR = region.Place("bagmati", "kirtipur")
# Time within which an evacuation takes effect on all nodes in touch.
EVACUATION_BOUND_S = 5.0


def entry_of(place):
    """Return a data centre as the document's list of evacuations has it."""
    return {"region": place.region_id, "data_centre": place.data_centre_id}


def document_with(route=None, organisation=None, evacuated=(), version=1):
    """Return a document with homes of all routes or organisations."""
    value = documents.himali(version)
    for kind, homes in (("routes", route), ("organisations", organisation)):
        for member in value[kind].values():
            if homes is not None:
                member["regions"] = homes
    if evacuated:
        value["evacuated"] = [entry_of(place) for place in evacuated]
    return value


def through_sections(value):
    """Return a document as it is published in sections and assembled."""
    split = sections.split(value)
    head = sections.read_head(json.loads(sections.write_head(split.head)))
    whole = sections.assemble(head, split.bodies)
    assert isinstance(whole, sections.Whole)
    return whole.value


class TestDocument:
    def test_homes_of_route_and_organisation_both_bind(self):
        # Homes of one alone would let a request leave those of the other.
        value = document_with(["bagmati"])
        value["organisations"]["org1"]["regions"] = ["bagmati", "gandaki"]
        value["organisations"]["org2"]["regions"] = ["gandaki"]
        read = document.read(value)
        assert read.permitted_regions("pull", "org0") == {"bagmati"}
        assert read.permitted_regions("pull", "org1") == {"bagmati"}
        assert read.permitted_regions("pull", "org2") == frozenset()

    @pytest.mark.parametrize("homes", [None, []])
    def test_absent_and_empty_homes_permit_all_regions(self, homes):
        # An empty list that permitted no region would stop the route.
        read = document.read(document_with(homes, homes))
        assert read.permitted_regions("pull", "org1") is None
        assert read.evacuated == frozenset()

    @pytest.mark.parametrize(
        ("place", "new", "faulty"),
        [
            ("/routes/pull/regions", ["terai"], ""),
            ("/routes/pull/regions", "bagmati", ""),
            ("/routes/pull/regions", ["bagmati", 7], "/1"),
            ("/organisations/org1/regions", ["bagmati", "terai"], ""),
            ("/organisations/org1/regions", {}, ""),
            ("/evacuated", {}, ""),
            ("/evacuated", ["kirtipur"], "/0"),
            (
                "/evacuated",
                [{"region": "terai", "data_centre": "x"}],
                "/0/region",
            ),
            (
                "/evacuated",
                [{"region": "gandaki", "data_centre": "kirtipur"}],
                "/0/data_centre",
            ),
            ("/evacuated", [{"region": "gandaki"}], "/0/data_centre"),
            ("/evacuated", [{**entry_of(KIRTIPUR), "until": 9}], "/0/until"),
            ("/evacuated", [entry_of(KIRTIPUR)] * 2, "/1"),
        ],
    )
    def test_place_of_a_wrong_value(self, place, new, faulty):
        # A misspelt name that was ignored would leave requests unconfined
        # or a data centre in use.
        value = documents.himali()
        parent = value
        *above, last = place.split("/")[1:]
        for key in above:
            parent = parent[key]
        parent[last] = new
        read = document.read(value)
        assert isinstance(read, document.Refused)
        assert [fault.place for fault in read.faults] == [place + faulty]

    @pytest.mark.parametrize("kind", ["routes", "organisations"])
    def test_removed_region_is_a_fault_of_an_unchanged_member(self, kind):
        # Members that did not change are not read again with each version.
        value = document_with()
        value["regions"]["terai"] = {"data_centres": ["birgunj"]}
        member = next(iter(value[kind]))
        value[kind][member]["regions"] = ["terai"]
        reader = document.Reader()
        assert not isinstance(reader.read(value), document.Refused)
        newer = {**value, "version": 2, "regions": dict(value["regions"])}
        del newer["regions"]["terai"]
        read = reader.read(newer)
        assert [fault.place for fault in read.faults] == [
            f"/{kind}/{member}/regions"
        ]

    def test_patches_set_and_end_evacuations_and_homes(self):
        operations = [
            {
                "op": "add",
                "path": "/evacuated",
                "value": [entry_of(KIRTIPUR)],
            },
            {
                "op": "add",
                "path": "/routes/pull/regions",
                "value": ["gandaki"],
            },
        ]
        change = {"against": 7, "operations": operations}
        begun = patch.apply_value(documents.himali(7), change)
        assert begun.configuration.evacuated == {KIRTIPUR}
        assert begun.configuration.routes["pull"].homes == {"gandaki"}
        change = {
            "against": 8,
            "operations": [{"op": "remove", "path": "/evacuated/0"}],
        }
        ended = patch.apply_value(begun.value, change)
        assert ended.configuration.evacuated == frozenset()

    def test_administration_api_shows_both(self):
        # Operators check there what is in force on a node.
        read = document.read(document_with(["gandaki"], evacuated=[KIRTIPUR]))
        shown = admin_views.show_configuration(read)
        assert shown["evacuated"] == [entry_of(KIRTIPUR)]
        shown = admin_views.show_member(read.routes["pull"])
        assert shown["regions"] == ["gandaki"]
        shown = admin_views.show_member(read.organisations["org1"])
        assert shown["regions"] == []

    def test_divided_documents_carry_both_to_the_nodes(self):
        # A field that relays dropped would not reach nodes that do not read
        # the platform.
        value = document_with(["bagmati"], ["bagmati"], [KIRTIPUR], 3)
        current = view.View()
        received = publications.Publications(current)
        offered = publication.empty(dissemination.CONFIGURATION).replace(
            3, document_parts.divide(through_sections(value))
        )
        assert received.check(offered)
        received.activate(offered.name, 0.0)
        assert current.configuration.evacuated == {KIRTIPUR}
        regions = current.configuration.permitted_regions("pull", "org1")
        assert regions == {"bagmati"}
        later = through_sections({**value, "version": 4, "evacuated": []})
        delta = offered.replace(4, document_parts.divide(later)).since(3)
        assert [item.name for item in delta.sections] == [""]
        assert received.check(offered.apply(delta))


def configured(**fields):
    """Return the configuration of a document with these fields."""
    read = document.read(document_with(**fields))
    assert isinstance(read, configuration.Configuration)
    return read


def hosts_of(service, count=8, state="live"):
    """Return hosts in all data centres in rotation."""
    listed = {
        f"{service}-{number}": documents.host(
            service, number, 1 + number, state
        )
        for number in range(count)
    }
    return hosts.read(1, listed)


def choose(router, count=200, **fields):
    """Return the places that calls are sent to, or the refusal's code."""
    request = routing.RoutingRequest(
        "browse", "species", route.Priority.CRITICAL, **fields
    )
    found = set()
    for _ in range(count):
        choice = router.choose(request, 1.0)
        if isinstance(choice, routing.Unavailable):
            assert choice.retry_after_ms > 0
            return choice.code
        router.sent(choice.host.host_id, 1.0)
        found.add(choice.host.place)
    return found


KIND = pytest.mark.parametrize("kind", ["balanced", "random"])


class TestRouting:
    @staticmethod
    def router(kind, listed=None, **fields):
        made = routing.policies.get(kind)(KIRTIPUR, random.Random(7))
        made.learn_hosts((listed or hosts_of("browse")).hosts, 0.0)
        made.learn_configuration(configured(**fields), 0.0)
        return made

    @KIND
    @pytest.mark.parametrize("homes", [{"bagmati"}, {"gandaki"}])
    def test_calls_stay_in_the_permitted_regions(self, kind, homes):
        router = self.router(kind)
        places = choose(router, regions=frozenset(homes))
        assert {place.region_id for place in places} == homes

    @KIND
    def test_full_home_is_no_reason_to_leave_it(self, kind):
        # Calls of high classes cross regions when the nearest one sheds.
        router = self.router(kind)
        for number in range(0, 8, 2):
            shed = routing.Result(f"browse-{number}", "species", True, 9, 0.1)
            router.done(shed, 1.0)
        home = frozenset({"bagmati"})
        found = choose(router, regions=home, admits=lambda level: level < 9)
        if kind == "balanced":
            assert found is results.SHED_AT_ENTRY
        else:
            assert {place.region_id for place in found} == home

    @KIND
    @pytest.mark.parametrize("homes", [(), ("gandaki",)])
    def test_no_upstream_at_home_is_named(self, kind, homes):
        listed = host.HostList(
            1,
            {
                name: item
                for name, item in hosts_of("browse").hosts.items()
                if item.place.region_id == "bagmati"
            },
        )
        router = self.router(kind, listed)
        code = choose(router, regions=frozenset(homes))
        assert code is results.NOT_AT_HOME

    @KIND
    def test_evacuated_data_centre_gets_nothing_until_it_ends(self, kind):
        # The node's own data centre is preferred otherwise.
        router = self.router(kind, evacuated=[KIRTIPUR])
        assert KIRTIPUR not in choose(router)
        router.learn_hosts(hosts_of("browse").hosts, 2.0)
        assert KIRTIPUR not in choose(router)
        router.learn_configuration(configured(version=2), 3.0)
        assert KIRTIPUR in choose(router)

    @KIND
    def test_refusal_says_that_all_hosts_are_evacuated(self, kind):
        everywhere = [region.Place(*names) for names in documents.PLACES]
        router = self.router(kind, evacuated=everywhere)
        assert choose(router) is results.DATA_CENTRE_EVACUATED
        router = self.router(kind, evacuated=everywhere[::2])
        home = frozenset({"bagmati"})
        assert choose(router, regions=home) is results.DATA_CENTRE_EVACUATED
        assert choose(router)

    def test_level_of_a_confined_route_is_that_of_its_home(self):
        # The hosts of this region never report a level of such a route.
        router = self.router("balanced")
        confined = configured(route=["gandaki"]).routes["species"]
        for number in range(1, 8, 2):
            router.done(
                routing.Result(f"browse-{number}", "species", True, 9, 0.1),
                1.0,
            )
        assert router.route_level(confined, 1.0) == 9


class TestEvacuationRefusals:
    def test_one_lagging_gate_does_not_close_its_data_centre(self):
        # After an evacuation a node that is cut off still refuses.
        seen = evacuation_refusals.EvacuationRefusals()
        first, _, _, _, second, _, _, _ = hosts_of("browse").hosts.values()
        seen.note(first, 1.0)
        seen.note(first, 1.1)
        assert seen.expected(first, 1.2)
        assert not seen.expected(second, 1.2)

    def test_two_gates_close_their_data_centre_for_a_while(self):
        # Each refused attempt of an entry that lags costs a retry.
        seen = evacuation_refusals.EvacuationRefusals()
        first, _, other, _, second, _, _, _ = hosts_of("browse").hosts.values()
        seen.note(first, 1.0)
        seen.note(second, 1.1)
        third = dataclasses.replace(first, host_id="browse-8")
        assert seen.expected(third, 1.2)
        assert not seen.expected(other, 1.2)
        later = 1.2 + evacuation_refusals.AVOID_S
        assert not seen.expected(third, later)
        assert not seen.expected(first, later)


OK = outcomes.Answer(200, (), b"ok")
ADAPTIVE = settings.Policies(admission="adaptive", quota="local")


async def answer_ok(request, timeout_s):
    return OK


def get(path="/browse/species", **extra):
    """Return a request of an organisation, with further headers."""
    credentials = f"Bearer {documents.key_of('org1')}"
    pairs = [(name.replace("_", "-"), value) for name, value in extra.items()]
    return context.Request(
        "GET", path, "", (("Authorization", credentials), *pairs), b""
    )


def report(key):
    """Return a request that must run once."""
    request = get("/sightings/report", Idempotency_Key=key)
    return dataclasses.replace(request, method="POST")


class Fleet(nodes.Fleet):
    """Nodes of some services in all data centres.

    :param serve: returns the outcomes of all upstreams.
    :param services: the services; each has ``count`` hosts.
    :param fields: fields of the document.
    """

    def __init__(
        self, serve=answer_ok, services=("browse",), count=4, **fields
    ):
        listed = {}
        for service in services:
            listed |= hosts_of(service, count).hosts
        super().__init__(configured(**fields), host.HostList(1, listed))
        self.nodes = self.peers.nodes
        self.ran = []
        for host_id in listed:
            self.add(host_id, self._record(host_id, serve), policies=ADAPTIVE)

    def publish(self, *host_ids, **fields):
        """Apply version 2 of the document at some nodes, at all if none."""
        version = configured(version=2, **fields)
        for host_id in host_ids or self.nodes:
            self.nodes[host_id].view.offer_configuration(version, 0.0)

    def regions_ran(self):
        """Return the regions whose upstreams got requests."""
        return {self._hosts.hosts[name].place.region_id for name in self.ran}

    def _record(self, host_id, serve):
        async def recorded(request, timeout_s):
            self.ran.append(host_id)
            return await serve(request, timeout_s)

        return recorded


async def settle():
    """Let all tasks run that are ready."""
    for _ in range(20):
        await asyncio.sleep(0)


class TestEntry:
    @pytest.mark.parametrize("kind", ["route", "organisation"])
    def test_requests_stay_in_their_homes(self, run, kind):
        # The entry is in the other region and prefers its own hosts.
        fleet = Fleet(**{kind: ["gandaki"]})
        for _ in range(20):
            outcome = run(fleet.nodes["browse-0"].entry.handle(get()))
            assert outcome.code is results.ANSWERED
        assert fleet.regions_ran() == {"gandaki"}

    def test_homes_that_exclude_each_other_refuse_the_request(self, run):
        fleet = Fleet(route=["gandaki"], organisation=["bagmati"])
        outcome = run(fleet.nodes["browse-0"].entry.handle(get()))
        assert outcome.code is results.NOT_AT_HOME
        assert outcome.retry_after_ms > 0
        assert fleet.peers.calls == []

    def test_calls_below_are_confined_by_the_organisation(self, run):
        # Homes change while the parent runs in a region that is left.
        async def call_child(request, timeout_s):
            if request.path != "/pull":
                return OK
            fleet.publish(organisation=["gandaki"])
            token = dict(request.headers)[headers.CALL_TOKEN]
            (parent,) = [
                node
                for node in fleet.nodes.values()
                if node.tokens.find(token)
            ]
            child = get(**{headers.CALL_TOKEN: token})
            return await parent.egress.handle(child)

        fleet = Fleet(call_child, ["checklist", "browse"])
        entry = fleet.nodes["browse-0"].entry
        outcome = run(entry.handle(get("/checklist/pull")))
        assert outcome.code is results.ANSWERED
        above, below = fleet.ran
        assert above in ("checklist-0", "checklist-2")
        assert below in ("browse-1", "browse-3")

    def test_requests_avoid_an_evacuated_data_centre(self, run):
        # Also those of entries in it, which prefer their own data centre.
        fleet = Fleet(evacuated=[KIRTIPUR])
        for _ in range(20):
            outcome = run(fleet.nodes["browse-0"].entry.handle(get()))
            assert outcome.code is results.ANSWERED
        assert "browse-0" not in fleet.ran
        assert len(fleet.peers.calls) == 20

    def test_request_is_refused_when_all_are_evacuated(self, run):
        everywhere = [region.Place(*names) for names in documents.PLACES]
        fleet = Fleet(evacuated=everywhere)
        outcome = run(fleet.nodes["browse-0"].entry.handle(get()))
        assert outcome.code is results.DATA_CENTRE_EVACUATED
        assert outcome.retry_after_ms > 0
        assert fleet.peers.calls == []

    def test_host_chosen_before_an_evacuation_gets_nothing(self, run):
        # Requests wait for their rate after their host has been chosen.
        fleet = Fleet()
        node = fleet.nodes["browse-0"]
        job = dispatch.Job(
            node.view.configuration.routes["species"],
            "",
            get(),
            context.Context(
                "0000",
                "org1",
                documents.digest_of("org1")[: configuration.KEY_ID_LENGTH],
                route.Priority.BROWSING,
                fleet.clock.now() + 1.0,
                retry.RetryBudget(0),
                0,
            ),
        )
        first = node.dispatcher.choose_first(job)
        fleet.publish(evacuated=[first.host.place])
        outcome = run(node.dispatcher.run(job, first))
        assert outcome.code is results.ANSWERED
        assert len(fleet.peers.calls) == 1
        assert fleet.ran != [first.host.host_id]


class TestGate:
    # The entry lags with its own gate, which takes no calls in these tests.

    def test_gate_refuses_for_an_entry_that_has_not_heard(self, run):
        fleet = Fleet(count=12)
        rest = [name for name in fleet.nodes if name != "browse-2"]
        fleet.publish(*rest, evacuated=[region.Place("bagmati", "lalitpur")])
        fleet.nodes["browse-2"].gate.leave()
        for _ in range(40):
            outcome = run(fleet.nodes["browse-2"].entry.handle(get()))
            assert outcome.code is results.ANSWERED
        assert not {"browse-6", "browse-10"} & set(fleet.ran)

    def test_call_that_is_not_at_home_is_sent_to_another_region(self, run):
        fleet = Fleet()
        rest = [name for name in fleet.nodes if name != "browse-0"]
        fleet.publish(*rest, organisation=["gandaki"])
        fleet.nodes["browse-0"].gate.leave()
        outcome = run(fleet.nodes["browse-0"].entry.handle(get()))
        assert outcome.code is results.ANSWERED
        assert fleet.regions_ran() == {"gandaki"}

    @pytest.mark.parametrize(
        ("fields", "code"),
        [
            ({"evacuated": [KIRTIPUR]}, results.DATA_CENTRE_EVACUATED),
            ({"route": ["gandaki"]}, results.NOT_AT_HOME),
            ({"organisation": ["gandaki"]}, results.NOT_AT_HOME),
        ],
    )
    def test_waiting_calls_are_refused_and_running_ones_end_well(
        self, run, fields, code
    ):
        async def work():
            released = asyncio.Event()

            async def hold(request, timeout_s):
                await released.wait()
                return OK

            fleet = Fleet(hold, count=1)
            node = fleet.nodes["browse-0"]
            node.gate.policy.learn_capacity(admission.Capacity(1, 1))
            calls = [
                asyncio.ensure_future(node.entry.handle(get()))
                for _ in range(4)
            ]
            await settle()
            assert node.gate.policy.waiting > 0
            fleet.publish(**fields)
            await settle()
            refused = [item.result() for item in calls if item.done()]
            released.set()
            answered = [
                item.code
                for item in await asyncio.gather(*calls)
                if item not in refused
            ]
            return refused, answered, len(fleet.ran)

        refused, answered, ran = run(work())
        assert [item.code for item in refused] == [code] * 3
        assert all(item.retry_after_ms > 0 for item in refused)
        assert answered == [results.ANSWERED]
        assert ran == 1

    def test_homes_are_checked_again_before_a_call_is_forwarded(self, run):
        # The configuration changes after a waiting call has been admitted.
        async def work():
            released = asyncio.Event()

            async def hold(request, timeout_s):
                await released.wait()
                return OK

            fleet = Fleet(hold, count=1)
            node = fleet.nodes["browse-0"]
            policy = node.gate.policy
            policy.learn_capacity(admission.Capacity(1, 1))
            calls = [
                asyncio.ensure_future(node.entry.handle(get()))
                for _ in range(2)
            ]
            await settle()
            finish = policy.finish

            def finish_then_publish(*args):
                loop = asyncio.get_running_loop()
                loop.call_soon(lambda: fleet.publish(route=["gandaki"]))
                return finish(*args)

            policy.finish = finish_then_publish
            released.set()
            return await asyncio.gather(*calls), fleet.ran

        (first, second), ran = run(work())
        assert first.code is results.ANSWERED
        assert second.code is results.NOT_AT_HOME
        assert len(ran) == 1


class TestUnderLoad:
    def test_evacuation_reaches_all_nodes_and_ends(self):
        # Callers send to all nodes and the chain's calls start at them.
        async def work(deployment):
            counts = []
            rates = dict.fromkeys([f"org{number}" for number in range(8)], 12)
            await deployment.start()
            upstream = deployment.upstreams["browse-0"]
            await deployment.load(3.0, rates)
            counts.append(sum(upstream.executed.values()))
            deployment.publish(2, evacuated=[entry_of(KIRTIPUR)])
            await deployment.load(EVACUATION_BOUND_S, rates)
            counts.append(sum(upstream.executed.values()))
            await deployment.load(4.0, rates)
            counts.append(sum(upstream.executed.values()))
            deployment.publish(3)
            await deployment.load(EVACUATION_BOUND_S + 3.0, rates)
            counts.append(sum(upstream.executed.values()))
            await asyncio.sleep(2.0)
            await deployment.stop()
            return counts

        deployment = chain.Chain(settings.Policies(), 40.0)
        counts = virtual_loop.run(deployment.clock, work(deployment))
        before, within, evacuated, after = counts
        assert 0 < before
        assert evacuated == within
        assert after > evacuated
        served = sum(item.served for item in deployment.sent)
        assert served >= 0.99 * len(deployment.sent)


class TestSingleExecution:
    @pytest.mark.parametrize("lagging", [False, True])
    @pytest.mark.parametrize(
        ("fields", "code", "left"),
        [
            (
                {"evacuated": [KIRTIPUR]},
                results.DATA_CENTRE_EVACUATED,
                {"sightings-0"},
            ),
            (
                {"organisation": ["gandaki"]},
                results.NOT_AT_HOME,
                {"sightings-0", "sightings-2"},
            ),
        ],
    )
    def test_keys_stay_with_their_owners(
        self, run, fields, code, left, lagging
    ):
        # A second host would not know that the first had run the request.
        owners = {}
        before = Fleet(services=["sightings"])
        for number in range(24):
            key = f"key{number}"
            run(before.nodes["sightings-3"].entry.handle(report(key)))
            owners[key] = before.ran[-1]
        assert set(owners.values()) == set(before.nodes)
        fleet = Fleet(services=["sightings"])
        informed = set(fleet.nodes) - ({"sightings-3"} if lagging else set())
        fleet.publish(*informed, **fields)
        for key, owner in owners.items():
            outcome = run(fleet.nodes["sightings-3"].entry.handle(report(key)))
            if owner in left:
                assert outcome.code is code
            else:
                assert outcome.code is results.ANSWERED
                assert fleet.ran[-1] == owner
        assert not left & set(fleet.ran)
