"""``savorytally version``: print the version."""

import argparse

from .. import __version__
from . import base


@base.commands.register("version")
class VersionCommand:
    """Print the program's version."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments."""

    def run(self, parsed: argparse.Namespace) -> int:
        """Print the version."""
        print(__version__)
        return base.EXIT_OK
