"""The upper bound of a day is valid, and as low as hand-computed cases."""

import json
import pathlib

import pytest

from tools import upper_bound
from tools import upper_bound_load

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/upper_bound.json"
# The search for prices may end this far above the least bound.
LOOSE = 1.01


def bounds(duration_s, services, classes, spells=(), **retries):
    """Return the bounds of a load."""
    value = {
        "duration_s": duration_s,
        "services": services,
        "classes": classes,
        "spells": list(spells),
        "retries": retries,
    }
    return upper_bound.compute(upper_bound_load.read(value))


def service(slots=1000, upstreams=1):
    """Return a service."""
    return {"upstreams": upstreams, "slots": slots}


def requests(per_s, service_name="deep", **changes):
    """Return a class with a constant rate."""
    return {
        "service": service_name,
        "offered": {"dc": {"steps": [[0, per_s]]}} if per_s else None,
        "work_ms": 10,
        "objective_ms": 300,
        "deadline_ms": 300,
        **changes,
    }


def chains(calls, spell_s=30, direct=0, **retries):
    """Return the bounds of chains whose last service rejects 55 %."""
    return bounds(
        20,
        {"top": service(), "deep": service()},
        {
            "chain": requests(
                100, "top", calls=[{"class": "call", "count": calls}]
            ),
            "call": requests(direct),
        },
        [{"service": "deep", "from_s": 0, "to_s": spell_s, "rejects": 0.55}],
        **{"hold_share": 0, "caller_count": 0, **retries},
    )


def about(exact):
    """Return a range from the exact value to a slightly loose bound."""
    return pytest.approx(exact * (1 + LOOSE) / 2, rel=(LOOSE - 1) / 2)


class TestRejections:
    @pytest.mark.parametrize("calls", [4, 8])
    def test_chains_without_retries_succeed_by_chance_only(self, calls):
        # Guards against a bound that counts each call as a whole success.
        found = chains(calls).classes["chain"]
        assert found.offered == pytest.approx(2000)
        assert found.possible == pytest.approx(2000 * 0.45**calls)

    def test_budget_of_retries_adds_at_most_one_chain_per_accepted_retry(self):
        # In 10 s: 0.2 x 50 direct/s x 10 s + 30 = 130, twice in 20 s.
        without = chains(8, spell_s=20, direct=50)
        found = chains(8, spell_s=20, direct=50, ratio=0.2, slack=30)
        added = (
            found.classes["chain"].possible - without.classes["chain"].possible
        )
        assert added == about(2 * 130 * 0.45)

    def test_last_seconds_of_a_spell_are_recovered_by_callers_retries(self):
        # With 3 s of time, callers come back within 1 s: of the spell's 10 s
        # the last one is recovered.
        changes = {"objective_ms": 3000, "deadline_ms": 3000, "work_ms": 0}
        found = bounds(
            20,
            {"deep": service()},
            {"direct": requests(100, **changes)},
            [{"service": "deep", "from_s": 0, "to_s": 10, "rejects": 1.0}],
            hold_share=0,
        )
        assert found.possible == about(100 * (10 + 1))

    def test_requests_that_are_held_recover_until_their_deadline(self):
        # Guards against a bound that leaves out policies with queues.
        found = bounds(
            20,
            {"deep": service()},
            {
                "direct": requests(
                    100, objective_ms=3000, deadline_ms=3000, work_ms=0
                )
            },
            [{"service": "deep", "from_s": 0, "to_s": 10, "rejects": 1.0}],
        )
        assert found.possible == about(100 * (10 + 3))

    @pytest.mark.parametrize("repeatable", [True, False])
    def test_caller_retries_a_rejection_once(self, repeatable):
        # A rejected request has not run, so one that must run once is
        # retried as well.
        found = bounds(
            20,
            {"deep": service()},
            {"direct": requests(100, work_ms=0, repeatable=repeatable)},
            [{"service": "deep", "from_s": 0, "to_s": 30, "rejects": 0.55}],
            hold_share=0,
        )
        assert found.possible == pytest.approx(2000 * (1 - 0.55**2))

    def test_windows_of_the_spell_are_named(self):
        found = chains(4, spell_s=10)
        assert found.binds[:5] == ("rejections of deep",) * 5
        assert found.binds[5:] == ("nothing",) * 5


class TestSlots:
    def test_slots_bind_at_twofold_load(self):
        # 2 slots of 10 ms serve 200 of 400 requests a second; requests of
        # the last window may not use slots after the day.
        found = bounds(20, {"deep": service(2)}, {"a": requests(400)})
        assert found.possible == about(200 * 20)
        assert set(found.binds) == {"slots of deep"}

    def test_dear_requests_take_the_slots_first(self):
        # 100 slots-worth of requests at 3, and 100 of 300 at 1.
        found = bounds(
            20,
            {"deep": service(2)},
            {"dear": requests(100, value=3), "cheap": requests(300)},
        )
        assert found.possible_value == about(20 * (100 * 3 + 100))
        assert found.possible == about(20 * 200)
        assert found.classes["dear"].possible == pytest.approx(2000)
        assert found.classes["cheap"].possible == about(20 * 200)

    def test_chains_are_bounded_by_the_service_of_their_calls(self):
        # 1 slot of 10 ms serves 100 calls a second, 25 chains of 4.
        found = bounds(
            20,
            {"top": service(), "deep": service(1)},
            {
                "chain": requests(
                    100, "top", calls=[{"class": "call", "count": 4}]
                ),
                "call": requests(0),
            },
        )
        assert found.possible == about(25 * 20)

    def test_upstreams_that_are_down_serve_nothing(self):
        found = bounds(
            20,
            {"deep": service(1, upstreams=2)},
            {"a": requests(200)},
            [{"service": "deep", "from_s": 4, "to_s": 14, "down": 1}],
        )
        # Half of the capacity is missing for 10 s, and none is spare later.
        assert found.possible == about(200 * 10 + 100 * 10)

    def test_spare_slots_bind_nothing(self):
        found = bounds(20, {"deep": service(8)}, {"a": requests(400)})
        assert found.possible == pytest.approx(8000)
        assert set(found.binds) == {"nothing"}

    def test_any_prices_give_a_bound(self):
        # Weak duality: the search can't find less than what is feasible.
        load = upper_bound_load.read(json.loads(EXAMPLE.read_text()))
        found = upper_bound.compute(load)
        assert 0 < found.possible_value <= found.offered_value
        for item in found.classes.values():
            assert 0 < item.possible <= item.offered + 1e-6


class TestCommand:
    def test_earned_is_compared_with_possible(self, tmp_path, capsys):
        earned = tmp_path / "served.json"
        earned.write_text('{"lookup": {"on_time": 100, "late": 10}}')
        arguments = [str(EXAMPLE), "--json", "--earned", str(earned)]
        assert upper_bound.main(arguments) == 0
        found = json.loads(capsys.readouterr().out)
        possible = found["classes"]["lookup"]["possible"]
        assert found["earned"]["lookup"] == pytest.approx(110 / possible)

    @pytest.mark.parametrize(
        ("change", "place"),
        [
            ({"duration_s": "long"}, "/duration_s"),
            ({"services": {}}, "/service"),
            ({"spells": [{"service": "none"}]}, "/spells/0/service"),
            ({"classes": []}, "/classes"),
        ],
    )
    def test_malformed_load_names_the_place(
        self, change, place, tmp_path, capsys
    ):
        path = tmp_path / "load.json"
        value = json.loads(EXAMPLE.read_text()) | change
        path.write_text(json.dumps(value))
        assert upper_bound.main([str(path)]) == 1
        assert place in capsys.readouterr().err
