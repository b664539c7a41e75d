"""Replay of recorded traces to the decisions of the nodes they speak of.

It drives an entry, the gates that a trace names and stand-ins for their
upstreams on a virtual clock. It is no model of a fleet: there are no hosts
beyond those of the trace and no topology.
"""
