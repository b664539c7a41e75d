"""Routes of a service."""

import dataclasses
import enum
import typing as t


class Priority(enum.IntEnum):
    """Priority classes of requests; higher classes are shed later."""

    BACKGROUND = 0
    BROWSING = 1
    NORMAL = 2
    CRITICAL = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One operation of a service.

    :param route_id: the identifier used by the nodes.
    :param service_id: identifier of the service that runs it.
    :param names: its name in each naming scheme.
    :param method: the HTTP method.
    :param path: path at the upstream; the rest of the caller's path is
        appended.
    :param priority: priority class of its requests.
    :param idempotent: whether a request may run more than once; if not, it
        runs at most once for each idempotency key.
    :param open: whether requests need no API key.
    :param timeout_ms: maximum duration of a request.
    :param homes: regions in which its requests may run, empty for all.
    """

    route_id: str
    service_id: str
    names: t.Mapping[str, str]
    method: str
    path: str
    priority: Priority
    idempotent: bool
    open: bool
    timeout_ms: int
    homes: frozenset[str] = frozenset()
