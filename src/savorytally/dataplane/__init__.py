"""The data plane: carries requests between callers and upstreams.

Entry, peer streams and gate as callbacks on one loop, with no task and no
timer a frame. Decisions are objects of :mod:`savorytally.decisions`; what is
spoken towards a platform is given to it as a :class:`.dialect.Dialect`.
"""
