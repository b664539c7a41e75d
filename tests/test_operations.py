"""Tests of the commands in docs/OPERATIONS.md on a recorded log."""

import pathlib

import pytest

from savorytally import cli

LOG = pathlib.Path(__file__).parent / "data" / "nodes.log"


@pytest.mark.parametrize(
    ("request_id", "cause"),
    [
        # A submission with status 500: a call below it was rejected.
        ("36e0eb890015b5ab", "upstream_shed"),
        # A page with status 503 at once: the expected wait in its chain
        # of calls was too long.
        ("10488418aa642662", "shed_for_chain"),
        # A submission with status 504: the route's timeout.
        ("5bee02807b8e2ddf", "deadline_unknown"),
    ],
)
def test_cause_is_found_from_the_identifier(request_id, cause, capsys):
    assert cli.main(["explain", str(LOG), request_id]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert any(f" {cause} " in line for line in printed)
    assert any(f" {request_id} " in line for line in printed)


def test_deepest_call_comes_first(capsys):
    cli.main(["explain", str(LOG), "36e0eb890015b5ab"])
    told = capsys.readouterr().out.splitlines()
    assert [line.split()[5] for line in told] == [
        "upstream_shed",
        "answered",
        "answered",
    ]
