"""How urgent a request is for the engine that gets it.

Answers overload: when an engine takes longer than the target of its requests,
those that cannot meet theirs any more get a lower priority than those that can.
Served in the order of arrival, all of them would be late.
"""

import math

import attrs

# The estimate halves about every third of a second without news.
DECAY_TIME_S = 0.5
NEWEST_WEIGHT = 0.4
# Part of its target that a request may need by the estimate.
TARGET_SHARE = 0.85
LATE_PENALTY = 5
LOWEST_URGENCY = 9


@attrs.frozen
class WaitEstimate:
    """How long urgent requests wait at an engine, from those before.

    Parameters
    ----------
    wait_s : float, default=0.0
        Estimate at ``at_s``, seconds.
    at_s : float, default=-inf
        When it was made, seconds.

    Examples
    --------
    >>> estimate = WaitEstimate().observe(1.0, now=10.0)
    >>> estimate.read(now=10.0), round(estimate.read(now=10.5), 3)
    (0.4, 0.147)
    """

    wait_s: float = 0.0
    at_s: float = float("-inf")

    def read(self, now, expected_s=()):
        """Return the estimate at ``now``, seconds.

        Parameters
        ----------
        now : float
            Present time, seconds.
        expected_s : iterable of float, default=()
            When the first events of urgent requests under way were expected if
            none had to wait. The one that waits longest says that others will:
            a host with few requests at an engine sees it before the first event.

        Examples
        --------
        >>> WaitEstimate().read(now=10.0, expected_s=[9.2, 9.9])
        0.8
        """
        faded_s = self.wait_s * math.exp(-max(now - self.at_s, 0.0) / DECAY_TIME_S)
        overdue_s = round(now - min(expected_s, default=now), 6)
        return max(faded_s, overdue_s)

    def observe(self, wait_s, now):
        """Return the estimate after a request that waited ``wait_s`` seconds."""
        faded_s = self.read(now)
        estimate_s = faded_s + (max(wait_s, 0.0) - faded_s) * NEWEST_WEIGHT
        return WaitEstimate(estimate_s, now)


def choose_urgency(priority, target_s, elapsed_s, wait_s, read_s):
    """Choose the urgency with which a request goes to an engine.

    Parameters
    ----------
    priority : int
        Priority of its client account or route, 0 is the highest.
    target_s : float
        Time to the first event with full value, seconds.
    elapsed_s : float
        Time since the request arrived, seconds.
    wait_s : float
        Estimated wait at the engine, seconds.
    read_s : float
        Estimated time to read its prompt, seconds.

    Returns
    -------
    int
        0 (first) to 9.

    Examples
    --------
    >>> choose_urgency(1, 0.6, 0.0, 0.2, 0.1), choose_urgency(1, 0.6, 0.0, 0.5, 0.1)
    (1, 6)
    """
    expected_s = elapsed_s + wait_s + read_s
    is_late = expected_s > target_s * TARGET_SHARE
    ranks = max(int(priority), 0) + (LATE_PENALTY if is_late else 0)
    return min(ranks, LOWEST_URGENCY)
