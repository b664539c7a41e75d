"""Immutable data of the published configuration and host list."""
