"""Calls that run at the local upstream, by their unguessable tokens."""

import dataclasses
import secrets

from .. import outcomes
from ..decisions import repeats
from ..decisions import retry
from ..peer import messages

TOKEN_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RunningCall:
    """A call that the upstream is working on.

    :param call: the call.
    :param deadline: when its answer is no longer wanted, node clock.
    :param budget: retries left to it and its children.
    :param failed: its child calls that have failed.
    """

    call: messages.Call
    deadline: float
    budget: retry.RetryBudget
    failed: repeats.FailedChildren = dataclasses.field(
        default_factory=repeats.FailedChildren
    )


class RunningCalls:
    """Maps call tokens to running calls; a token dies with its call."""

    def __init__(self) -> None:
        self._by_token: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        return len(self._by_token)

    def begin(
        self,
        call: messages.Call,
        deadline: float,
        budget: retry.RetryBudget,
    ) -> str:
        """Note a started call and return its token."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        self._by_token[token] = RunningCall(call, deadline, budget)
        return token

    def end(self, token: str) -> None:
        """Forget a call that has ended."""
        self._by_token.pop(token, None)

    def find(self, token: str) -> RunningCall | None:
        """Return the running call of a token, if there is one."""
        return self._by_token.get(token)


def with_unused(outcome: outcomes.Outcome, retries: int) -> outcomes.Outcome:
    """Return the outcome with the retries that come back with it."""
    return dataclasses.replace(outcome, retries_unused=retries)
