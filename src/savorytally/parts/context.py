"""What a call inherits from the request above it."""

import dataclasses

from .. import outcomes
from ..decisions import retry
from ..world import route


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """State shared by all attempts and child calls of one request.

    :param root_id: identifies the root request.
    :param organisation_id: the caller's organisation, empty if none.
    :param key_id: prefix of the key's digest, empty if none.
    :param priority: the class of the root request's route.
    :param deadline: when the answer is no longer wanted, node clock.
    :param budget: retries left to this call and its children.
    :param depth: calls above this one.
    :param traceparent: W3C trace context of the span above.
    """

    root_id: str
    organisation_id: str
    key_id: str
    priority: route.Priority
    deadline: float
    budget: retry.RetryBudget
    depth: int
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as it reaches the entry or the egress.

    :param method: the HTTP method.
    :param path: the path as received, with percent-encoding.
    :param query: the query string without the question mark.
    :param headers: pairs as received.
    :param body: the whole body.
    """

    method: str
    path: str
    query: str
    headers: outcomes.Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return the first header of that name, or an empty string."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return ""
