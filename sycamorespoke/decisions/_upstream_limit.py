"""The concurrency limit of one upstream, as this host has learnt it."""

import enum

import attrs

DECREASE_ON_REFUSAL = 0.7
LARGEST_DECREASE_ON_DELAY = 0.5
DELAY_RATIO = 1.3
DELAY_SLACK_S = 0.005
DELAY_WEIGHT = 0.2
FLOOR_RISE_TIME_S = 600.0
FLOOR_RISE_TIME_AT_LOWEST_S = 10.0
LOWEST_SLOTS = 2
DECREASE_INTERVAL_S = 0.1


class AttemptOutcome(enum.Enum):
    """How a request ended, as far as the load of its upstream is concerned."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    NOT_SENT = "not_sent"


@attrs.frozen
class UpstreamLimit:
    """Additive increase, multiplicative decrease by refusals and delay.

    Parameters
    ----------
    limit : float
        Requests that may run at once, 1 to ``max_limit``.
    max_limit : float
        Limit of the upstream's group, 1 or more.
    delay_s : float, default=0.0
        Smoothed delay of answers, seconds.
    baseline_delay_s : float, default=0.0
        Lowest smoothed delay, seconds, which approaches higher ones within
        minutes. 0 until the first answer.
    updated_s : float, default=0.0
        Monotonic seconds of the last answer.
    decreased_s : float, default=-1.0
        Monotonic seconds of the last decrease.

    Notes
    -----
    An upstream that has become slow for good keeps its delay while the limit
    falls; at 2 slots the floor follows that delay within seconds.

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
        """Return how many requests may run at once, 1 or more."""
        return max(int(self.limit), 1)

    def update(self, outcome, running, delay_s, now):
        """Return the limit after the end of a request.

        Parameters
        ----------
        outcome : AttemptOutcome
            How it ended.
        running : int
            Requests that ran at the upstream with it.
        delay_s : float or None
            Seconds until its answer; ``None`` where the delay says nothing of the
            load, as with prompts of any length.
        now : float
            Monotonic seconds.

        Returns
        -------
        UpstreamLimit
            The limit from now on.
        """
        if outcome is AttemptOutcome.NOT_SENT:
            return self
        if outcome is not AttemptOutcome.ANSWERED:
            return self._decrease(DECREASE_ON_REFUSAL, now)
        updated = self._update_delay(delay_s, now)
        target_s = DELAY_RATIO * updated.baseline_delay_s + DELAY_SLACK_S
        if updated.delay_s > target_s:
            factor = max(target_s / updated.delay_s, LARGEST_DECREASE_ON_DELAY)
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
        # Single delays scatter with the work of each request; only the smoothed
        # delay tells load from work.
        smoothed_s = self.delay_s + DELAY_WEIGHT * (delay_s - self.delay_s)
        is_lowest = self.slots() <= LOWEST_SLOTS
        rise_time_s = FLOOR_RISE_TIME_AT_LOWEST_S if is_lowest else FLOOR_RISE_TIME_S
        elapsed_s = min(now - self.updated_s, rise_time_s)
        rise_s = (smoothed_s - self.baseline_delay_s) * elapsed_s / rise_time_s
        baseline_delay_s = min(smoothed_s, self.baseline_delay_s + max(rise_s, 0.0))
        return attrs.evolve(
            self, delay_s=smoothed_s, baseline_delay_s=baseline_delay_s, updated_s=now
        )

    def _decrease(self, factor, now):
        # The requests sent before a decrease still end under the old limit;
        # their verdicts must not count again.
        if now - self.decreased_s < max(DECREASE_INTERVAL_S, self.delay_s):
            return self
        limit = max(self.limit * factor, 1.0)
        return attrs.evolve(self, limit=limit, decreased_s=now)
