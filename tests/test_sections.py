"""Tests of documents that are divided into a head and sections."""

import json
import typing as t

from fakes import documents
from fakes import json_values
import hypothesis
from hypothesis import strategies as st

from savorytally.world import document
from savorytally.world import sections

PLATFORM_VALUE_MAX_BYTES = 1_000_000


def large(routes: int, version: int = 1) -> dict[str, t.Any]:
    """Return a valid document with many services and routes."""
    value = documents.himali(version)
    for number in range(routes // 10):
        value["services"][f"s{number}"] = {
            "names": documents.names(f"s{number}"),
            "slots": 10,
            "connections": 100,
        }
    for number in range(routes):
        value["routes"][f"r{number}"] = documents.route(
            f"r{number}", f"s{number // 10}", "normal"
        )
    return value


def rejoin(split: sections.Split) -> t.Any:
    """Encode a split document, decode it and assemble it again."""
    head = sections.read_head(json.loads(sections.write_head(split.head)))
    assert isinstance(head, sections.Head)
    whole = sections.assemble(head, split.bodies)
    assert isinstance(whole, sections.Whole)
    return whole.value


class TestSplit:
    def test_values_do_not_exceed_the_platforms_limit(self):
        value = large(20_000)
        split = sections.split(value)
        sizes = [len(body) for body in split.bodies.values()]
        assert sum(sizes) > 3 * PLATFORM_VALUE_MAX_BYTES
        assert max(sizes) <= PLATFORM_VALUE_MAX_BYTES
        head = sections.write_head(split.head)
        assert len(head) <= PLATFORM_VALUE_MAX_BYTES
        assert rejoin(split) == value

    def test_one_change_affects_one_section(self):
        before = sections.split(large(5_000))
        value = large(5_000, version=2)
        value["routes"]["r77"]["timeout_ms"] = 900
        after = sections.split(value, before.head)
        held = {
            name: item.digest for name, item in before.head.sections.items()
        }
        fetched = sections.changed(after.head, held)
        assert [item.version for item in fetched] == [2]
        assert "r77" in json.loads(after.bodies[fetched[0].name])

    def test_routes_of_a_service_share_a_section(self):
        split = sections.split(large(5_000))
        assert split.head.counts["routes"] > 1
        holders = [
            name
            for name, body in split.bodies.items()
            if name.startswith("routes/") and b'"service":"s7"' in body
        ]
        assert len(holders) == 1

    @hypothesis.given(
        st.fixed_dictionaries(
            {"version": st.integers(1, 99)},
            optional={
                "organisations": st.dictionaries(
                    st.text(max_size=4), json_values.ANY
                ),
                "routes": st.dictionaries(
                    st.text(max_size=4),
                    st.fixed_dictionaries({"service": st.text(max_size=2)}),
                ),
                "services": st.dictionaries(
                    st.characters(categories=["Cs", "Lu"]),
                    st.integers(),
                ),
                "other": json_values.ANY,
            },
        ),
        st.integers(1, 5),
    )
    def test_assembling_restores_the_split_document(self, value, count):
        previous = sections.Head(
            1,
            {"organisations": count, "routes": count, "services": count},
            {},
            {},
        )
        split = sections.split(value, previous)
        # The texts are compared because NaN is not equal to itself.
        assert sections.encode(rejoin(split)) == sections.encode(value)


class TestAssemble:
    def test_a_section_of_another_version_is_missing(self):
        before = sections.split(documents.himali())
        value = documents.himali(2)
        value["routes"]["pull"]["timeout_ms"] = 900
        after = sections.split(value, before.head)
        mixed = {**after.bodies, "routes/0": before.bodies["routes/0"]}
        outcome = sections.assemble(after.head, mixed)
        assert isinstance(outcome, sections.Missing)
        assert [item.name for item in outcome.sections] == ["routes/0"]

    def test_a_document_without_sections_is_whole(self):
        value = documents.himali()
        assert sections.read_head(value) == sections.Whole(value)

    def test_a_head_that_lists_a_section_out_of_count_is_refused(self):
        split = sections.split(documents.himali())
        value = json.loads(sections.write_head(split.head))
        value["sections"]["routes/1"] = value["sections"].pop("routes/0")
        outcome = sections.read_head(value)
        assert isinstance(outcome, sections.Refused)
        assert outcome.faults[0].place == "/sections/routes~11"

    @hypothesis.given(json_values.ANY, json_values.ANY, json_values.ANY)
    def test_any_head_gives_an_outcome(self, counts, listed, rest):
        value = {
            "version": 1,
            "section_counts": counts,
            "sections": listed,
            "rest": rest,
        }
        head = sections.read_head(value)
        assert isinstance(head, sections.Head | sections.Refused)

    @hypothesis.given(json_values.ANY)
    def test_any_section_gives_an_outcome(self, members):
        body = sections.encode(members)
        reference = sections.SectionReference(
            "routes/0", 1, sections.digest_of(body)
        )
        head = sections.Head(1, {"routes": 1}, {"routes/0": reference}, {})
        outcome = sections.assemble(head, {"routes/0": body})
        if isinstance(outcome, sections.Whole):
            read = document.read(outcome.value)
            assert isinstance(read, document.Refused)
