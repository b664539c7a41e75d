"""The users' platform: its names, formats and calls.

Everything here translates; nothing here decides.
"""
