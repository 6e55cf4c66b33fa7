"""Urgency of requests at an overloaded engine.

When the queue of an engine is longer than the latency target of its requests, requests
that can no longer meet their target get a lower priority than those that can. In order
of arrival, all of them would miss it.
"""

import math

import attrs

# Without new observations the estimate halves about every 0.35 s.
DECAY_TIME_S = 0.5
SMOOTHING_FACTOR = 0.4
# A request is late if its estimated latency exceeds this share of its target.
TARGET_SHARE = 0.85
LATE_PENALTY = 5
LOWEST_URGENCY = 9


@attrs.frozen
class WaitEstimate:
    """An estimate of how long urgent requests wait at an engine.

    It is an exponential moving average of observed waits that decays over time.

    Parameters
    ----------
    wait_s : float, default=0.0
        Estimate at ``updated_s``, seconds.
    updated_s : float, default=-inf
        When the last wait was observed, seconds.

    Examples
    --------
    >>> estimate = WaitEstimate().observe(1.0, now=10.0)
    >>> estimate.read(now=10.0), round(estimate.read(now=10.5), 3)
    (0.4, 0.147)
    """

    wait_s: float = 0.0
    updated_s: float = float("-inf")

    def read(self, now, expected_s=()):
        """Return the estimate at ``now``, seconds.

        Parameters
        ----------
        now : float
            Current time, seconds.
        expected_s : iterable of float, default=()
            When the first event of each urgent request that still waits for it was
            expected to arrive without queueing. The longest overdue one is a lower
            bound of the wait, so that a host with few requests at an engine detects
            overload before any first event arrives.

        Examples
        --------
        >>> WaitEstimate().read(now=10.0, expected_s=[9.2, 9.9])
        0.8
        """
        decayed_s = self.wait_s * math.exp(
            -max(now - self.updated_s, 0.0) / DECAY_TIME_S
        )
        overdue_s = round(now - min(expected_s, default=now), 6)
        return max(decayed_s, overdue_s)

    def observe(self, wait_s, now):
        """Return the estimate updated with a request that waited ``wait_s`` seconds."""
        decayed_s = self.read(now)
        estimate_s = decayed_s + (max(wait_s, 0.0) - decayed_s) * SMOOTHING_FACTOR
        return WaitEstimate(estimate_s, now)


def choose_shared_urgency(
    priority, lowest_priority, target_s, elapsed_s, wait_s, prefill_s
):
    """Choose the urgency of a request where hosts know the load of all.

    Load answered: an engine whose queue is longer than the target of its urgent
    requests. Those that can no longer meet it wait with the least urgent requests that
    can, in order of arrival, but are not put behind them: they would not be served.

    Parameters
    ----------
    priority : int
        Priority of the client account or route; 0 is the highest.
    lowest_priority : int
        Lowest priority of the routes that carry prompts, the highest number.
    target_s, elapsed_s, wait_s, prefill_s : float
        As for `choose_urgency`.

    Returns
    -------
    int
        0 (most urgent) to 9 (least urgent).

    Examples
    --------
    >>> late, in_time = 2.0, 0.1
    >>> [choose_shared_urgency(0, 2, 0.6, 0.0, w, 0.1) for w in (in_time, late)]
    [0, 2]
    >>> [choose_shared_urgency(2, 2, 1.5, 0.0, w, 0.1) for w in (in_time, late)]
    [2, 3]
    """
    urgency = max(int(priority), 0)
    if elapsed_s + wait_s + prefill_s > target_s * TARGET_SHARE:
        urgency = max(urgency + 1, lowest_priority)
    return min(urgency, LOWEST_URGENCY)


def choose_urgency(priority, target_s, elapsed_s, wait_s, prefill_s):
    """Choose the urgency that an engine is given for a request.

    Parameters
    ----------
    priority : int
        Priority of the client account or route; 0 is the highest.
    target_s : float
        Target for the time to the first event, seconds.
    elapsed_s : float
        Time since the request arrived, seconds.
    wait_s : float
        Estimated wait in the queue of the engine, seconds.
    prefill_s : float
        Estimated time to prefill the prompt, seconds.

    Returns
    -------
    int
        0 (most urgent) to 9 (least urgent).

    Examples
    --------
    >>> choose_urgency(1, 0.6, 0.0, 0.2, 0.1), choose_urgency(1, 0.6, 0.0, 0.5, 0.1)
    (1, 6)
    """
    latency_s = elapsed_s + wait_s + prefill_s
    is_late = latency_s > target_s * TARGET_SHARE
    urgency = max(int(priority), 0) + (LATE_PENALTY if is_late else 0)
    return min(urgency, LOWEST_URGENCY)
