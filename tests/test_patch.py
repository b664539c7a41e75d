"""Tests of patches to a versioned configuration document."""

import copy
import typing as t

from fakes import documents
from fakes import json_values
import hypothesis
from hypothesis import strategies as st
import pytest

from savorytally.world import patch

RATE = "/organisations/org1/rate_per_s"


def replace(place: str, value: t.Any) -> dict[str, t.Any]:
    """Return a replace operation."""
    return {"op": "replace", "path": place, "value": value}


def apply(against: int, *operations: t.Any) -> patch.Outcome:
    """Apply operations to version 7 of a document."""
    value = {"against": against, "operations": list(operations)}
    return patch.apply_value(documents.himali(7), value)


class TestApply:
    def test_returns_the_next_version(self):
        before = documents.himali(7)
        change = {"against": 7, "operations": [replace(RATE, 50)]}
        outcome = patch.apply_value(before, change)
        assert isinstance(outcome, patch.Patched)
        assert outcome.value["version"] == 8
        assert outcome.configuration.version == 8
        contract = outcome.configuration.organisations["org1"].contract
        assert contract.rate_per_s == 50
        assert before == documents.himali(7)

    @pytest.mark.parametrize("against", [6, 8])
    def test_another_version_is_refused(self, against):
        outcome = apply(against, replace(RATE, 50))
        assert outcome.code.number == 9003
        assert outcome.faults[0].place == "/against"

    @pytest.mark.parametrize(
        "operation",
        [
            7,
            {},
            {"op": "sing", "path": "/version"},
            {"op": "add", "path": "/routes/new"},
            {"op": "remove", "path": "/routes/absent"},
            {"op": "move", "path": "/routes/new", "from": 3},
            {"op": "move", "path": "/routes/new"},
            {"op": "test", "path": RATE, "value": 1},
            replace("routes", {}),
            replace("/schemes/x", "y"),
            replace("/version", 99),
            replace("", {}),
            {"op": "remove", "path": "/version"},
            {"op": "move", "from": "/version", "path": "/retries"},
        ],
    )
    def test_index_of_an_invalid_operation_is_reported(self, operation):
        outcome = apply(7, replace(RATE, 50), operation)
        assert outcome.code.number == 9004
        assert [item.place for item in outcome.faults] == ["/operations/1"]

    def test_all_malformed_operations_are_listed(self):
        outcome = apply(7, 1, replace(RATE, 50), {"op": "sing"})
        places = [item.place for item in outcome.faults]
        assert places == ["/operations/0", "/operations/2"]

    def test_an_invalid_result_is_refused_whole(self):
        outcome = apply(7, replace(RATE, "many"), replace("/schemes", []))
        assert outcome.code.number == 9002
        assert {RATE, "/schemes"} <= {item.place for item in outcome.faults}

    def test_a_generated_patch_results_in_the_new_document(self):
        old, new = documents.himali(7), documents.himali(3)
        del new["organisations"]["org5"]
        new["routes"]["range"]["timeout_ms"] = 900
        generated = patch.make(old, new)
        outcome = patch.apply_value(old, generated)
        assert generated["against"] == 7
        assert outcome.value == {**new, "version": 8}


class TestAnyValue:
    @hypothesis.given(json_values.ANY)
    def test_any_json_value_is_refused(self, value):
        outcome = patch.apply_value(documents.himali(7), value)
        assert isinstance(outcome, patch.Refused)
        assert outcome.faults

    @hypothesis.given(
        st.lists(
            st.fixed_dictionaries(
                {
                    "op": st.sampled_from(
                        ["add", "remove", "replace", "move", "copy", "test"]
                    )
                },
                optional={
                    "path": st.sampled_from(
                        ["", "/version", "/schemes/0", "/schemes/-", RATE]
                    )
                    | json_values.SCALARS,
                    "from": st.sampled_from(["/schemes", "/routes/pull"])
                    | json_values.SCALARS,
                    "value": json_values.ANY,
                },
            ),
            max_size=4,
        )
    )
    def test_any_operations_give_an_outcome(self, operations):
        before = documents.himali(7)
        unchanged = copy.deepcopy(before)
        value = {"against": 7, "operations": operations}
        outcome = patch.apply_value(before, value)
        assert before == unchanged
        if isinstance(outcome, patch.Patched):
            assert outcome.value["version"] == 8
