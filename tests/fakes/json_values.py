"""Strategies for JSON values, near to and far from a valid document."""

import copy
import typing as t

from hypothesis import strategies as st

from . import documents

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**400, max_value=10**400 + 9)
    | st.floats()
    | st.text(max_size=8)
    | st.characters(categories=["Cs", "Cc"])
)

ANY = st.recursive(
    SCALARS,
    lambda child: (
        st.lists(child, max_size=4)
        | st.dictionaries(st.text(max_size=8), child, max_size=4)
    ),
    max_leaves=12,
)


def places(value: t.Any) -> list[tuple[t.Any, ...]]:
    """Return the way to every value inside a JSON value."""
    found: list[tuple[t.Any, ...]] = []
    if isinstance(value, dict):
        children: t.Iterable[tuple[t.Any, t.Any]] = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        return found
    for key, child in children:
        found.append((key,))
        found += [(key, *rest) for rest in places(child)]
    return found


HIMALI_PLACES = places(documents.himali())


@st.composite
def spoiled_documents(draw: st.DrawFn) -> t.Any:
    """Return a valid document in which a few values were replaced."""
    document = copy.deepcopy(documents.himali())
    for way in draw(st.lists(st.sampled_from(HIMALI_PLACES), max_size=3)):
        _replace(document, way, draw(ANY))
    return document


def _replace(value: t.Any, way: tuple[t.Any, ...], new: t.Any) -> None:
    for key in way[:-1]:
        try:
            value = value[key]
        except (LookupError, TypeError):
            return
    if isinstance(value, dict) or (
        isinstance(value, list) and way[-1] in range(len(value))
    ):
        value[way[-1]] = new
