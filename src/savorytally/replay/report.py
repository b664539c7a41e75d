"""The printed table of a replay."""

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
    """Return the table's first line."""
    cells = "".join(f"{name:>{COLUMN_WIDTH}}" for name in COLUMNS.values())
    return f"{'variant':<{NAME_WIDTH}}{cells}"


def line(name: str, measured: figures.Figures) -> str:
    """Return the table's line of one variant."""
    values = dataclasses.asdict(measured)
    cells = "".join(f"{values[key]:>{COLUMN_WIDTH}.3f}" for key in COLUMNS)
    return f"{name:<{NAME_WIDTH}}{cells}"


def verdicts(judged: t.Iterable[figures.Verdict]) -> list[str]:
    """Return one line for each stated outcome."""
    lines = []
    for item in judged:
        low, high = item.stated.at_least, item.stated.at_most
        wanted = f">= {low:g}" if low is not None else f"<= {high:g}"
        word = "met" if item.met else "NOT MET"
        figure = item.stated.figure
        lines.append(f"  {word:<8}{figure} {item.value:.4f} {wanted}")
    return lines
