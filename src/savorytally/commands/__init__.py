"""Subcommands of the command line.

A subcommand is a class that the ``commands`` registry holds. Modules that
only one subcommand needs are imported when it runs, so that the others
start fast and a node holds no more in memory than it uses.
"""

from .base import Command
from .base import commands

__all__ = ["Command", "commands"]
