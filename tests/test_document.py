"""Tests that documents are accepted whole or refused with all faults."""

import json
import typing as t

from fakes import documents
from fakes import json_values
import hypothesis
import pytest

from savorytally import fields
from savorytally.world import configuration
from savorytally.world import document
from savorytally.world import host
from savorytally.world import hosts


def faults_of(value: t.Any) -> dict[str, str]:
    """Return the faults of a document by place."""
    read = document.read(value)
    assert isinstance(read, document.Refused), "accepted"
    return {fault.place: fault.text for fault in read.faults}


def resolve(value: t.Any, pointer: str) -> t.Any:
    """Return the value that a JSON pointer refers to."""
    for part in pointer.split("/")[1:]:
        key = part.replace("~1", "/").replace("~0", "~")
        value = value[int(key)] if isinstance(value, list) else value[key]
    return value


class TestNames:
    def test_names_of_all_schemes_are_resolved(self, himali):
        for service_id in himali.services:
            for name in documents.names(service_id).values():
                assert himali.service_names.resolve(name) == service_id
        for organisation_id in himali.organisations:
            for name in documents.names(organisation_id).values():
                found = himali.organisation_names.resolve(name)
                assert found == organisation_id
        for route_id, route in himali.routes.items():
            for name in documents.names(route_id).values():
                assert himali.find_route(route.service_id, name) is route

    @pytest.mark.parametrize(
        ("kind", "taken", "claimant"),
        [
            ("services", "BROWSE", "maps"),
            ("services", "browse", "maps"),
            ("organisations", "org1-mesh", "org2"),
        ],
    )
    def test_a_name_with_two_owners_is_refused(self, kind, taken, claimant):
        value = documents.himali()
        value[kind][claimant]["names"]["dotted"] = taken
        faults = faults_of(value)
        assert list(faults) == [f"/{kind}/{claimant}/names/dotted"]

    def test_routes_of_different_services_may_share_a_name(self):
        value = documents.himali()
        value["routes"]["pull"]["names"]["legacy"] = "LIST"
        value["routes"]["species"]["names"]["legacy"] = "LIST"
        read = document.read(value)
        assert read.find_route("browse", "LIST").route_id == "species"
        assert read.find_route("CHECKLIST", "LIST").route_id == "pull"

    def test_routes_of_one_service_may_not_share_a_name(self):
        value = documents.himali()
        value["routes"]["range"]["service"] = "browse"
        value["routes"]["range"]["names"]["legacy"] = "SPECIES"
        assert list(faults_of(value)) == ["/routes/range/names/legacy"]

    @pytest.mark.parametrize("name", ["", "a/b", "a b", "..", "\ud800", 7])
    def test_names_that_are_no_path_segment_are_refused(self, name):
        value = documents.himali()
        value["services"]["maps"]["names"]["mesh"] = name
        assert list(faults_of(value)) == ["/services/maps/names/mesh"]

    def test_two_schemes_are_too_few(self):
        value = documents.himali()
        value["schemes"] = ["mesh", "mesh", "legacy"]
        faults = faults_of(value)
        assert faults["/schemes/1"] == "is repeated"
        assert faults["/schemes"] == "must name 3 schemes"


class TestFaults:
    @pytest.mark.parametrize(
        ("place", "new"),
        [
            ("/version", 0),
            ("/version", True),
            ("/version", "7"),
            ("/services/maps/slots", 1.5),
            ("/services/maps/connections", 10**400),
            ("/routes/pull/service", "nowhere"),
            ("/routes/pull/timeout_ms", 30_001),
            ("/routes/pull/priority", "urgent"),
            ("/routes/pull/path", "relative"),
            ("/routes/pull/path", "/a/../b"),
            ("/routes/pull/path", "/a?b"),
            ("/routes/pull/method", "get"),
            ("/organisations/org1/rate_per_s", float("nan")),
            ("/organisations/org1/rate_per_s", 10**400),
            ("/organisations/org1/burst", 0.5),
            ("/organisations/org1/weight", 0),
            ("/organisations/org1/routes", ["nowhere"]),
            ("/organisations/org1/key_digests", ["ab"]),
            ("/links/himal/ends", ["bagmati", "bagmati"]),
            ("/links/himal/call_share", 1.1),
        ],
    )
    def test_place_of_a_wrong_value(self, place, new):
        value = documents.himali()
        parent, _, key = place.rpartition("/")
        resolve(value, parent)[key] = new
        assert place in faults_of(value)

    def test_unknown_fields_are_refused_at_every_level(self):
        value = documents.himali()
        value["colour"] = value["routes"]["pull"]["colour"] = 1
        value["services"]["maps"]["names"]["colour"] = "x"
        assert set(faults_of(value)) == {
            "/colour",
            "/routes/pull/colour",
            "/services/maps/names/colour",
        }

    def test_faults_of_different_kinds_are_listed_together(self):
        value = documents.himali()
        del value["version"]
        value["routes"]["pull"]["service"] = "nowhere"
        value["organisations"]["org3"]["rate_per_s"] = "many"
        value["services"]["maps"]["names"]["legacy"] = "BROWSE"
        assert set(faults_of(value)) == {
            "/version",
            "/routes/pull/service",
            "/organisations/org3/rate_per_s",
            "/services/maps/names/legacy",
        }

    def test_places_are_escaped(self):
        value = documents.himali()
        value["routes"]["a/b~c"] = value["routes"].pop("pull")
        place = "/routes/a~1b~0c"
        assert place in faults_of(value)
        assert resolve(value, place)["service"] == "checklist"

    def test_a_key_of_two_organisations_is_refused(self):
        value = documents.himali()
        digest = documents.digest_of("org1")
        value["organisations"]["org2"]["key_digests"].append(digest)
        assert list(faults_of(value)) == ["/organisations/org2/key_digests"]

    def test_an_open_route_must_be_idempotent(self):
        value = documents.himali()
        value["routes"]["report"]["open"] = True
        assert list(faults_of(value)) == ["/routes/report/open"]

    def test_text_that_is_not_json_is_one_fault(self):
        for body in (b"", b"{", b"\xff", b"[" * 100_000):
            read = document.parse(body)
            assert [fault.place for fault in read.faults] == [""]
            assert str(read.faults[0]).startswith("/: is not JSON")


class TestAnyValue:
    @hypothesis.given(json_values.ANY)
    def test_any_json_value_is_refused(self, value):
        read = document.read(value)
        assert isinstance(read, document.Refused)
        assert all(isinstance(item, fields.Fault) for item in read.faults)

    @hypothesis.given(json_values.spoiled_documents())
    def test_a_spoiled_document_is_whole_or_refused(self, value):
        read = document.read(value)
        if isinstance(read, document.Refused):
            assert read.faults
            return
        assert isinstance(read, configuration.Configuration)
        for identifier, item in read.services.items():
            for name in item.names.values():
                assert read.service_names.resolve(name) == identifier

    @hypothesis.given(json_values.ANY, json_values.ANY)
    def test_any_host_list_is_whole_or_refused(self, value, one):
        listed = documents.host("browse", 0, 7000)
        for given in (value, {"a": value}, {"a": {**listed, "state": one}}):
            read = hosts.read(1, given)
            assert isinstance(read, host.HostList) or read

    @hypothesis.given(json_values.spoiled_documents())
    def test_text_and_value_are_read_alike(self, value):
        body = json.dumps(value).encode()
        again = json.loads(body)
        assert type(document.parse(body)) is type(document.read(again))
