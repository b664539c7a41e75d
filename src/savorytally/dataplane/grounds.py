"""On what ground a request is said not to have run."""

import enum


class Ground(enum.Enum):
    """What shows that a request has not run.

    The first ones are known at the gate beside the upstream, the others at
    the entry that answers the caller.
    """

    QUEUE = "queue"
    LIMIT = "limit"
    LEAVING = "leaving"
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
