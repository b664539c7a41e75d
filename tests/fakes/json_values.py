"""Hypothesis strategies for JSON values and nearly valid documents."""

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


def paths(value: t.Any) -> list[tuple[t.Any, ...]]:
    """Return the path of keys to every value inside a JSON value."""
    found: list[tuple[t.Any, ...]] = []
    if isinstance(value, dict):
        children: t.Iterable[tuple[t.Any, t.Any]] = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        return found
    for key, child in children:
        found.append((key,))
        found += [(key, *rest) for rest in paths(child)]
    return found


HIMALI_PATHS = paths(documents.himali())


@st.composite
def spoiled_documents(draw: st.DrawFn) -> t.Any:
    """Draw a document in which up to three values are replaced."""
    document = copy.deepcopy(documents.himali())
    for path in draw(st.lists(st.sampled_from(HIMALI_PATHS), max_size=3)):
        _replace(document, path, draw(ANY))
    return document


def _replace(value: t.Any, path: tuple[t.Any, ...], new: t.Any) -> None:
    for key in path[:-1]:
        try:
            value = value[key]
        except (LookupError, TypeError):
            return
    if isinstance(value, dict) or (
        isinstance(value, list) and path[-1] in range(len(value))
    ):
        value[path[-1]] = new
