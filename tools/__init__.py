"""Measurements of savorytally, not part of the product."""
