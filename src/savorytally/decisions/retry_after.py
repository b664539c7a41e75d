"""Computes the Retry-After delay of refused requests.

Prevents callers from retrying in step, or before capacity is free: the delay
grows with the wait at the host that refused the request and is randomised.
The delay given by a node that stops or whose upstream is missing ends when
the next process is likely to serve.
"""

# Largest fraction of a caller's remaining time that the delay may use;
# callers don't honour a longer Retry-After.
HONOURED_FRACTION = 0.33
WAIT_MIN_S = 0.03
# Smallest delay, as a fraction of the latency objective.
OBJECTIVE_FRACTION = 0.25
# Fraction of the time until the next process over which retries are spread.
RESTART_SPREAD = 0.5
# Time that a starting host needs to read the configuration and until its
# upstream is in the host list.
STARTUP_S = 1.0


def after_refusal_s(
    left_s: float, objective_s: float, wait_s: float, draw: float
) -> float:
    """Return the Retry-After delay of a refused request in seconds.

    :param left_s: time until the caller's deadline.
    :param objective_s: latency objective of the request.
    :param wait_s: expected wait at the host that refused the request.
    :param draw: a random number from 0 to 1.
    """
    base_s = max(WAIT_MIN_S, wait_s, objective_s * OBJECTIVE_FRACTION)
    return min(base_s * (0.5 + draw), left_s * HONOURED_FRACTION)


def longest_honoured_s(left_s: float) -> float:
    """Return the longest Retry-After delay that callers honour, in seconds.

    :param left_s: time until the caller's deadline.
    """
    return left_s * HONOURED_FRACTION


def after_restart_s(left_s: float, back_s: float, draw: float) -> float:
    """Return the Retry-After delay until a node or upstream serves again.

    :param left_s: time until the caller's deadline.
    :param back_s: time until the next process is likely to serve.
    :param draw: a random number from 0 to 1.
    """
    spread = 1.0 + RESTART_SPREAD * draw
    return min(back_s * spread, left_s * HONOURED_FRACTION)
