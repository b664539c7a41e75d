"""Measures the slopes, updates the tables of the page, draws the plots."""

import argparse
import pathlib

import matplotlib

from . import page
from . import probes_calls  # noqa: F401, registers probes
from . import probes_control  # noqa: F401, registers probes
from . import probes_path  # noqa: F401, registers probes
from . import probes_world  # noqa: F401, registers probes
from . import roles  # noqa: F401, registers roles
from . import slopes

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

INCHES = (4.0, 3.0)
DOTS_PER_INCH = 80


def plot(slope: slopes.Slope, folder: pathlib.Path) -> None:
    """Draw a slope's samples and fitted line.

    :param folder: directory for the image.
    """
    sizes = [sample.size for sample in slope.samples]
    costs = [sample.cost for sample in slope.samples]
    figure, axes = pyplot.subplots(figsize=INCHES)
    axes.plot(sizes, costs, "o")
    axes.plot(sizes, [slope.cost_at(size) for size in sizes], "-")
    axes.set_title(slope.name)
    axes.set_xlabel(slope.size_unit)
    axes.set_ylabel(slope.cost_unit)
    figure.tight_layout()
    name = slope.name.replace(" ", "-")
    figure.savefig(folder / f"{name}.png", dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="bin/capacity", description=__doc__)
    parser.add_argument(
        "--page",
        type=pathlib.Path,
        default=pathlib.Path("docs/CAPACITY.md"),
        help="page whose tables are rewritten",
    )
    parser.add_argument(
        "--plots",
        type=pathlib.Path,
        default=pathlib.Path("docs/capacity"),
        help="directory for the plots",
    )
    arguments = parser.parse_args()
    measured = slopes.measure_all()
    text = arguments.page.read_text("utf-8")
    updated = page.replace_tables(text, page.tables(measured))
    arguments.page.write_text(updated, "utf-8")
    arguments.plots.mkdir(parents=True, exist_ok=True)
    for slope in measured.values():
        plot(slope, arguments.plots)


if __name__ == "__main__":
    main()
