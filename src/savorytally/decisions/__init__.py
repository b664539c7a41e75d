"""Decision logic that performs no I/O.

A decision object takes the current time, a seeded random source and typed
inputs as arguments and returns typed decisions. It reads no clock, opens no
socket and awaits nothing, so that a replay of a recorded trace makes the same
decisions.
"""
