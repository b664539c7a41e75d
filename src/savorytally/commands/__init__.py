"""Subcommands of the command line.

A subcommand is a class in the ``commands`` registry. Modules that only one
subcommand needs are imported when it runs, which keeps the start of the
others short and the memory of a node small.
"""

from .base import Command
from .base import commands

__all__ = ["Command", "commands"]
