"""The soak: its checks catch what they are for; a short seeded run."""

import dataclasses

import pytest

from tools import soak
from tools import soak_checks as checks

KEY = "key-of-the-growers-1"

SENT = checks.Sent(
    name="a",
    at=100.0,
    host="h",
    idempotent=False,
    key=KEY,
    status=200,
    body=b"answer to a",
    signature="sig-a",
    ended=100.1,
)
ARRIVAL = checks.Arrival(
    name="a",
    at=100.05,
    service="desk",
    ran=True,
    headers={"x-savorytally-tenant": "growers"},
)


def record(sent=(SENT,), arrivals=(ARRIVAL,), faults=(), revoked=None):
    """Return what was seen in a run."""
    return checks.Record(
        list(sent),
        list(arrivals),
        list(faults),
        {KEY: "growers"},
        revoked or {},
    )


def changed(item, **changes):
    return dataclasses.replace(item, **changes)


MUTANTS = {
    "at_most_once": record(arrivals=[ARRIVAL, ARRIVAL]),
    "refusals_are_true": record([changed(SENT, status=503)]),
    "answers_are_whole_and_own": record([changed(SENT, body=b"answer")]),
    "upstreams_see_no_key": record(
        arrivals=[
            changed(
                ARRIVAL,
                headers={"x-savorytally-tenant": "growers", "x": f"T {KEY}"},
            )
        ]
    ),
    "withdrawn_keys_end": record(revoked={KEY: 80.0}),
    "planned_stops_cut_nothing": record(
        [changed(SENT, status=0, ended=101.0)],
        faults=[checks.Fault("term", "h", 99.0, 106.0)],
    ),
    "repeats_are_bounded": record(arrivals=[changed(ARRIVAL, ran=False)] * 60),
}


class TestChecks:
    def test_each_check_has_a_mutant(self):
        assert set(MUTANTS) == set(checks.checks)

    def test_a_good_run_has_no_breach(self):
        assert checks.judge(record()) == []

    @pytest.mark.parametrize("name", sorted(MUTANTS))
    def test_mutant_is_caught_by_its_check(self, name):
        breaches = checks.judge(MUTANTS[name])
        assert {breach.split(":")[0] for breach in breaches} == {name}

    def test_organisation_of_another_key_is_caught(self):
        other = changed(ARRIVAL, headers={"x-savorytally-tenant": "agents"})
        (breach,) = checks.judge(record(arrivals=[other]))
        assert breach.startswith("upstreams_see_no_key")


@pytest.mark.live
@pytest.mark.parametrize("seed", [1])
def test_seeded_run_has_no_breach(seed, capsys):
    status = soak.main(
        ["--seeds", str(seed), "--hosts", "4", "--seconds", "6"]
    )
    assert status == 0, capsys.readouterr().out
