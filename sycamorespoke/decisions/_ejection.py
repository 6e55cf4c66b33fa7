"""When an upstream that fails requests is left out, and for how long.

Answers upstreams that fail a part of their requests, or all, while they are
still listed: they are found from the answers to requests, without probes.
"""

import attrs

# Weight of the newest outcome in the failure rate.
OUTCOME_WEIGHT = 0.25
EJECT_ABOVE = 0.4
SHORTEST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 6.0
# So long without a failure, and an earlier ejection counts no longer.
FORGIVE_S = 10.0


@attrs.frozen
class FaultRecord:
    """What was seen of an upstream's failures.

    Parameters
    ----------
    rate : float, default=0.0
        Weighted share of failures, 0 to 1.
    ejected_until_s : float, default=-inf
        It gets nothing until then, seconds.
    ejection_s : float, default=0.0
        Length of the last ejection, seconds.
    failed_s : float, default=-inf
        Last failure, seconds.
    """

    rate: float = 0.0
    ejected_until_s: float = float("-inf")
    ejection_s: float = 0.0
    failed_s: float = float("-inf")

    def is_ejected(self, now):
        """Return whether it is left out at ``now``, seconds."""
        return now < self.ejected_until_s


def note_success(record):
    """Return the record after a request that was answered."""
    if record.rate == 0.0:
        return record
    rate = record.rate * (1.0 - OUTCOME_WEIGHT)
    return attrs.evolve(record, rate=rate if rate > 0.01 else 0.0)


def note_failure(record, now, weight=1.0):
    """Return the record after a request that failed.

    Parameters
    ----------
    record : FaultRecord
        What was seen before.
    now : float
        Present time, seconds.
    weight : float, default=1.0
        How much it says of the upstream, 0 to 1; 1 for a refused connection.

    Returns
    -------
    FaultRecord
        Ejected for twice as long as the last time, if failures are frequent.

    Examples
    --------
    >>> record = note_failure(note_failure(FaultRecord(), 0.0), 0.1)
    >>> record.is_ejected(0.2), record.is_ejected(1.2)
    (True, False)
    """
    rate = record.rate + (weight - record.rate) * OUTCOME_WEIGHT
    if rate <= EJECT_ABOVE or record.is_ejected(now):
        return attrs.evolve(record, rate=rate, failed_s=now)
    is_recent = now - record.failed_s < FORGIVE_S
    longer_s = record.ejection_s * 2 if is_recent else 0.0
    ejection_s = min(max(longer_s, SHORTEST_EJECTION_S), LONGEST_EJECTION_S)
    return FaultRecord(
        # One further failure after the ejection ejects again.
        rate=EJECT_ABOVE,
        ejected_until_s=now + ejection_s,
        ejection_s=ejection_s,
        failed_s=now,
    )


def select_not_ejected(records_by_name, now, most_share=0.5):
    """Select the upstreams that are not left out.

    Parameters
    ----------
    records_by_name : dict of str to FaultRecord
        All upstreams that could be used.
    now : float
        Present time, seconds.
    most_share : float, default=0.5
        If more than this share would be left out, none is: then the fault is
        more likely to lie elsewhere.

    Returns
    -------
    list of str
        Names.
    """
    kept = [
        name for name, record in records_by_name.items() if not record.is_ejected(now)
    ]
    if len(kept) < len(records_by_name) * (1.0 - most_share):
        return list(records_by_name)
    return kept
