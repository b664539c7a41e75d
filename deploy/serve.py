"""Starts a node from a checkout, without installing the package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from savorytally.platform import main  # noqa: E402

sys.exit(main.main())
