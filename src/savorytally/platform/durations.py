"""Parses the platform's durations, such as ``1500ms`` or ``2.5s``."""

from ..world import ranges

_UNITS_S = (("ms", 0.001), ("s", 1.0))


def seconds(text: object) -> float:
    """Return a duration in seconds.

    :param text: number with the unit ``ms`` or ``s``.
    :raises ValueError: if the text has another form.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is no duration")
    for unit, factor in _UNITS_S:
        if text.endswith(unit):
            value = float(text[: -len(unit)]) * factor
            if not 0.0 <= value <= ranges.DURATION_MAX_S:
                raise ValueError(f"{text!r} is no duration")
            return value
    raise ValueError(f"{text!r} is no duration")
