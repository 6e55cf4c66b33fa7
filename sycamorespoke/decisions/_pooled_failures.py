"""Ejection of upstreams by what several hosts have observed together.

Load answered: many hosts before many upstreams, where one host meets one upstream so
seldom that its own observations never add up.
"""

import attrs
import xxhash

from sycamorespoke.decisions import _ejection

HASH_RANGE = 2**64
# So many different witnesses must have seen an upstream fail: one may itself be cut
# from it.
MIN_WITNESSES = 2
# What a witness has seen counts for this long.
EVIDENCE_LIFETIME_S = 10.0
# More successes in one report make no difference.
MAX_SUCCESSES = 20
# The hosts try an upstream again one after the other within this time.
RETURN_SPREAD_S = 1.0
# Power of a uniform number that lets few hosts try first and most of them last.
RETURN_EXPONENT = 0.25
# A host that had a success so shortly before the others' word trusts itself.
OWN_SUCCESS_LIFETIME_S = 0.25


@attrs.frozen
class Outcomes:
    """Outcomes of a host's requests at one upstream since its last report.

    Parameters
    ----------
    successes : int, default=0
        Number of successful requests.
    failures : int, default=0
        Number of failed requests.
    weight : float, default=0.0
        Sum of the weights of the failures, see `record_failure`.
    """

    successes: int = 0
    failures: int = 0
    weight: float = 0.0

    def add(self, weight):
        """Return these outcomes and one more.

        Parameters
        ----------
        weight : float or None
            Weight of a failure, 0 to 1; ``None`` for a success.
        """
        if weight is None:
            return attrs.evolve(self, successes=self.successes + 1)
        return attrs.evolve(
            self, failures=self.failures + 1, weight=self.weight + weight
        )


@attrs.frozen
class PooledHistory:
    """What several witnesses have seen of one upstream.

    Parameters
    ----------
    failures : FailureHistory
        Outcomes of the requests of all witnesses.
    failed_s_by_witness : dict of str to float
        When each witness, a host or a data centre, last reported a failure, seconds.
    """

    failures: _ejection.FailureHistory = attrs.field(factory=_ejection.FailureHistory)
    failed_s_by_witness: dict[str, float] = attrs.field(factory=dict)

    def get_ejected_until_s(self, now):
        """Return the end of the ejection, seconds; ``-inf`` if it is not ejected."""
        recent = [
            failed_s
            for failed_s in self.failed_s_by_witness.values()
            if now - failed_s <= EVIDENCE_LIFETIME_S
        ]
        if len(recent) < MIN_WITNESSES or not self.failures.is_ejected(now):
            return float("-inf")
        return self.failures.ejected_until_s


def pool_outcomes(history, witness, outcomes, now):
    """Return the history of an upstream with a report added.

    Parameters
    ----------
    history : PooledHistory
        What was reported before.
    witness : str
        Name of the host that reports, or of its data centre.
    outcomes : Outcomes
        Its report.
    now : float
        Current time, seconds.

    Returns
    -------
    PooledHistory
        Of failures in one report at most one counts, so that no witness ejects alone.

    Examples
    --------
    >>> failed = Outcomes().add(1.0)
    >>> history = pool_outcomes(PooledHistory(), "a", failed, 0.0)
    >>> history = pool_outcomes(history, "a", failed, 0.1)
    >>> history.get_ejected_until_s(0.2)
    -inf
    >>> pool_outcomes(history, "b", failed, 0.2).get_ejected_until_s(0.2)
    1.1
    """
    failures = history.failures
    for _ in range(min(outcomes.successes, MAX_SUCCESSES)):
        failures = _ejection.record_success(failures)
    if outcomes.failures < 1:
        return attrs.evolve(history, failures=failures)
    weight = min(max(outcomes.weight / outcomes.failures, 0.0), 1.0)
    failed_s_by_witness = {
        name: failed_s
        for name, failed_s in history.failed_s_by_witness.items()
        if now - failed_s <= EVIDENCE_LIFETIME_S
    }
    return PooledHistory(
        _ejection.record_failure(failures, now, weight),
        {**failed_s_by_witness, witness: now},
    )


def choose_return_delay_s(host, boot_id):
    """Choose how long after the end of a pooled ejection a host tries an upstream.

    Load answered: all hosts learn of the end in the same moment, and the upstream may
    still fail.

    Parameters
    ----------
    host : str
        Name of the host.
    boot_id : str
        Boot ID of the upstream.

    Returns
    -------
    float
        Seconds, 0 to `RETURN_SPREAD_S`; below half of it for some 6 hosts in 100.

    Examples
    --------
    >>> delays_s = [choose_return_delay_s(f"h{n}", "i-1") for n in range(200)]
    >>> sum(delay_s < RETURN_SPREAD_S / 2 for delay_s in delays_s) < 25
    True
    """
    uniform = xxhash.xxh64_intdigest(f"{host}\0{boot_id}".encode()) / HASH_RANGE
    return RETURN_SPREAD_S * uniform**RETURN_EXPONENT


def choose_ejection_end_s(own_until_s, pooled_until_s, pooled_s, last_success_s):
    """Choose until when a host avoids an upstream.

    Parameters
    ----------
    own_until_s, pooled_until_s : float
        End of the ejection by its own requests, and by those of several hosts.
    pooled_s : float
        When the host was told of the latter.
    last_success_s : float
        When the upstream last answered the host itself.

    Returns
    -------
    float
        Seconds. Others do not count if the upstream answers the host itself.

    Examples
    --------
    >>> choose_ejection_end_s(3.0, 5.0, 2.0, last_success_s=1.0)
    5.0
    >>> choose_ejection_end_s(3.0, 5.0, 2.0, last_success_s=2.5)
    3.0
    """
    if last_success_s >= pooled_s - OWN_SUCCESS_LIFETIME_S:
        return own_until_s
    return max(own_until_s, pooled_until_s)
