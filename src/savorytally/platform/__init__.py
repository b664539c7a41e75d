"""Adapters to the platform: its header names, formats and store API.

The modules translate between the platform's formats and the node's types
and make no decisions.
"""
