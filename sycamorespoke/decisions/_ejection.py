"""Ejection of upstreams that fail requests.

An upstream may fail some or all of its requests while it is still listed. Such
upstreams are detected from the outcomes of requests, without active health checks.
"""

import attrs

# Weight of the latest outcome in the moving average of failures.
OUTCOME_WEIGHT = 0.25
EJECTION_THRESHOLD = 0.4
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 6.0
# After this time without a failure the next ejection is a short one again.
BACKOFF_RESET_S = 10.0


@attrs.frozen
class FailureHistory:
    """The recent failures and the ejection of one upstream.

    Parameters
    ----------
    failure_rate : float, default=0.0
        Exponentially weighted share of failed requests, 0 to 1.
    ejected_until_s : float, default=-inf
        End of the ejection, seconds. Until then the upstream gets no requests.
    ejection_s : float, default=0.0
        Duration of the last ejection, seconds.
    last_failure_s : float, default=-inf
        When the last failure was recorded, seconds.
    """

    failure_rate: float = 0.0
    ejected_until_s: float = float("-inf")
    ejection_s: float = 0.0
    last_failure_s: float = float("-inf")

    def is_ejected(self, now):
        """Return whether the upstream is ejected at ``now``, seconds."""
        return now < self.ejected_until_s


def record_success(history):
    """Return the history with a successful request added."""
    if history.failure_rate == 0.0:
        return history
    failure_rate = history.failure_rate * (1.0 - OUTCOME_WEIGHT)
    return attrs.evolve(
        history, failure_rate=failure_rate if failure_rate > 0.01 else 0.0
    )


def record_failure(history, now, weight=1.0):
    """Return the history with a failed request added.

    Parameters
    ----------
    history : FailureHistory
        Earlier outcomes of the upstream.
    now : float
        Current time, seconds.
    weight : float, default=1.0
        Strength of the failure as evidence against the upstream, 0 to 1; 1 for a
        refused connection.

    Returns
    -------
    FailureHistory
        With an ejection if the failure rate exceeds the threshold. Repeated
        ejections double in duration up to a maximum.

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
    doubled_s = history.ejection_s * 2 if is_recent else 0.0
    ejection_s = min(max(doubled_s, MIN_EJECTION_S), MAX_EJECTION_S)
    return FailureHistory(
        # A single failure after the ejection exceeds the threshold again.
        failure_rate=EJECTION_THRESHOLD,
        ejected_until_s=now + ejection_s,
        ejection_s=ejection_s,
        last_failure_s=now,
    )


def select_not_ejected(histories_by_name, now, max_ejected_share=0.5):
    """Select the upstreams that are not ejected.

    Parameters
    ----------
    histories_by_name : dict of str to FailureHistory
        Histories of all candidates by name.
    now : float
        Current time, seconds.
    max_ejected_share : float, default=0.5
        If more than this share is ejected, all upstreams are selected: so many
        failures at once are more likely to have a cause outside the upstreams.

    Returns
    -------
    list of str
        Names of the upstreams.
    """
    kept = [
        name
        for name, history in histories_by_name.items()
        if not history.is_ejected(now)
    ]
    if len(kept) < len(histories_by_name) * (1.0 - max_ejected_share):
        return list(histories_by_name)
    return kept
