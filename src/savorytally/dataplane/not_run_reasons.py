"""Reasons why a request has certainly not run."""

import enum


class NotRunReason(enum.Enum):
    """Why a request has certainly not run.

    The gate of the upstream's host determines the first group, the entry that
    responds to the caller the second one.
    """

    QUEUE = "queue"
    LIMIT = "limit"
    COLD = "cold"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    NOT_AT_HOME = "not_at_home"
    HEALTH = "health"
    CULPRIT = "culprit"
    NO_CONNECTION = "no_connection"
    NO_TIME = "no_time"
    MARK = "mark"
    MISDIRECTED = "misdirected"
    REPLACED = "replaced"
    BUDGET = "budget"

    GATE = "gate"
    UNSENT = "unsent"
    WITHDRAWN = "withdrawn"
    NOT_OFFERED = "not_offered"
