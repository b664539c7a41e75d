"""When a refused caller should come back.

Answers callers that would return all together, or before there is room: the
time grows with the wait at the host that refused them and is spread. From a
node that stops they return when the next process is likely to be there.
"""

# Part of their remaining time by which callers honour Retry-After.
HONOURED_PART = 0.33
WAIT_MIN_S = 0.03
# Part of the objective below which coming back is too early.
OBJECTIVE_PART = 0.25
# Part of the time to the next process over which callers are spread.
RESTART_SPREAD = 0.5
# Time in which a host that starts has read the configuration, and in which
# its upstream is listed.
COMES_UP_S = 1.0


def after_s(
    left_s: float, objective_s: float, wait_s: float, draw: float
) -> float:
    """Return when to come back after a refusal, from now.

    :param left_s: time that the caller has left.
    :param objective_s: time in which the answer is worth most.
    :param wait_s: expected wait at the host that refused it.
    :param draw: a random number from 0 to 1.
    """
    base_s = max(WAIT_MIN_S, wait_s, objective_s * OBJECTIVE_PART)
    return min(base_s * (0.5 + draw), left_s * HONOURED_PART)


def after_restart_s(left_s: float, back_s: float, draw: float) -> float:
    """Return when to come back to a node that stops, from now.

    :param left_s: time that the caller has left.
    :param back_s: when the next process is likely to serve.
    :param draw: a random number from 0 to 1.
    """
    spread = 1.0 + RESTART_SPREAD * draw
    return min(back_s * spread, left_s * HONOURED_PART)
