"""Calls that run at the local upstream, by call token.

A call token is a random secret. The upstream sends it with its child calls,
which identifies their parent call.
"""

import dataclasses
import secrets

from .. import outcomes
from ..decisions import repeated_calls
from ..decisions import retry
from ..peer import messages

TOKEN_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that runs at the upstream.

    :param call: the call.
    :param deadline: when its sender needs the answer, in seconds of the
        node's clock.
    :param retry_budget: retries that its child calls may still use.
    :param failed_children: its child calls that have failed.
    """

    call: messages.Call
    deadline: float
    retry_budget: retry.RetryBudget
    failed_children: repeated_calls.FailedCalls = dataclasses.field(
        default_factory=repeated_calls.FailedCalls
    )


class RunningCalls:
    """Running calls by call token; a token is valid while its call runs."""

    def __init__(self) -> None:
        self._call_by_token: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        return len(self._call_by_token)

    def add(
        self,
        call: messages.Call,
        deadline: float,
        budget: retry.RetryBudget,
    ) -> str:
        """Register a started call and return its token."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        self._call_by_token[token] = RunningCall(call, deadline, budget)
        return token

    def remove(self, token: str) -> None:
        """Remove a call that has ended."""
        self._call_by_token.pop(token, None)

    def find(self, token: str) -> RunningCall | None:
        """Return the running call of a token, ``None`` if there is none."""
        return self._call_by_token.get(token)


def with_unused_retries(
    outcome: outcomes.Outcome, retries: int
) -> outcomes.Outcome:
    """Return an outcome with its number of unused retries set."""
    return dataclasses.replace(outcome, retries_unused=retries)
