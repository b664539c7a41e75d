"""The data plane: carries requests between callers and upstreams.

The entry, the peer streams and the gate run as callbacks on one event loop,
without a task or a timer per frame. Overload decisions are made by objects of
:mod:`savorytally.decisions`. The header names that a platform uses are passed
in as a :class:`.header_names.HeaderNames`.
"""
