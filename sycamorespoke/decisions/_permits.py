"""Permits by which entry hosts share the concurrency limit of a cold upstream.

The owner of an upstream's shard counts the permits that it grants. An expired
permit, which its holder no longer renews, may still cover a request that runs at
the upstream. It is counted as an orphan until a load report from after its expiry
shows otherwise.
"""

import attrs

PERMIT_LIFETIME_S = 3.0
REPORT_LAG_S = 2.0
PERMIT_RETRY_AFTER_S = 0.25


@attrs.frozen
class Grant:
    """A granted permit.

    Parameters
    ----------
    permit_id : str
        ID chosen by the requesting host.
    count : int
        Number of requests that it covers, 1 or more.
    expires_s : float
        Time at which it expires unless renewed, in monotonic seconds of the owner.
    """

    permit_id: str
    count: int
    expires_s: float


@attrs.frozen
class PermitLedger:
    """Immutable record of the permits of one upstream, kept by its owner.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    opens_s : float
        Time before which nothing is granted, as permits of a previous owner may
        still be valid, in monotonic seconds.
    grants_by_id : dict of str to Grant
        Permits that are counted, including expired ones.
    inherited : int or None, default=None
        Requests granted by a previous owner that may still be running; ``None``
        until the first load report.
    """

    upstream: str
    opens_s: float
    grants_by_id: dict[str, Grant] = attrs.field(factory=dict)
    inherited: int | None = None


@attrs.frozen
class PermitDecision:
    """The decision on a request for a permit.

    Parameters
    ----------
    ledger : PermitLedger
        Ledger after the decision.
    granted : int
        Number of requests granted, 0 for none.
    reason : str, default=""
        Why none was granted.
    """

    ledger: PermitLedger
    granted: int
    reason: str = ""


def open_ledger(upstream, acquired_s):
    """Create the ledger of an upstream for a new owner.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    acquired_s : float
        Time at which the lease of the shard was acquired, after the previous one
        had expired, in monotonic seconds.

    Returns
    -------
    PermitLedger
        Ledger that grants nothing until the last permit of the previous owner has
        expired.
    """
    return PermitLedger(upstream, acquired_s + PERMIT_LIFETIME_S)


def count_permitted_requests(ledger):
    """Count the requests that may be running at an upstream.

    Parameters
    ----------
    ledger : PermitLedger
        Current ledger.

    Returns
    -------
    int
        Requests of all counted permits plus the inherited ones.
    """
    granted = sum(grant.count for grant in ledger.grants_by_id.values())
    return granted + (ledger.inherited or 0)


def decide_permit(ledger, permit_id, count, budget, now):
    """Grant or renew a permit if the budget allows it.

    Parameters
    ----------
    ledger : PermitLedger
        Current ledger.
    permit_id : str
        ID chosen by the requesting host; a known ID renews that permit.
    count : int
        Number of requests wanted, 1 or more; fewer may be granted.
    budget : int
        Maximum number of concurrent requests at the upstream, 0 or more.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    PermitDecision
        Decision, with the updated ledger.
    """
    expires_s = now + PERMIT_LIFETIME_S
    existing = ledger.grants_by_id.get(permit_id)
    if existing is not None:
        if now > existing.expires_s:
            return PermitDecision(ledger, 0, "the permit has expired")
        return _record_grant(ledger, attrs.evolve(existing, expires_s=expires_s))
    if now < ledger.opens_s:
        return PermitDecision(
            ledger, 0, "permits of a previous owner may still be valid"
        )
    if ledger.inherited is None:
        return PermitDecision(ledger, 0, "no load report yet")
    granted = min(count, budget - count_permitted_requests(ledger))
    if granted <= 0:
        return PermitDecision(ledger, 0, "the budget is exhausted")
    return _record_grant(ledger, Grant(permit_id, granted, expires_s))


def return_permit(ledger, permit_id):
    """Remove a permit whose requests have ended.

    Parameters
    ----------
    ledger : PermitLedger
        Current ledger.
    permit_id : str
        ID of the permit.

    Returns
    -------
    PermitLedger
        Ledger without the permit.
    """
    grants_by_id = dict(ledger.grants_by_id)
    grants_by_id.pop(permit_id, None)
    return attrs.evolve(ledger, grants_by_id=grants_by_id)


def apply_load_report(ledger, running, requested_s):
    """Update a ledger with a load report.

    Parameters
    ----------
    ledger : PermitLedger
        Current ledger.
    running : int
        Number of requests running and queued at the upstream, as reported.
    requested_s : float
        Time at which the report was requested, in monotonic seconds.

    Returns
    -------
    PermitLedger
        Ledger in which expired permits cover no more requests than the report
        shows.
    """
    # The report lags: it is only certain to show a time after `as_of_s`.
    as_of_s = requested_s - REPORT_LAG_S
    if as_of_s < ledger.opens_s:
        return ledger
    inherited = running if ledger.inherited is None else ledger.inherited
    inherited = min(inherited, running)
    remaining = running - inherited
    kept_by_id = {}
    for permit_id, grant in ledger.grants_by_id.items():
        if grant.expires_s >= as_of_s:
            kept_by_id[permit_id] = grant
        elif remaining > 0:
            kept_by_id[permit_id] = attrs.evolve(
                grant, count=min(grant.count, remaining)
            )
            remaining -= kept_by_id[permit_id].count
    return attrs.evolve(ledger, grants_by_id=kept_by_id, inherited=inherited)


def is_permit_usable(requested_s, lifetime_s, now):
    """Return whether a host may still start a request under its permit.

    Parameters
    ----------
    requested_s : float
        Time at which the permit was requested, in monotonic seconds of that host.
    lifetime_s : float
        Lifetime returned by the owner, in seconds.
    now : float
        Current time, in monotonic seconds of that host.

    Returns
    -------
    bool
        Whether the lifetime, counted from the request for the permit, has not passed.
    """
    return now - requested_s < lifetime_s


def _record_grant(ledger, grant):
    grants_by_id = {**ledger.grants_by_id, grant.permit_id: grant}
    return PermitDecision(attrs.evolve(ledger, grants_by_id=grants_by_id), grant.count)
