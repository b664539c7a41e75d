"""Adaptive limit on the number of concurrent calls at one upstream.

The limit never exceeds the configured capacity. Below that, it follows the
gate's own measurements only: a broken upstream halves it, answers raise it
again, and a lower limit is kept only after a trial has shown that throughput
does not suffer. The upstream's own load reports can trigger a trial but
don't change the limit.
"""

import dataclasses

# Initial and smallest limit, as fractions of the ceiling.
COLD_SHARE = 0.25
FLOOR_SHARE = 0.125
# Factors on the limit after a broken call and after one that the upstream
# rejected; further cuts within the interval are ignored.
CUT_SPACING_S = 0.1
CUT_BROKEN = 0.5
CUT_REJECTED = 0.9
# Minimum length of a measurement window.
WINDOW_S = 0.25
WINDOW_CALLS_PER_SLOT = 2
WINDOW_CALLS_MIN = 64
# A trial of a lower limit ends early if, after this many calls, throughput is
# below this fraction of the throughput before it.
EARLY_CALLS = 24
EARLY_LOSS = 0.9
# Mean ratio of service time to unloaded service time above which the upstream
# counts as slow, and below which it counts as normal again.
SLOW_RATIO = 1.5
NORMAL_RATIO = 1.2
RATIO_GAIN = 0.05
# Factor by which a trial lowers the limit.
TRIAL_SHARE = 0.8
# Throughput, relative to that before the trial, from which a lower and a
# higher limit are kept.
TRIAL_KEEPS = 0.97
TRIAL_GAINS = 1.03
# Time between trials; it doubles after each failed trial up to the maximum.
TRIAL_SPACING_S = 10.0
TRIAL_SPACING_MAX_S = 60.0


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
        self._ramp = max(1.0, self._ceiling * COLD_SHARE)
        self._target = float(self._ceiling)
        self._ratio = 1.0
        self._slow_since: float | None = None
        self._cut_at = float("-inf")
        self._window: _Window | None = None
        self._trial: _Trial | None = None
        self._trial_at = float("-inf")
        self._spacing_s = TRIAL_SPACING_S
        self._doubted = False

    @property
    def limit(self) -> int:
        """Maximum number of concurrent calls."""
        return max(1, int(min(self._ramp, self._target)))

    def learn_ceiling(self, ceiling: int) -> None:
        """Apply a new ceiling; the limit ramps up to a higher one."""
        if ceiling == self._ceiling:
            return
        self._ceiling = max(ceiling, 1)
        self._ramp = max(min(self._ramp, self._ceiling), self._floor())
        self._target = float(self._ceiling)
        self._trial = None
        self._window = None

    def doubt(self) -> None:
        """Request a trial since the upstream reports overload or a fault."""
        self._doubted = True

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
        self._cut(CUT_BROKEN, now)

    def rejected(self, now: float) -> None:
        """Lower the limit after a call that the upstream itself shed."""
        self._cut(CUT_REJECTED, now)

    def _cut(self, share: float, now: float) -> None:
        self._window = None
        self._abandon_trial()
        if now - self._cut_at < CUT_SPACING_S:
            return
        self._cut_at = now
        self._ramp = max(self._floor(), self._ramp * share)

    def _floor(self) -> float:
        return max(1.0, self._ceiling * FLOOR_SHARE)

    def _measure(self, sample: Sample, now: float) -> None:
        if not sample.saturated:
            self._window = None
            self._abandon_trial()
            self._relax()
            return
        if self._window is None:
            self._window = _Window(now)
            return
        window = self._window
        if now < window.start:
            return
        window.work_s += sample.work_s
        window.calls += 1
        if self._lost(window, now):
            self._close(window.work_s / (now - window.start), sample, now)
            return
        enough = max(WINDOW_CALLS_PER_SLOT * self.limit, WINDOW_CALLS_MIN)
        if window.calls >= enough and now - window.start >= WINDOW_S:
            self._close(window.work_s / (now - window.start), sample, now)

    def _lost(self, window: _Window, now: float) -> bool:
        """Return whether a trial of a lower limit has clearly failed."""
        trial = self._trial
        if trial is None or self._target > trial.previous:
            return False
        if window.calls < EARLY_CALLS:
            return False
        rate = window.work_s / (now - window.start)
        return rate < EARLY_LOSS * trial.rate

    def _close(self, rate: float, sample: Sample, now: float) -> None:
        if self._trial is not None:
            self._judge(self._trial, rate, now)
        else:
            self._relax()
            self._try(rate, now)
        settle_s = sample.service_s if self._trial is not None else 0.0
        self._window = _Window(now + settle_s)

    def _relax(self) -> None:
        if self._ratio < NORMAL_RATIO:
            self._target = float(self._ceiling)
            self._spacing_s = TRIAL_SPACING_S

    def _try(self, rate: float, now: float) -> None:
        if now - self._trial_at < self._spacing_s:
            return
        if self._target < self._ceiling:
            self._begin(min(self._target / TRIAL_SHARE, self._ceiling), rate)
        elif self._doubted or self._slow_for(now) > TRIAL_SPACING_S:
            self._begin(self._target * TRIAL_SHARE, rate)
        self._doubted = False

    def _slow_for(self, now: float) -> float:
        return now - self._slow_since if self._slow_since is not None else 0.0

    def _begin(self, target: float, rate: float) -> None:
        self._trial = _Trial(self._target, rate)
        self._target = max(target, self._floor())

    def _judge(self, trial: _Trial, rate: float, now: float) -> None:
        raised = self._target > trial.previous
        wanted = TRIAL_GAINS if raised else TRIAL_KEEPS
        if rate >= wanted * trial.rate:
            self._spacing_s = TRIAL_SPACING_S
        else:
            self._target = trial.previous
            doubled_s = self._spacing_s * 2
            self._spacing_s = min(doubled_s, TRIAL_SPACING_MAX_S)
        self._trial = None
        self._trial_at = now

    def _abandon_trial(self) -> None:
        if self._trial is not None:
            self._target = self._trial.previous
            self._trial = None
