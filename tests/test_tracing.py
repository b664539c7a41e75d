"""Tests that the spans of a request are linked over a chain of calls."""

import json

import aiohttp
from fakes import documents
from fakes import meshes
import pytest

from savorytally import tracing
from savorytally.parts import headers

SERVICES = ["browse", "maps", "checklist"]
CHILDREN = {"browse": "/maps/range", "maps": "/checklist/pull"}
KEY = documents.key_of("org1")


def spans(text):
    """Return the spans in the stderr output of nodes."""
    lines = [line for line in text.splitlines() if line.startswith("{")]
    documents_ = [json.loads(line) for line in lines]
    return [item for item in documents_ if "span_id" in item]


async def one_request(free_port, sent, **fields):
    """Send a request that passes a chain of three services.

    :return: the response's status, and the headers that each upstream
        received.
    """
    mesh = await meshes.start(free_port, SERVICES, CHILDREN, **fields)
    url = mesh.entry_urls["checklist-2"] + "/browse/species/owl"
    given = {"Authorization": f"Bearer {KEY}", **sent}
    async with aiohttp.ClientSession() as session:
        async with session.get(url, headers=given) as response:
            status = response.status
            await response.read()
    seen = [item.seen[0].headers for item in mesh.upstreams.values()]
    await mesh.stop()
    return status, seen


class TestChain:
    def test_spans_of_three_services_are_linked(self, run, free_port, capfd):
        status, seen = run(one_request(free_port, {}, trace_sample=1.0))
        text = capfd.readouterr().err
        found = spans(text)
        assert status == 200
        names = sorted(item["span"] for item in found)
        per_hop = ["dispatch", "gate", "queue", "upstream"]
        assert names == sorted(
            ["entry", "egress", "egress", *(per_hop * len(SERVICES))]
        )
        assert len({item["trace_id"] for item in found}) == 1
        ids = {item["span_id"] for item in found}
        roots = [item for item in found if item["parent_id"] not in ids]
        assert [item["span"] for item in roots] == ["entry"]
        assert {item["host"] for item in found} == {
            "browse-0",
            "maps-1",
            "checklist-2",
        }
        assert KEY not in text
        for sent in seen:
            parent = sent["Traceparent"].split("-")[2]
            assert parent in ids

    def test_callers_trace_context_is_used(self, run, free_port, capfd):
        traceparent = f"00-{'ab' * 16}-{'cd' * 8}-01"
        run(
            one_request(
                free_port, {"Traceparent": traceparent}, trace_sample=0.000001
            )
        )
        found = spans(capfd.readouterr().err)
        assert {item["trace_id"] for item in found} == {"ab" * 16}
        (root,) = [item for item in found if item["span"] == "entry"]
        assert root["parent_id"] == "cd" * 8

    @pytest.mark.parametrize("sample", [0.0, 0.000001])
    def test_unsampled_context_is_propagated_without_spans(
        self, run, free_port, capfd, sample
    ):
        traceparent = f"00-{'ab' * 16}-{'cd' * 8}-00"
        _, seen = run(
            one_request(
                free_port, {"Traceparent": traceparent}, trace_sample=sample
            )
        )
        assert spans(capfd.readouterr().err) == []
        assert [item["Traceparent"] for item in seen] == [traceparent] * 3


class TestContext:
    @pytest.mark.parametrize(
        "value",
        ["", "00", KEY, f"00-{'g' * 32}-{'cd' * 8}-01", "00-ab-cd-01\n"],
    )
    def test_malformed_context_is_ignored(self, value):
        assert headers.traceparent((("traceparent", value),)) == ""

    def test_sampled_flag_is_the_lowest_bit(self):
        stem = f"00-{'ab' * 16}-{'cd' * 8}-"
        assert tracing.is_sampled(f"{stem}03")
        assert not tracing.is_sampled(f"{stem}02")
        assert not tracing.is_sampled("")
