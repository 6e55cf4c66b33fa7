"""What may be sent over limited links that others use too."""

import attrs

from sycamorespoke import world
from sycamorespoke.decisions import _byte_bucket

OBSERVATION_WINDOW_S = 2.0
OBSERVATION_MAX_AGE_S = 30.0
OVERHEAD_S = 0.01
CONGESTED_SLOWDOWN = 2.0
ADAPTATION_GAP_S = 0.1
DECREASE_FACTOR = 0.7
INCREASE_SHARE = 0.02
BACKGROUND_FLOOR = 0.125
BACKGROUND_CEILING = 0.8


@attrs.frozen
class LinkBudget:
    """What this process may send over a link that others use too.

    Parameters
    ----------
    link : world.Link
        The link.
    share : float
        Share of its capacity that this process may always use, above 0, at
        most 1.
    urgent : ByteBucket
        For blocks that a request waits for.
    background : ByteBucket
        For blocks that can wait.
    active : int, default=0
        Transfers that are going on, 0 or more.
    observed_s : float, default=0.0
        When the last transfer began or ended.
    busy_s : float, default=0.0
        Recent time in which there was a transfer, seconds.
    busy_bytes : float, default=0.0
        Bytes moved in that time.
    adapted_s : float, default=0.0
        When the rates were last decreased.
    """

    link: world.Link
    share: float
    urgent: _byte_bucket.ByteBucket
    background: _byte_bucket.ByteBucket
    active: int = 0
    observed_s: float = 0.0
    busy_s: float = 0.0
    busy_bytes: float = 0.0
    adapted_s: float = -ADAPTATION_GAP_S


def make_link_budget(link, share, now):
    """Make the budget of a link, full.

    Parameters
    ----------
    link : world.Link
        The link.
    share : float
        Share of its capacity that this process may always use, above 0, at
        most 1.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    LinkBudget
        Urgent transfers begin with the whole capacity, those in the background
        with the share.
    """
    return LinkBudget(
        link,
        share,
        _byte_bucket.make_byte_bucket(link.bytes_per_s, now),
        _byte_bucket.make_byte_bucket(
            link.bytes_per_s * share * BACKGROUND_CEILING, now
        ),
    )


def has_spare_capacity(budget, now):
    """Decide whether a link has room for work that can wait.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        Neither pace owes bytes.
    """
    buckets = (
        _byte_bucket.refill(budget.urgent, now),
        _byte_bucket.refill(budget.background, now),
    )
    return all(bucket.available_bytes >= 0 for bucket in buckets)


def begin_transfer(budget, now):
    """Note that a transfer begins.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    LinkBudget
        The budget.
    """
    budget = _pass_busy_time(budget, now)
    return attrs.evolve(budget, active=budget.active + 1)


def end_transfer(budget, size, duration_s, now):
    """Note that a transfer has ended, and adapt the rates to how it went.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    size : int
        Bytes moved, 0 when it failed.
    duration_s : float
        Time that it took, seconds.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    LinkBudget
        The budget, which knows the speed of all transfers together.

    Notes
    -----
    A transfer that took much longer than this process's own transfers explain
    shares the link with those of others. The rates decrease by a factor then
    and otherwise increase by a part of the capacity, so that processes which
    share a link come to share it alike. Urgent transfers keep the share at
    least, those in the background a fraction of it.
    """
    budget = _pass_busy_time(budget, now)
    if size:
        budget = _adapt(budget, size, duration_s, now)
    budget = attrs.evolve(
        budget, active=budget.active - 1, busy_bytes=budget.busy_bytes + size
    )
    if budget.busy_s <= OBSERVATION_WINDOW_S:
        return budget
    # Older transfers count half as much with each window that passes.
    return attrs.evolve(
        budget, busy_s=budget.busy_s / 2, busy_bytes=budget.busy_bytes / 2
    )


def compute_observed_speed(budget, now):
    """Return the speed that transfers reached lately.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    float
        Bytes per second; the speed that the rules say when there was no
        transfer lately, so that a link that has recovered is used again.
    """
    capacity = budget.link.bytes_per_s
    is_old = now - budget.observed_s > OBSERVATION_MAX_AGE_S
    if is_old or not budget.busy_bytes or not budget.busy_s:
        return capacity
    return min(capacity, budget.busy_bytes / budget.busy_s)


def estimate_transfer_s(budget, size, now):
    """Estimate when bytes handed to a link now would have arrived.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    size : int
        Bytes, 0 or more.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    float
        Seconds, with the wait for bytes promised earlier. A link that is
        slower than its rule says counts with the speed it showed.
    """
    bucket, owed_s = _byte_bucket.reserve_bytes(budget.urgent, size, now)
    return owed_s + size / min(bucket.bytes_per_s, compute_observed_speed(budget, now))


def _adapt(budget, size, duration_s, now):
    capacity = budget.link.bytes_per_s
    alone_s = OVERHEAD_S + 2 * budget.link.delay_s + size / capacity
    is_congested = duration_s > CONGESTED_SLOWDOWN * alone_s * budget.active
    if is_congested and now - budget.adapted_s < ADAPTATION_GAP_S:
        return budget
    floor = capacity * budget.share
    return attrs.evolve(
        budget,
        urgent=_change_rate(budget.urgent, is_congested, floor, capacity),
        background=_change_rate(
            budget.background,
            is_congested,
            floor * BACKGROUND_FLOOR,
            capacity * BACKGROUND_CEILING,
        ),
        adapted_s=now if is_congested else budget.adapted_s,
    )


def _change_rate(bucket, is_congested, floor, ceiling):
    if is_congested:
        rate = bucket.bytes_per_s * DECREASE_FACTOR
    else:
        rate = bucket.bytes_per_s + INCREASE_SHARE * ceiling
    return attrs.evolve(bucket, bytes_per_s=min(ceiling, max(floor, rate)))


def _pass_busy_time(budget, now):
    busy_s = budget.busy_s
    if budget.active:
        busy_s += max(0.0, now - budget.observed_s)
    return attrs.evolve(budget, busy_s=busy_s, observed_s=now)
