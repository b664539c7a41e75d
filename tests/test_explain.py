"""Tests of ``savorytally explain`` on a log of several nodes."""

import json

import pytest

from savorytally import cli


def line(**fields):
    """Return a log line with some fields."""
    return json.dumps({"time": 1.0, "host": "h", "event": "request", **fields})


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "nodes.log"
    path.write_text(
        "\n".join(
            [
                "  12.5 host-2 "
                + line(id="call", parent="root", time=2.0, code=1027),
                line(id="root", time=3.0, code=2000),
                line(id="deep", parent="call", time=1.5, code=1012),
                line(id="other", time=1.0, code=2000),
                '{"time":1.0,"id":"root","cut',
                "no json",
            ]
        )
    )
    return path


def test_prints_the_request_and_its_calls_in_order(log, capsys):
    assert cli.main(["explain", str(log), "root"]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert [text.split()[3] for text in printed] == ["deep", "call", "root"]


def test_unknown_request_is_reported(log, capsys):
    assert cli.main(["explain", str(log), "unknown"]) == 1
    assert "no line names unknown" in capsys.readouterr().err
