"""Requests, and the context that child calls inherit from their parent."""

import dataclasses

from .. import outcomes
from ..decisions import retry
from ..world import route


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """State that a call shares with its attempts and its child calls.

    :param root_id: identifier of the root request.
    :param organisation_id: the caller's organisation, empty if none.
    :param key_id: prefix of the key's digest, empty if none.
    :param priority: priority class of the root request's route.
    :param deadline: time by which the caller needs the answer, in seconds
        of the node's clock.
    :param retry_budget: retries that this call and its children may still use.
    :param depth: number of ancestors in the call tree, 0 for the root.
    :param traceparent: W3C trace context of the parent span.
    """

    root_id: str
    organisation_id: str
    key_id: str
    priority: route.Priority
    deadline: float
    retry_budget: retry.RetryBudget
    depth: int
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request received by the entry or the egress.

    :param method: the HTTP method.
    :param path: the path as received, with percent-encoding.
    :param query: the query string without the question mark.
    :param headers: names and values of the headers as received.
    :param body: the whole body.
    """

    method: str
    path: str
    query: str
    headers: outcomes.Headers
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's first value, or an empty string.

        :param name: the header's name in any case.
        """
        lowered = name.lower()
        for key, value in self.headers:
            if key.lower() == lowered:
                return value
        return ""
