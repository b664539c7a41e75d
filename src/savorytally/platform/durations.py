"""Durations as the platform writes them: ``1500ms``, ``2.5s``."""

_UNITS_S = (("ms", 0.001), ("s", 1.0))


def seconds(text: object) -> float:
    """Return a duration in seconds.

    :raises ValueError: if it is not a number with one of the units.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is no duration")
    for unit, factor in _UNITS_S:
        if text.endswith(unit):
            value = float(text[: -len(unit)]) * factor
            if not 0.0 <= value < float("inf"):
                raise ValueError(f"{text!r} is no duration")
            return value
    raise ValueError(f"{text!r} is no duration")
