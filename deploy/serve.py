"""Starts a node from a checkout, without installing the package."""

import signal

# Changed settings may be told before the node can take signals; until then
# it has not read them, and the signal must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import pathlib  # noqa: E402
import sys  # noqa: E402

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from savorytally.platform import main  # noqa: E402

sys.exit(main.main())
