"""Starts a node from a checkout, without installing the package."""

import signal

# SIGHUP requests a reload and may arrive before the node has installed its
# signal handlers. Until then no settings have been read, so the signal can be
# ignored; its default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import pathlib  # noqa: E402
import sys  # noqa: E402

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from savorytally.platform import main  # noqa: E402

sys.exit(main.main())
