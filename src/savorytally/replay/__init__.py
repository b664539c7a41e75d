"""Replays recorded request traces against the nodes' policies.

A replay simulates the callers, an entry, the gates of the trace and their
upstreams on a virtual clock, and runs the real routing, retry and admission
policies. It does not model a fleet: there are no hosts other than those of
the trace and no network topology.
"""
