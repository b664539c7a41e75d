"""Messages about requests that coincided with crashes of upstreams."""

import dataclasses

from . import messages


@messages.message(60)
@dataclasses.dataclass(frozen=True, slots=True)
class Suspected(messages.Message):
    """A request was running when an upstream crashed.

    :param fingerprint: digest of the request's content.
    :param remaining_ms: how long the suspicion lasts.
    """

    fingerprint: int
    remaining_ms: int


@messages.message(61)
@dataclasses.dataclass(frozen=True, slots=True)
class Isolating(messages.Message):
    """The sender is about to run a suspect while nothing else runs.

    :param fingerprint: digest of the request's content.
    :param remaining_ms: how long other hosts must not run it.
    """

    fingerprint: int
    remaining_ms: int


@messages.message(62)
@dataclasses.dataclass(frozen=True, slots=True)
class Cleared(messages.Message):
    """A suspect was answered; it is no longer under suspicion.

    :param fingerprint: digest of the request's content.
    """

    fingerprint: int


@messages.message(63)
@dataclasses.dataclass(frozen=True, slots=True)
class Convicted(messages.Message):
    """A request coincided with a second crash and is refused for a time.

    :param fingerprint: digest of the request's content.
    :param remaining_ms: how long it is refused.
    """

    fingerprint: int
    remaining_ms: int
