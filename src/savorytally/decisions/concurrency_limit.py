"""Adaptive limit on the number of concurrent calls at one upstream.

The limit never exceeds the configured capacity. Below that, it follows the
gate's own measurements only: a broken upstream halves it, responses raise it
again, and a lower limit is kept only after a trial has shown that throughput
does not suffer. The upstream's own load reports can trigger a trial but
don't change the limit.
"""

import dataclasses

# Initial and smallest limit, as fractions of the ceiling.
INITIAL_FRACTION = 0.25
FLOOR_FRACTION = 0.125
# Factors on the limit after a broken call and after one that the upstream
# rejected; further cuts within the interval are ignored.
REDUCE_INTERVAL_S = 0.1
BROKEN_FACTOR = 0.5
REJECTED_FACTOR = 0.9
# Minimum length of a measurement window.
WINDOW_S = 0.25
WINDOW_CALLS_PER_SLOT = 2
WINDOW_CALLS_MIN = 64
# A trial of a lower limit ends early if, after this many calls, throughput is
# below this fraction of the throughput before it.
EARLY_FAIL_CALLS = 24
EARLY_FAIL_RATIO = 0.9
# Mean ratio of service time to unloaded service time above which the upstream
# counts as slow, and below which it counts as normal again.
SLOW_RATIO = 1.5
NORMAL_RATIO = 1.2
RATIO_GAIN = 0.05
# Factor by which a trial lowers the limit.
TRIAL_FACTOR = 0.8
# Throughput, relative to that before the trial, from which a lower and a
# higher limit are kept.
LOWER_TRIAL_RATIO_MIN = 0.97
HIGHER_TRIAL_RATIO_MIN = 1.03
# Time between trials; it doubles after each failed trial up to the maximum.
TRIAL_INTERVAL_S = 10.0
TRIAL_INTERVAL_MAX_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one answered call.

    :param work_s: service time of the call's route without overload.
    :param service_s: time for which the call held its slot.
    :param saturated: whether another call was waiting for a slot.
    """

    work_s: float
    service_s: float
    saturated: bool


@dataclasses.dataclass(slots=True)
class _Window:
    """Throughput measurement over a period in which all slots were in use.

    :param start: start of the period.
    :param work_s: sum of the unloaded service times of the answered calls.
    :param calls: number of answered calls.
    """

    start: float
    work_s: float = 0.0
    calls: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """A different limit that is in force for one window.

    :param previous: the limit before the trial.
    :param rate: work done per second before the trial.
    """

    previous: float
    rate: float


class Limiter:
    """Adapts the limit below a configured ceiling.

    :param ceiling: maximum number of concurrent calls.
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = max(ceiling, 1)
        self._ramp = max(1.0, self._ceiling * INITIAL_FRACTION)
        self._target = float(self._ceiling)
        self._ratio = 1.0
        self._slow_since: float | None = None
        self._reduced_at = float("-inf")
        self._window: _Window | None = None
        self._trial: _Trial | None = None
        self._trial_at = float("-inf")
        self._trial_interval_s = TRIAL_INTERVAL_S
        self._trial_requested = False

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""
        return max(1, int(min(self._ramp, self._target)))

    def set_ceiling(self, ceiling: int) -> None:
        """Apply a new ceiling; the limit ramps up to a higher one."""
        if ceiling == self._ceiling:
            return
        self._ceiling = max(ceiling, 1)
        self._ramp = max(min(self._ramp, self._ceiling), self._floor())
        self._target = float(self._ceiling)
        self._trial = None
        self._window = None

    def request_trial(self) -> None:
        """Request a trial since the upstream reports overload or a fault."""
        self._trial_requested = True

    def answered(self, sample: Sample, now: float) -> None:
        """Update the limit after an answered call."""
        if sample.work_s > 0:
            ratio = sample.service_s / sample.work_s
            self._ratio += RATIO_GAIN * (ratio - self._ratio)
        if self._ratio <= SLOW_RATIO:
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since = now
        if sample.saturated and self._ramp < self._ceiling:
            self._ramp = min(self._ramp + 1.0, self._ceiling)
            return
        self._measure(sample, now)

    def broken(self, now: float) -> None:
        """Lower the limit after a call that the upstream broke off.

        Calls that the upstream did not accept count too.
        """
        self._reduce(BROKEN_FACTOR, now)

    def rejected(self, now: float) -> None:
        """Lower the limit after a call that the upstream itself shed."""
        self._reduce(REJECTED_FACTOR, now)

    def _reduce(self, factor: float, now: float) -> None:
        self._window = None
        self._abandon_trial()
        if now - self._reduced_at < REDUCE_INTERVAL_S:
            return
        self._reduced_at = now
        self._ramp = max(self._floor(), self._ramp * factor)

    def _floor(self) -> float:
        return max(1.0, self._ceiling * FLOOR_FRACTION)

    def _measure(self, sample: Sample, now: float) -> None:
        if not sample.saturated:
            self._window = None
            self._abandon_trial()
            self._reset_if_normal()
            return
        if self._window is None:
            self._window = _Window(now)
            return
        window = self._window
        if now < window.start:
            return
        window.work_s += sample.work_s
        window.calls += 1
        if self._trial_failed(window, now):
            self._close_window(
                window.work_s / (now - window.start), sample, now
            )
            return
        enough = max(WINDOW_CALLS_PER_SLOT * self.limit, WINDOW_CALLS_MIN)
        if window.calls >= enough and now - window.start >= WINDOW_S:
            self._close_window(
                window.work_s / (now - window.start), sample, now
            )

    def _trial_failed(self, window: _Window, now: float) -> bool:
        """Return whether a trial of a lower limit has clearly failed."""
        trial = self._trial
        if trial is None or self._target > trial.previous:
            return False
        if window.calls < EARLY_FAIL_CALLS:
            return False
        rate = window.work_s / (now - window.start)
        return rate < EARLY_FAIL_RATIO * trial.rate

    def _close_window(self, rate: float, sample: Sample, now: float) -> None:
        if self._trial is not None:
            self._finish_trial(self._trial, rate, now)
        else:
            self._reset_if_normal()
            self._start_due_trial(rate, now)
        settle_s = sample.service_s if self._trial is not None else 0.0
        self._window = _Window(now + settle_s)

    def _reset_if_normal(self) -> None:
        if self._ratio < NORMAL_RATIO:
            self._target = float(self._ceiling)
            self._trial_interval_s = TRIAL_INTERVAL_S

    def _start_due_trial(self, rate: float, now: float) -> None:
        if now - self._trial_at < self._trial_interval_s:
            return
        if self._target < self._ceiling:
            self._start_trial(
                min(self._target / TRIAL_FACTOR, self._ceiling), rate
            )
        elif self._trial_requested or self._slow_for(now) > TRIAL_INTERVAL_S:
            self._start_trial(self._target * TRIAL_FACTOR, rate)
        self._trial_requested = False

    def _slow_for(self, now: float) -> float:
        return now - self._slow_since if self._slow_since is not None else 0.0

    def _start_trial(self, target: float, rate: float) -> None:
        self._trial = _Trial(self._target, rate)
        self._target = max(target, self._floor())

    def _finish_trial(self, trial: _Trial, rate: float, now: float) -> None:
        raised = self._target > trial.previous
        ratio_min = HIGHER_TRIAL_RATIO_MIN if raised else LOWER_TRIAL_RATIO_MIN
        if rate >= ratio_min * trial.rate:
            self._trial_interval_s = TRIAL_INTERVAL_S
        else:
            self._target = trial.previous
            doubled_s = self._trial_interval_s * 2
            self._trial_interval_s = min(doubled_s, TRIAL_INTERVAL_MAX_S)
        self._trial = None
        self._trial_at = now

    def _abandon_trial(self) -> None:
        if self._trial is not None:
            self._target = self._trial.previous
            self._trial = None
