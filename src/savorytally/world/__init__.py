"""Frozen data that mirrors what operators and the platform publish."""
