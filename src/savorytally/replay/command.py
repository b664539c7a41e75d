"""Implementation of ``savorytally replay``."""

import pathlib
import sys
import typing as t

from .. import results
from ..commands import base
from . import figures
from . import player
from . import reading
from . import report
from . import trace
from . import variants


def run(paths: t.Sequence[pathlib.Path], compare: bool) -> int:
    """Replay traces, print their figures and return the exit code.

    :param paths: paths of the trace files.
    :param compare: whether to replay each variant for comparison; the
        expected outcomes always apply to the variant with all policies on.
    """
    code = base.EXIT_OK
    for path in paths:
        read = reading.load(path)
        if isinstance(read, trace.Malformed):
            number = results.TRACE_FAULT.number
            print(
                f"{number} {path}: line {read.line}: {read.text}",
                file=sys.stderr,
            )
            return base.EXIT_FAULT
        if not _replay(read, compare):
            code = base.EXIT_UNMET
    return code


def _replay(read: trace.Trace, compare: bool) -> bool:
    header = read.header
    print(f"{header.name} ({header.source}, {header.commit})")
    print(report.heading())
    full = _measure(read, variants.FULL)
    print(report.line(variants.FULL, full))
    if compare:
        for name in variants.variants.names():
            if name != variants.FULL:
                print(report.line(name, _measure(read, name)))
    verdicts = list(figures.evaluate(header, full))
    print("\n".join(report.verdicts(verdicts)))
    return all(item.met for item in verdicts)


def _measure(read: trace.Trace, name: str) -> figures.Figures:
    variant = variants.variants.get(name)
    return figures.measure(read, player.Player(read, variant).play())
