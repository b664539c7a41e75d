"""Formats the figures of a replay as a table."""

import dataclasses
import typing as t

from . import figures

COLUMNS = {
    "goodput_share": "goodput",
    "recovery_s": "recovery s",
    "worst_share": "worst org",
    "in_rate_refused": "in-rate ref.",
    "inversions": "inversions",
    "thrown_away_share": "thrown away",
    "calls_per_request": "calls/req",
    "calls_per_root_max": "max/root",
}
NAME_WIDTH = 20
COLUMN_WIDTH = 13


def heading() -> str:
    """Return the header line of the table."""
    cells = "".join(f"{name:>{COLUMN_WIDTH}}" for name in COLUMNS.values())
    return f"{'variant':<{NAME_WIDTH}}{cells}"


def line(name: str, measured: figures.Figures) -> str:
    """Return the line of a variant.

    :param name: name of the variant.
    :param measured: its figures.
    """
    values = dataclasses.asdict(measured)
    cells = "".join(f"{values[key]:>{COLUMN_WIDTH}.3f}" for key in COLUMNS)
    return f"{name:<{NAME_WIDTH}}{cells}"


def verdicts(evaluated: t.Iterable[figures.Verdict]) -> list[str]:
    """Return one line for each expected outcome."""
    lines = []
    for item in evaluated:
        low, high = item.expected.at_least, item.expected.at_most
        bound = f">= {low:g}" if low is not None else f"<= {high:g}"
        word = "met" if item.met else "NOT MET"
        figure = item.expected.figure
        lines.append(f"  {word:<8}{figure} {item.value:.4f} {bound}")
    return lines
