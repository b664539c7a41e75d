"""Tests that logs are JSON lines without API keys."""

import json
import logging as standard

from fakes import documents
from fakes import nodes
import hypothesis
from hypothesis import strategies as st
import pytest

from savorytally import logs
from savorytally import outcomes
from savorytally import results
from savorytally.parts import context
from savorytally.world import hosts

KEY = "key-org1-0123456789abcdef"


def line_of(message, *args, **fields):
    """Return the line that a log call writes, with some fields."""
    record = standard.LogRecord(
        "absl", standard.INFO, "entry.py", 1, message, args, None
    )
    record.__dict__.update(logs.fields(**fields))
    return logs.JsonFormatter("h1").format(record)


class TestLine:
    def test_fields_are_members_of_the_object(self):
        line = line_of("refused", request_id="7f", code=1010, place="/a")
        value = json.loads(line)
        assert value["host"] == "h1"
        assert value["message"] == "refused"
        assert value["request_id"] == "7f"
        assert value["code"] == 1010
        assert value["place"] == "/a"

    def test_a_record_with_line_breaks_is_one_line(self):
        line = line_of("a\nb %s", "\u2028\ud800")
        assert line.splitlines() == [line]
        assert json.loads(line)["message"] == "a\nb \u2028\ud800"


class TestRedaction:
    @pytest.mark.parametrize(
        "text",
        [
            "Authorization: Bearer {}",
            "authorization: {}",
            "Authorization: Basic {}",
            "X-Api-Key: {}; next",
            "x-api-key={}",
            "{{'Authorization': 'Bearer {}'}}",
            "<CIMultiDictProxy('X-Api-Key': '{}')>",
            "(('Authorization', 'Bearer {}'),)",
            "(b'authorization', b'Bearer {}')",
            'Savorytally-Call-Token": "{}"',
            "bearer {}",
        ],
    )
    def test_values_of_headers_with_secrets_are_replaced(self, text):
        line = line_of(text.format(KEY), place=text.format(KEY))
        assert KEY not in line
        assert line.count(logs.REDACTED) == 2

    @hypothesis.given(st.text(), st.text())
    def test_any_text_around_a_header_leaves_it_redacted(self, before, after):
        text = f"{before}\nX-Api-Key: {KEY}\n{after}"
        assert KEY not in logs.redact(text)

    def test_exceptions_are_redacted(self):
        try:
            raise ValueError(f"Authorization: Bearer {KEY}")
        except ValueError as error:
            exc_info = (type(error), error, error.__traceback__)
        record = standard.LogRecord(
            "absl", standard.ERROR, "x.py", 1, "bad", (), exc_info
        )
        line = logs.JsonFormatter("h1").format(record)
        assert "ValueError" in line
        assert KEY not in line


class TestRequests:
    def test_a_lost_response_is_logged_with_request_and_code(
        self, run, himali, caplog
    ):
        async def break_off(request, timeout_s):
            return outcomes.Failure(results.UPSTREAM_BROKEN, "reset")

        listed = {"sightings-0": documents.host("sightings", 0, 1)}
        fleet = nodes.Fleet(himali, hosts.read(1, listed))
        entry_node = fleet.add("sightings-0", break_off)
        key = documents.key_of("org1")
        pairs = (("Authorization", f"Bearer {key}"), ("Idempotency-Key", "a"))
        request = context.Request("POST", "/sightings/report", "", pairs, b"")
        with caplog.at_level(standard.DEBUG, "absl"):
            outcome = run(entry_node.entry.handle(request))
        formatter = logs.JsonFormatter("h1")
        lines = [formatter.format(record) for record in caplog.records]
        values = [json.loads(line) for line in lines]
        coded = [item for item in values if "request_id" in item]
        assert [item["code"] for item in coded] == [outcome.code.number]
        assert all(key not in line for line in lines)
