"""Routes of a service."""

import dataclasses
import enum
import typing as t


class Priority(enum.IntEnum):
    """Classes of requests; a higher one is shed later."""

    BACKGROUND = 0
    BROWSING = 1
    NORMAL = 2
    CRITICAL = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One operation of a service.

    :param route_id: the identifier used by the nodes.
    :param service_id: the service that runs it.
    :param names: its name in each naming scheme.
    :param method: the HTTP method.
    :param path: the upstream's path; the caller's remainder is appended.
    :param priority: when it is shed.
    :param idempotent: whether a repetition is harmless; if not, it is
        executed at most once for each idempotency key.
    :param open: whether it is open to all, without a key.
    :param timeout_ms: the longest time a request may take.
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
