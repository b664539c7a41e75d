"""Tests of replays of the recorded traces and of malformed ones."""

import dataclasses
import json
import pathlib

import pytest

from savorytally.commands import base
from savorytally.replay import command
from savorytally.replay import figures
from savorytally.replay import player
from savorytally.replay import reading
from savorytally.replay import trace
from savorytally.replay import variants

ROOT = pathlib.Path(__file__).parents[1]
TRACES = sorted((ROOT / "traces").glob("*.jsonl"))


def replay(read, name=variants.FULL):
    played = player.Player(read, variants.variants.get(name)).play()
    return figures.measure(read, played)


def header(**fields):
    given = {
        "format": 1,
        "name": "small",
        "made_by": "a test",
        "commit": "none",
        "source": "generated",
        "delay_ms": 1.0,
        "bottleneck": "browse",
        "trigger": {"from_s": 1.0, "until_s": 2.0},
        "measure": {"from_s": 0.0, "until_s": 2.0},
        "gates": {
            "browse-0": {"service": "browse", "slots": 2, "connections": 9}
        },
        "routes": {
            "species": {
                "priority": "browsing",
                "timeout_ms": 1000,
                "services": ["browse"],
            }
        },
        "organisations": {"org0": {"rate_per_s": 10.0}},
        "clients": {"one": {"resends": 0, "wait_ms": 0, "obeys": True}},
        "conditions": {},
        "outcomes": {"goodput_share": {"at_least": 0.95}},
        "columns": list(trace.COLUMNS),
    }
    return json.dumps({**given, **fields})


def arrival(at_ms=0, service_ms=(10,), route="species"):
    return json.dumps([at_ms, "org0", route, "one", 1, 0, service_ms])


class TestTraces:
    @pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
    def test_stated_outcomes_are_met(self, path):
        read = reading.load(path)
        assert isinstance(read, trace.Trace)
        judged = list(figures.evaluate(read.header, replay(read)))
        unmet = [
            f"{item.expected.figure} {item.value:.4f}"
            for item in judged
            if not item.met
        ]
        assert judged and not unmet

    def test_same_figures_each_run(self):
        read = reading.load(TRACES[0])
        assert replay(read) == replay(read)

    def test_baseline_does_not_meet_the_outcomes(self):
        read = reading.load(ROOT / "traces/pettigrew-twofold-overload.jsonl")
        measured = replay(read, variants.BASELINE)
        judged = figures.evaluate(read.header, measured)
        assert not all(item.met for item in judged)


class TestMalformed:
    @pytest.mark.parametrize(
        ("lines", "number"),
        [
            ([], 1),
            (["{"], 1),
            (["[]"], 1),
            ([header(bottleneck="nothing")], 1),
            ([header(surplus=1)], 1),
            ([header(), "[1, 2]"], 2),
            ([header(), arrival(), arrival(route="other")], 3),
            ([header(), arrival(service_ms=[1, 2])], 2),
            ([header(), arrival(5), arrival(4)], 3),
        ],
    )
    def test_number_of_the_line_is_reported(self, lines, number):
        read = reading.parse(lines)
        assert isinstance(read, trace.Malformed)
        assert read.line == number

    def test_command_prints_the_code(self, tmp_path, capsys):
        path = tmp_path / "trace.jsonl"
        path.write_text(header() + "\nnonsense\n")
        assert command.run([path], False) == base.EXIT_FAULT
        assert capsys.readouterr().err.startswith(f"9007 {path}: line 2: ")

    def test_exit_code_depends_on_the_outcomes(self, tmp_path):
        path = tmp_path / "trace.jsonl"
        path.write_text(f"{header()}\n{arrival()}\n")
        assert command.run([path], False) == base.EXIT_OK
        strict = header(outcomes={"goodput_share": {"at_least": 2.0}})
        path.write_text(f"{strict}\n{arrival()}\n")
        assert command.run([path], False) == base.EXIT_UNMET


class TestBound:
    def test_idle_capacity_does_not_offset_lost_work(self):
        read = reading.load(ROOT / "traces" / "himali-cold-start.jsonl")
        full = variants.variants.get(variants.FULL)
        played = player.Player(read, full).play()

        def goodput(from_s, until_s):
            span = trace.Span(from_s, until_s)
            part = dataclasses.replace(read.header, measure=span)
            partial = dataclasses.replace(read, header=part)
            return figures.measure(partial, played).goodput_share

        overloaded, idle = goodput(3.0, 8.0), goodput(8.0, 12.0)
        whole = goodput(3.0, 12.0)
        assert min(overloaded, idle) <= whole <= max(overloaded, idle)
