"""Adaptive concurrency limit of one upstream, estimated by this host."""

import enum

import attrs

DECREASE_FACTOR_ON_REFUSAL = 0.7
MIN_DECREASE_FACTOR_ON_DELAY = 0.5
TARGET_DELAY_RATIO = 1.3
DELAY_SLACK_S = 0.005
DELAY_SMOOTHING = 0.2
BASELINE_RISE_TIME_S = 600.0
BASELINE_RISE_TIME_AT_LOW_LIMIT_S = 10.0
LOW_LIMIT_SLOTS = 2
DECREASE_INTERVAL_S = 0.1


class AttemptOutcome(enum.Enum):
    """How an attempt ended, as an indication of the load of its upstream."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    NOT_SENT = "not_sent"


@attrs.frozen
class UpstreamLimit:
    """AIMD concurrency limit of one upstream, driven by refusals and delay.

    Parameters
    ----------
    limit : float
        Number of requests that may run concurrently, 1 to ``max_limit``.
    max_limit : float
        Maximum of ``limit``, set by the upstream's group, 1 or more.
    delay_s : float, default=0.0
        Smoothed delay of responses, in seconds.
    baseline_delay_s : float, default=0.0
        Lowest smoothed delay, in seconds, which rises towards higher delays within
        minutes. 0 until the first measured delay.
    updated_s : float, default=0.0
        Time of the last measured delay, in monotonic seconds.
    decreased_s : float, default=-1.0
        Time of the last decrease, in monotonic seconds.

    Notes
    -----
    If an upstream has become permanently slower, its delay stays high while the
    limit falls; at 2 slots, the baseline rises to that delay within seconds.

    Examples
    --------
    >>> limit = UpstreamLimit(limit=10.0, max_limit=20.0)
    >>> limit.update(AttemptOutcome.REFUSED, running=10, delay_s=None, now=1.0).limit
    7.0
    """

    limit: float
    max_limit: float
    delay_s: float = 0.0
    baseline_delay_s: float = 0.0
    updated_s: float = 0.0
    decreased_s: float = -1.0

    def slots(self):
        """Return the number of requests that may run concurrently, 1 or more."""
        return max(int(self.limit), 1)

    def update(self, outcome, running, delay_s, now):
        """Return the limit after a request has ended.

        Parameters
        ----------
        outcome : AttemptOutcome
            How the request ended.
        running : int
            Number of requests that ran at the upstream, including this one.
        delay_s : float or None
            Seconds until the response; ``None`` if the delay does not indicate load
            because it depends on the length of the prompt.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        UpstreamLimit
            Updated limit.
        """
        if outcome is AttemptOutcome.NOT_SENT:
            return self
        if outcome is not AttemptOutcome.ANSWERED:
            return self._decrease(DECREASE_FACTOR_ON_REFUSAL, now)
        updated = self._update_delay(delay_s, now)
        target_s = TARGET_DELAY_RATIO * updated.baseline_delay_s + DELAY_SLACK_S
        if updated.delay_s > target_s:
            factor = max(target_s / updated.delay_s, MIN_DECREASE_FACTOR_ON_DELAY)
            return updated._decrease(factor, now)
        if running < updated.slots():
            return updated
        limit = min(updated.limit + 1.0 / updated.limit, updated.max_limit)
        return attrs.evolve(updated, limit=limit)

    def _update_delay(self, delay_s, now):
        if delay_s is None:
            return self
        if self.baseline_delay_s == 0.0:
            return attrs.evolve(
                self, delay_s=delay_s, baseline_delay_s=delay_s, updated_s=now
            )
        # Single delays vary with the work of each request; only the smoothed delay
        # distinguishes load from work.
        smoothed_s = self.delay_s + DELAY_SMOOTHING * (delay_s - self.delay_s)
        is_low_limit = self.slots() <= LOW_LIMIT_SLOTS
        rise_time_s = (
            BASELINE_RISE_TIME_AT_LOW_LIMIT_S if is_low_limit else BASELINE_RISE_TIME_S
        )
        elapsed_s = min(now - self.updated_s, rise_time_s)
        rise_s = (smoothed_s - self.baseline_delay_s) * elapsed_s / rise_time_s
        baseline_delay_s = min(smoothed_s, self.baseline_delay_s + max(rise_s, 0.0))
        return attrs.evolve(
            self, delay_s=smoothed_s, baseline_delay_s=baseline_delay_s, updated_s=now
        )

    def _decrease(self, factor, now):
        # Requests sent before a decrease still end under the old limit; their
        # outcomes must not decrease it again.
        if now - self.decreased_s < max(DECREASE_INTERVAL_S, self.delay_s):
            return self
        limit = max(self.limit * factor, 1.0)
        return attrs.evolve(self, limit=limit, decreased_s=now)
