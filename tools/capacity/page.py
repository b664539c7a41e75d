"""Writes the tables of the capacity page."""

import typing as t

from . import costs
from . import deployments
from . import slopes

TABLES_BEGIN = "<!-- tables: bin/capacity -->"
TABLES_END = "<!-- end of tables -->"
SIGNIFICANT_DIGITS = 4

PROCESSOR_LIMIT_US_PER_S = 31_000
MEMORY_LIMIT_B = 32 << 20
TRAFFIC_LIMIT_B_PER_S = 2_000

Measured = t.Mapping[str, slopes.Slope]

_LIMITS = {
    costs.Resource.PROCESSOR: PROCESSOR_LIMIT_US_PER_S,
    costs.Resource.MEMORY: MEMORY_LIMIT_B,
    costs.Resource.TRAFFIC: TRAFFIC_LIMIT_B_PER_S,
}


def number(value: float) -> str:
    """Format a number with four significant digits."""
    return f"{value:.{SIGNIFICANT_DIGITS}g}"


def slope_table(measured: Measured) -> list[str]:
    """Return the table of slopes."""
    lines = [
        "| slope | cost of one more | base | unit | for each | sizes"
        " | error |",
        "| --- | ---: | ---: | --- | --- | --- | ---: |",
    ]
    for name in sorted(measured):
        slope = measured[name]
        sizes = " ".join(number(sample.size) for sample in slope.samples)
        lines.append(
            f"| {name} | {number(slope.per_unit)} | {number(slope.base)}"
            f" | {slope.cost_unit} | {slope.size_unit} | {sizes}"
            f" | {slope.error:.3f} |"
        )
    return lines


def read_slopes(text: str) -> dict[str, slopes.Slope]:
    """Parse the slopes from a page's table, rounded as shown there."""
    found = {}
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) != 7 or cells[0] in ("slope", "---"):
            continue
        name, per_unit, base, cost_unit, size_unit, sizes, error = cells
        found[name] = slopes.Slope(
            name=name,
            cost_unit=cost_unit,
            size_unit=size_unit,
            per_unit=float(per_unit),
            base=float(base),
            error=float(error),
            samples=tuple(
                slopes.Sample(float(size), 0.0) for size in sizes.split()
            ),
        )
    return found


def role_tables(measured: Measured) -> list[str]:
    """Return the tables of roles and of limits for each deployment."""
    lines = []
    for deployment in deployments.ALL:
        lines += [f"### {deployment.name}", ""]
        lines += _role_table(deployment, measured)
        lines += ["", *_limit_table(deployment, measured), ""]
    return lines


def mechanism_table() -> list[str]:
    """Return the table of each role's state, mechanism and bottleneck."""
    lines = [
        "| role | state held | mechanism | what breaks first |",
        "| --- | --- | --- | --- |",
    ]
    for name in costs.roles.names():
        role = costs.roles.get(name)(deployments.IN_TWO_YEARS)
        lines.append(
            f"| {role.role} | {role.state} | {role.mechanism}"
            f" | {role.breaks} |"
        )
    return lines


def calculation_table(measured: Measured) -> list[str]:
    """Return the table of all terms of the costs for the largest size."""
    lines = [
        "| role | what is counted | count | cost of one | total |",
        "| --- | --- | ---: | ---: | ---: |",
    ]
    for name in costs.roles.names():
        role = costs.roles.get(name)(deployments.IN_TWO_YEARS)
        for term in role.terms:
            each = "1"
            if term.slope:
                per_unit = number(measured[term.slope].per_unit)
                each = f"{per_unit} ({term.slope})"
                if term.includes_base:
                    base = number(measured[term.slope].base)
                    each = f"{each} + {base}"
            total = number(term.cost(measured))
            lines.append(
                f"| {role.role} | {term.counted} | {number(term.count)}"
                f" | {each} | {total} {term.resource.value} |"
            )
    return lines


def control_total(
    deployment: deployments.Deployment,
    resource: costs.Resource,
    measured: Measured,
) -> float:
    """Return a node's total use of a resource by control roles."""
    total = 0.0
    for name in costs.roles.names():
        role = costs.roles.get(name)(deployment)
        if role.control:
            total += role.total(resource, measured)
    return total


def _role_table(
    deployment: deployments.Deployment, measured: Measured
) -> list[str]:
    lines = [
        "| role | control | messages/s | B/s | us/s | memory B |",
        "| --- | --- | ---: | ---: | ---: | ---: |",
    ]
    order = (
        costs.Resource.MESSAGES,
        costs.Resource.TRAFFIC,
        costs.Resource.PROCESSOR,
        costs.Resource.MEMORY,
    )
    for name in costs.roles.names():
        role = costs.roles.get(name)(deployment)
        totals = [number(role.total(item, measured)) for item in order]
        control = "yes" if role.control else "no"
        lines.append(f"| {role.role} | {control} | {' | '.join(totals)} |")
    return lines


def _limit_table(
    deployment: deployments.Deployment, measured: Measured
) -> list[str]:
    lines = [
        "| control of a node | used | limit | used / limit | holds |",
        "| --- | ---: | ---: | ---: | --- |",
    ]
    for resource, limit in _LIMITS.items():
        used = control_total(deployment, resource, measured)
        holds = "yes" if used <= limit else "no"
        lines.append(
            f"| {resource.name.lower()}, {resource.value} | {number(used)}"
            f" | {number(limit)} | {number(used / limit)} | {holds} |"
        )
    return lines


def tables(measured: Measured) -> str:
    """Return all tables.

    Costs are computed from the rounded slopes, so that they can be verified
    from the page alone.
    """
    shown = read_slopes("\n".join(slope_table(measured)))
    lines = [TABLES_BEGIN, "", "## Slopes", "", *slope_table(measured), ""]
    lines += ["## Roles", "", *mechanism_table(), ""]
    lines += ["## Costs of one node", "", *role_tables(shown)]
    lines += [
        "## Working at the stated size",
        "",
        *calculation_table(shown),
        "",
    ]
    return "\n".join([*lines, TABLES_END])


def replace_tables(text: str, made: str) -> str:
    """Return a page's text with its tables replaced.

    :param text: text of the page.
    :param made: new tables.
    :raises ValueError: if the page has no markers around its tables.
    """
    begin = text.index(TABLES_BEGIN)
    end = text.index(TABLES_END) + len(TABLES_END)
    return text[:begin] + made + text[end:]
