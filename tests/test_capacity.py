"""Tests that the tables of the capacity page follow from its slopes."""

import pathlib

import pytest

from tools.capacity import costs
from tools.capacity import deployments
from tools.capacity import page
from tools.capacity import roles  # noqa: F401, registers roles
from tools.capacity import slopes

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


@pytest.fixture
def text():
    return PAGE.read_text("utf-8")


class TestPage:
    def test_tables_match_the_output_of_the_command(self, text):
        shown = page.read_slopes(text)
        body = text.split("## Costs of one node")[1].split(page.TABLES_END)[0]
        written = page.tables(shown).split("## Costs of one node")[1]
        assert body == written.split(page.TABLES_END)[0]

    def test_totals_follow_from_slopes(self, text):
        shown = page.read_slopes(text)
        for name in costs.roles.names():
            role = costs.roles.get(name)(deployments.IN_TWO_YEARS)
            for term in role.terms:
                if not term.slope:
                    continue
                slope = shown[term.slope]
                base = slope.base if term.includes_base else 0.0
                total = page.number(base + slope.per_unit * term.count)
                row = f"| {role.role} | {term.counted} |"
                rows = [
                    line
                    for line in text.splitlines()
                    if line.startswith(row) and f"({term.slope})" in line
                ]
                assert [line.split("|")[5].split()[0] for line in rows] == [
                    total
                ]

    def test_every_slope_has_four_sizes(self, text):
        for slope in page.read_slopes(text).values():
            sizes = {sample.size for sample in slope.samples}
            assert len(sizes) >= slopes.SIZES_MIN

    def test_page_without_markers_is_rejected(self):
        with pytest.raises(ValueError):
            page.replace_tables("no tables here", "made")


class TestFit:
    def test_fit_returns_line_and_error(self):
        probe = slopes.Probe("p", "B", "host", (1, 2, 3, 4), float)
        samples = [slopes.Sample(size, 5 + 2 * size) for size in (1, 2, 3, 4)]
        fitted = slopes.fit(probe, samples)
        assert fitted.per_unit == pytest.approx(2.0)
        assert fitted.base == pytest.approx(5.0)
        assert fitted.error == pytest.approx(0.0, abs=1e-9)

    def test_fit_rejects_three_sizes(self):
        probe = slopes.Probe("p", "B", "host", (1, 2, 3), float)
        with pytest.raises(ValueError):
            slopes.fit(probe, probe.measure_all_sizes())
