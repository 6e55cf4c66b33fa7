"""When an upstream that fails requests is left out, and for how long.

Answers upstreams that fail a part of their requests, or all, while they are
still listed: they are found from the answers to requests, without probes.
"""

import attrs

# Weight of the newest outcome in the failure rate.
OUTCOME_WEIGHT = 0.25
EJECTION_THRESHOLD = 0.4
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 6.0
# So long without a failure, and an earlier ejection counts no longer.
BACKOFF_RESET_S = 10.0


@attrs.frozen
class FailureHistory:
    """What was seen of an upstream's failures.

    Parameters
    ----------
    failure_rate : float, default=0.0
        Weighted share of failures, 0 to 1.
    ejected_until_s : float, default=-inf
        It gets nothing until then, seconds.
    ejection_s : float, default=0.0
        Length of the last ejection, seconds.
    last_failure_s : float, default=-inf
        Last failure, seconds.
    """

    failure_rate: float = 0.0
    ejected_until_s: float = float("-inf")
    ejection_s: float = 0.0
    last_failure_s: float = float("-inf")

    def is_ejected(self, now):
        """Return whether it is left out at ``now``, seconds."""
        return now < self.ejected_until_s


def record_success(history):
    """Return the record after a request that was answered."""
    if history.failure_rate == 0.0:
        return history
    failure_rate = history.failure_rate * (1.0 - OUTCOME_WEIGHT)
    return attrs.evolve(
        history, failure_rate=failure_rate if failure_rate > 0.01 else 0.0
    )


def record_failure(history, now, weight=1.0):
    """Return the record after a request that failed.

    Parameters
    ----------
    history : FailureHistory
        What was seen before.
    now : float
        Present time, seconds.
    weight : float, default=1.0
        How much it says of the upstream, 0 to 1; 1 for a refused connection.

    Returns
    -------
    FailureHistory
        Ejected for twice as long as the last time, if failures are frequent.

    Examples
    --------
    >>> history = record_failure(record_failure(FailureHistory(), 0.0), 0.1)
    >>> history.is_ejected(0.2), history.is_ejected(1.2)
    (True, False)
    """
    failure_rate = (
        history.failure_rate + (weight - history.failure_rate) * OUTCOME_WEIGHT
    )
    if failure_rate <= EJECTION_THRESHOLD or history.is_ejected(now):
        return attrs.evolve(history, failure_rate=failure_rate, last_failure_s=now)
    is_recent = now - history.last_failure_s < BACKOFF_RESET_S
    longer_s = history.ejection_s * 2 if is_recent else 0.0
    ejection_s = min(max(longer_s, MIN_EJECTION_S), MAX_EJECTION_S)
    return FailureHistory(
        # One further failure after the ejection ejects again.
        failure_rate=EJECTION_THRESHOLD,
        ejected_until_s=now + ejection_s,
        ejection_s=ejection_s,
        last_failure_s=now,
    )


def select_not_ejected(histories_by_name, now, max_ejected_share=0.5):
    """Select the upstreams that are not left out.

    Parameters
    ----------
    histories_by_name : dict of str to FailureHistory
        All upstreams that could be used.
    now : float
        Present time, seconds.
    max_ejected_share : float, default=0.5
        If more than this share would be left out, none is: then the fault is
        more likely to lie elsewhere.

    Returns
    -------
    list of str
        Names.
    """
    kept = [
        name
        for name, history in histories_by_name.items()
        if not history.is_ejected(now)
    ]
    if len(kept) < len(histories_by_name) * (1.0 - max_ejected_share):
        return list(histories_by_name)
    return kept
