"""Tests that the load driver reports every breach of a guarantee."""

import dataclasses

import pytest

from tools import load
from tools import mesh

SPECIES = load.OPERATIONS[0]
NORMAL = load.PHASES[0]


def request(*attempts, number=1, phase=NORMAL, started_s=0.0):
    created = load.Request(number, phase, started_s, "org1", SPECIES)
    created.attempts.extend(attempts)
    return created


def attempt(code=2000, whole=True, foreign=False, mark="m1.0"):
    return load.Attempt(mark, code, whole, foreign)


def counts(**fields):
    return {"runs": {}, "keyed": {}, "key_seen": 0, **fields}


class TestBreaches:
    def test_correct_run_has_no_breach(self):
        sent = [request(attempt(1012, False), attempt(mark="m1.1"))]
        counted = [counts(runs={"/species m1.1": 1}, keyed={"k1": 1})]
        found = load.breaches(sent, counted)
        assert not any(dataclasses.astuple(found))

    @pytest.mark.parametrize(
        ("name", "sent", "counted"),
        [
            (
                "not_run_but_ran",
                attempt(1012, False),
                counts(runs={"/species m1.0": 1}),
            ),
            ("answers_of_others", attempt(2000, False, True), counts()),
            ("keys_seen", attempt(), counts(key_seen=1)),
            ("doubled_executions", attempt(), counts(keyed={"k1": 2})),
            (
                "over_retry_bound",
                attempt(),
                counts(runs={"/species m1.0": 2 + mesh.RETRIES_PER_ROOT}),
            ),
        ],
    )
    def test_each_kind_of_breach_is_reported(self, name, sent, counted):
        found = load.breaches([request(sent)], [counted])
        assert [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name)
        ] == [name]


class TestRecovery:
    @staticmethod
    def served_from(second):
        trigger_end = sum(phase.seconds for phase in load.PHASES[:2])
        last = sum(phase.seconds for phase in load.PHASES)
        return [
            request(
                attempt(whole=started >= second),
                phase=load.PHASES[-1],
                started_s=trigger_end + started + 0.5,
            )
            for started in range(int(last - trigger_end))
        ]

    def test_recovery_needs_two_consecutive_served_seconds(self):
        assert load.recovery_s(self.served_from(4)) == 4.0

    def test_no_recovery_is_reported_as_none(self):
        assert load.recovery_s(self.served_from(99)) is None
