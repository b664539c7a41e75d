"""Socket options that detect dead connections, and unread bytes."""

import array
import asyncio
import fcntl
import socket
import termios

# A dead connection is detected after about three probe intervals.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2
UNACKNOWLEDGED_MAX_MS = 2_500
# Ends of a connection attempt; addresses that can't be resolved or encoded
# raise the last ones.
CONNECT_ERRORS = (OSError, TimeoutError, ArithmeticError, ValueError)


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end an idle connection whose peer is gone."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    ):
        raw.setsockopt(level, option, value)


def end_if_unacknowledged(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end a connection whose peer takes no more data.

    That also ends a connection whose peer is alive and does not read.
    """
    raw = transport.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS
        )


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the number of received bytes that were not read yet."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return 0
    size = array.array("i", [0])
    try:
        fcntl.ioctl(raw.fileno(), termios.FIONREAD, size)
    except (OSError, ValueError):
        # The connection has ended.
        return 0
    return size[0]
