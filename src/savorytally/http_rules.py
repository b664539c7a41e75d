"""Which bytes begin a response in HTTP/1, as RFC 9112 and RFC 9110 define.

Parsers accept more: any three digits as a status, later and earlier versions,
and other protocols with a similar status line. What such bytes say is not an
answer, so all clients of this package check them here before acting on them.
"""

# The first bytes of a response.
START = b"HTTP/"
VERSIONS = frozenset(("1.0", "1.1"))
_INTERIM_MIN, _FINAL_MIN, _FINAL_MAX = 100, 200, 599


def is_start(data: bytes) -> bool:
    """Return whether a response may begin with these bytes, perhaps a few."""
    return START.startswith(data[: len(START)])


def is_final(status: int) -> bool:
    """Return whether a response with this status answers a request."""
    return _FINAL_MIN <= status <= _FINAL_MAX


def is_response(status: int, version: str) -> bool:
    """Return whether a status line is one of a final or interim response.

    :param version: the version of HTTP, such as ``1.1``.
    """
    interim = _INTERIM_MIN <= status < _FINAL_MIN
    return version in VERSIONS and (interim or is_final(status))
