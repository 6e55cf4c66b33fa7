"""State of one boot of an upstream as this host observes it."""

import attrs

from sycamorespoke import decisions

# Far longer than an upstream takes to stop, and than any copy of the list is old.
LEAVING_MEMORY_S = 600.0


@attrs.define
class UpstreamState:
    """Observed state of one boot of an upstream.

    Parameters
    ----------
    requests : int, default=0
        Requests of this host in flight at the upstream.
    work : float, default=0.0
        Estimated work of these requests, see `Chooser`.
    tokens : float, default=0.0
        Estimated tokens that these requests hold in the memory of an engine.
    failures : decisions.FailureHistory
        Recent failures.
    versions_by_model : dict of str to int
        Weight versions learned from responses and load reports, where newer than the
        registered ones.
    wait_estimate : decisions.WaitEstimate
        Estimated time for which requests with full priority wait for their first
        event.
    expected_s_by_request : dict of object to float
        When the first events of requests with full priority in flight are expected,
        seconds of the boot clock.
    full_until_s : float, default=-inf
        Time until which other upstreams are preferred because this one refused a
        request as full, seconds of the boot clock.
    rate_limit_per_s : float or None, default=None
        Requests per second that the upstream accepts from all hosts together, as its
        last response stated.
    backoff_until_s : float, default=-inf
        Time until which the upstream wants no requests from this host, seconds of
        the boot clock.
    last_success_s : float, default=-inf
        When a request of this host last succeeded, seconds of the boot clock.
    pooled_until_s : float, default=-inf
        End of an ejection by what several hosts have observed, seconds of the boot
        clock.
    pooled_s : float, default=-inf
        When this host was told of it, seconds of the boot clock.
    leaving_since_s : float or None, default=None
        When it was first known to be about to stop, seconds of the boot clock.
    """

    requests: int = 0
    work: float = 0.0
    tokens: float = 0.0
    failures: decisions.FailureHistory = attrs.field(factory=decisions.FailureHistory)
    versions_by_model: dict[str, int] = attrs.field(factory=dict)
    wait_estimate: decisions.WaitEstimate = attrs.field(factory=decisions.WaitEstimate)
    expected_s_by_request: dict[object, float] = attrs.field(factory=dict)
    full_until_s: float = float("-inf")
    rate_limit_per_s: float | None = None
    backoff_until_s: float = float("-inf")
    last_success_s: float = float("-inf")
    pooled_until_s: float = float("-inf")
    pooled_s: float = float("-inf")
    leaving_since_s: float | None = None

    @property
    def ejected_until_s(self):
        """End of the ejection, by this or several hosts, seconds of the boot clock."""
        return decisions.choose_ejection_end_s(
            self.failures.ejected_until_s,
            self.pooled_until_s,
            self.pooled_s,
            self.last_success_s,
        )

    @property
    def is_leaving(self):
        """Whether the upstream is about to stop."""
        return self.leaving_since_s is not None

    def has_left_recently(self, now):
        """Return whether the upstream began to stop `LEAVING_MEMORY_S` ago or later."""
        return self.is_leaving and now - self.leaving_since_s < LEAVING_MEMORY_S


def latest_weight_version(upstream, states_by_boot, model):
    """Return the latest known weight version that an upstream holds.

    Parameters
    ----------
    upstream : Upstream
        Registered upstream.
    states_by_boot : dict of str to UpstreamState
        Observed states by boot ID.
    model : str
        Name of the model.

    Returns
    -------
    int
        0 if unknown.
    """
    seen = states_by_boot[upstream.boot_id].versions_by_model.get(model, 0)
    return max(seen, upstream.versions_by_model.get(model, 0))
