"""Tests that settings are accepted whole or refused with all faults."""

import pathlib

from fakes import json_values
import hypothesis
import pytest

from savorytally import files
from savorytally import settings
from savorytally.http import admin

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/settings.jsonc"


def example(**changed):
    """Return the example's settings with changed fields."""
    return {**files.load(EXAMPLE).value, **changed}


class TestRead:
    def test_example_is_accepted(self):
        options = settings.load(EXAMPLE)
        assert options.host_id == "checklist-1"
        assert options.ports == settings.Ports()

    @pytest.mark.parametrize(
        ("changed", "place"),
        [
            ({"address": "localhost"}, "/address"),
            ({"upstream_url": "ftp://a"}, "/upstream_url"),
            ({"upstream_url": "http://a:99999"}, "/upstream_url"),
            ({"platform_url": "http://u:p@a"}, "/platform_url"),
            ({"ports": {"entry": 8081}}, "/ports/peer"),
            ({"ports": {"entry": 0}}, "/ports/entry"),
            ({"trace_sample": 2}, "/trace_sample"),
            ({"log_level": "loud"}, "/log_level"),
            ({"peer_tls": {}}, "/peer_tls/authority"),
            ({"admin": {"token": "short"}}, "/admin/token"),
            ({"colour": 1}, "/colour"),
        ],
    )
    def test_place_of_a_wrong_value(self, changed, place):
        refused = settings.read(example(**changed))
        assert place in {fault.place for fault in refused.faults}

    @hypothesis.given(json_values.ANY, json_values.ANY, json_values.ANY)
    def test_any_json_value_gives_faults_or_settings(self, one, two, three):
        for value in (one, example(ports=one, admin=two, peer_tls=three)):
            read = settings.read(value)
            assert isinstance(read, settings.Settings | settings.Refused)

    def test_a_malformed_file_is_not_quoted(self, tmp_path):
        path = tmp_path / "settings.jsonc"
        path.write_text('{\n"admin": {"token": "sesame-open-0123"},\n"a" 1}')
        refused = settings.load(path)
        assert "line 3" in str(refused.faults[0])
        assert "sesame" not in str(refused.faults[0])


class TestAdminToken:
    def test_comes_from_the_named_variable(self):
        options = settings.Admin(token_variable="TOKEN")
        assert admin.read_token(options, {"TOKEN": "t"}) == "t"
        assert admin.read_token(options, {}) == ""

    def test_is_not_shown(self):
        options = settings.Admin(token="sesame-open-0123")
        assert "sesame" not in repr(options)
