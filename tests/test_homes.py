"""Homes of requests and evacuated data centres of the product's interface."""

import json

from fakes import documents
import pytest

from savorytally import view
from savorytally.decisions import dissemination
from savorytally.parts import publications
from savorytally.world import document
from savorytally.world import document_parts
from savorytally.world import patch
from savorytally.world import publication
from savorytally.world import region
from savorytally.world import sections

KIRTIPUR = region.Place("bagmati", "kirtipur")


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
