"""Decisions apart from I/O.

A decision object takes the time, a seeded random source and typed inputs as
arguments and returns typed decisions. It reads no clock, opens no socket and
awaits nothing, so that recorded traces replay to the same verdicts.
"""
