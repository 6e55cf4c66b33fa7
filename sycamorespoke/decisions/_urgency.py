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
# Priorities of routes that are told apart within one priority of accounts.
ROUTE_PRIORITIES = 3


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


def choose_shared_urgency(priority, account_priority, is_late):
    """Choose the urgency of a request where many hosts share the engines.

    The priority of the account goes first; among requests of accounts with the same
    priority, that of the route decides.

    Load answered: an engine with prompts of two kinds, of which the long one is the
    less urgent. A short one that waits behind several long ones misses its target.
    One that has missed it already waits with the long ones, not behind them.

    Parameters
    ----------
    priority : int
        Priority of the route; 0 is the highest.
    account_priority : int or None
        Priority of the client account, which goes before that of the route.
    is_late : bool
        Whether the request can no longer meet its target.

    Returns
    -------
    int
        0 (most urgent) to 9 (least urgent).

    Examples
    --------
    >>> choose_shared_urgency(0, 1, False), choose_shared_urgency(2, 1, False)
    (3, 5)
    >>> choose_shared_urgency(0, 1, True), choose_shared_urgency(2, None, False)
    (5, 8)
    """
    last = ROUTE_PRIORITIES - 1
    rank = last if is_late else min(max(int(priority), 0), last)
    first = priority if account_priority is None else account_priority
    return min(max(int(first), 0) * ROUTE_PRIORITIES + rank, LOWEST_URGENCY)


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
