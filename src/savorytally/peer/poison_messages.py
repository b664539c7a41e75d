"""Messages on poison requests, which crash the upstreams that run them.

A request that runs when an upstream crashes becomes a suspect. It next runs
in isolation on one host: an answer clears it, a second crash convicts it.
"""

import dataclasses

from . import messages


@messages.message(60)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestSuspected(messages.Message):
    """Announces a request that was running when an upstream crashed.

    :param fingerprint: digest of the request's content.
    :param remaining_ms: time for which the request remains a suspect.
    """

    fingerprint: int
    remaining_ms: int


@messages.message(61)
@dataclasses.dataclass(frozen=True, slots=True)
class IsolatedRunStarting(messages.Message):
    """Announces that the sender is about to run a suspect in isolation.

    No other call runs at its upstream meanwhile.

    :param fingerprint: digest of the request's content.
    :param remaining_ms: time for which other hosts must not run it.
    """

    fingerprint: int
    remaining_ms: int


@messages.message(62)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestCleared(messages.Message):
    """Announces that a suspect was answered and is no longer suspected.

    :param fingerprint: digest of the request's content.
    """

    fingerprint: int


@messages.message(63)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestConvicted(messages.Message):
    """Announces a request that was running at a second crash.

    :param fingerprint: digest of the request's content.
    :param remaining_ms: time for which the request is rejected.
    """

    fingerprint: int
    remaining_ms: int
