"""Permits: how the entry hosts share what a cold upstream bears.

The owner of an upstream's shard counts its grants. A permit whose holder no
longer renews it may still have a request running at the upstream: it then counts
as an orphan until a load report that is later than its end shows otherwise.
"""

import attrs

PERMIT_LIFETIME_S = 3.0
REPORT_LAG_S = 2.0
PERMIT_RETRY_AFTER_S = 0.25


@attrs.frozen
class Grant:
    """A permit that was granted.

    Parameters
    ----------
    permit_id : str
        Made by the asker.
    count : int
        Requests that it covers, 1 or more.
    expires_s : float
        When it ends unless it is renewed, seconds of the owner's monotonic clock.
    """

    permit_id: str
    count: int
    expires_s: float


@attrs.frozen
class PermitLedger:
    """What an owner knows of the use of one upstream; each step makes a new one.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    opens_s : float
        Before this time nothing is granted, as permits of a former owner may
        still count; seconds of the monotonic clock.
    grants_by_id : dict of str to Grant
        Permits that count, ended ones included.
    inherited : int or None, default=None
        Requests that a former owner allowed and that may still run; ``None``
        until a load report tells.
    """

    upstream: str
    opens_s: float
    grants_by_id: dict[str, Grant] = attrs.field(factory=dict)
    inherited: int | None = None


@attrs.frozen
class PermitDecision:
    """The answer to a request for a permit.

    Parameters
    ----------
    ledger : PermitLedger
        The ledger after it.
    granted : int
        Requests granted, 0 for none.
    reason : str, default=""
        Why none is granted.
    """

    ledger: PermitLedger
    granted: int
    reason: str = ""


def open_ledger(upstream, acquired_s):
    """Open the ledger of an upstream for a new owner.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    acquired_s : float
        When the lease of the shard was acquired, which was after the former one
        had lapsed; seconds of the monotonic clock.

    Returns
    -------
    PermitLedger
        It opens when the last permit of the former owner has ended.
    """
    return PermitLedger(upstream, acquired_s + PERMIT_LIFETIME_S)


def count_permitted_requests(ledger):
    """Count the requests that may run at an upstream.

    Parameters
    ----------
    ledger : PermitLedger
        The ledger.

    Returns
    -------
    int
        Requests of all permits that count, and the inherited ones.
    """
    granted = sum(grant.count for grant in ledger.grants_by_id.values())
    return granted + (ledger.inherited or 0)


def decide_permit(ledger, permit_id, count, budget, now):
    """Grant or renew a permit if the budget allows it.

    Parameters
    ----------
    ledger : PermitLedger
        The ledger.
    permit_id : str
        Made by the asker; the same id is the same permit.
    count : int
        Requests wanted, 1 or more; fewer may be granted.
    budget : int
        Requests that the upstream bears at once, 0 or more.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    PermitDecision
        The answer.
    """
    expires_s = now + PERMIT_LIFETIME_S
    known = ledger.grants_by_id.get(permit_id)
    if known is not None:
        if now > known.expires_s:
            return PermitDecision(ledger, 0, "the permit has ended")
        return _grant(ledger, attrs.evolve(known, expires_s=expires_s))
    if now < ledger.opens_s:
        return PermitDecision(ledger, 0, "permits of a former owner may count")
    if ledger.inherited is None:
        return PermitDecision(ledger, 0, "no load report yet")
    granted = min(count, budget - count_permitted_requests(ledger))
    if granted <= 0:
        return PermitDecision(ledger, 0, "the budget is used")
    return _grant(ledger, Grant(permit_id, granted, expires_s))


def return_permit(ledger, permit_id):
    """Take a permit back; its requests have ended.

    Parameters
    ----------
    ledger : PermitLedger
        The ledger.
    permit_id : str
        Id of the permit.

    Returns
    -------
    PermitLedger
        The ledger without it.
    """
    grants_by_id = dict(ledger.grants_by_id)
    grants_by_id.pop(permit_id, None)
    return attrs.evolve(ledger, grants_by_id=grants_by_id)


def apply_load_report(ledger, running, asked_s):
    """Take a load report into account.

    Parameters
    ----------
    ledger : PermitLedger
        The ledger.
    running : int
        Requests running and queued at the upstream, as reported.
    asked_s : float
        When the report was asked for, seconds of the monotonic clock.

    Returns
    -------
    PermitLedger
        No more ended permits count in it than the report shows requests.
    """
    # The report lags: it tells of a time after `as_of_s` only.
    as_of_s = asked_s - REPORT_LAG_S
    if as_of_s < ledger.opens_s:
        return ledger
    inherited = running if ledger.inherited is None else ledger.inherited
    inherited = min(inherited, running)
    left = running - inherited
    kept_by_id = {}
    for permit_id, grant in ledger.grants_by_id.items():
        if grant.expires_s >= as_of_s:
            kept_by_id[permit_id] = grant
        elif left > 0:
            kept_by_id[permit_id] = attrs.evolve(grant, count=min(grant.count, left))
            left -= kept_by_id[permit_id].count
    return attrs.evolve(ledger, grants_by_id=kept_by_id, inherited=inherited)


def is_permit_usable(asked_s, lifetime_s, now):
    """Decide whether the asker may still start a request under a permit.

    Parameters
    ----------
    asked_s : float
        When the permit was asked for, seconds of the asker's monotonic clock.
    lifetime_s : float
        As the owner answered, seconds.
    now : float
        Present time, seconds of the asker's monotonic clock.

    Returns
    -------
    bool
        Its lifetime, counted from the asking, has not passed.
    """
    return now - asked_s < lifetime_s


def _grant(ledger, grant):
    grants_by_id = {**ledger.grants_by_id, grant.permit_id: grant}
    return PermitDecision(attrs.evolve(ledger, grants_by_id=grants_by_id), grant.count)
