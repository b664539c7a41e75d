"""Tests that the documentation lists all result codes."""

import pathlib
import re

import pytest

from savorytally import results

PAGE = pathlib.Path(__file__).parent.parent / "docs/results.md"


def row_of(code):
    """Return a code's expected row of the page's table."""
    status = str(code.http_status) if code.http_status else ""
    cells = (str(code.number), code.name, status, code.summary, code.advice)
    return f"| {' | '.join(cells)} |".replace("|  |", "| |")


def rows():
    """Return the page's table rows that describe one code."""
    lines = PAGE.read_text().splitlines()
    return [line for line in lines if re.match(r"\| \d+ \|", line)]


class TestPage:
    def test_rows_and_codes_are_equal(self):
        assert rows() == [row_of(code) for code in results.all_codes()]

    @pytest.mark.parametrize(
        ("knowledge", "first", "last"),
        [
            (results.Knowledge.NOT_RUN, 1000, 1999),
            (results.Knowledge.RAN, 2000, 2999),
            (results.Knowledge.UNKNOWN, 3000, 3999),
            (results.Knowledge.OPERATOR, 9000, 9999),
        ],
    )
    def test_ranges_are_those_of_the_page(self, knowledge, first, last):
        assert f"| {first}-{last} | {knowledge.name.lower()} |" in (
            PAGE.read_text()
        )
        for code in results.all_codes():
            inside = first <= code.number <= last
            assert (code.knowledge is knowledge) == inside

    def test_only_answered_has_a_success_status(self):
        for code in results.all_codes():
            if code is not results.ANSWERED:
                assert not 200 <= code.http_status < 400
