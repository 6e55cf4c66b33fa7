"""Rate limits for transfers over links that are shared with other processes."""

import attrs

from sycamorespoke import domain
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
    """The transfer budget of this process on a link shared with other processes.

    Parameters
    ----------
    link : domain.Link
        The link.
    share : float
        Share of the link's capacity that this process may always use, above 0, at
        most 1.
    urgent : ByteBucket
        Bucket for blocks that a request waits for.
    background : ByteBucket
        Bucket for blocks that no request waits for.
    active : int, default=0
        Transfers in progress, 0 or more.
    observed_s : float, default=0.0
        When the last transfer began or ended, seconds of the monotonic clock.
    busy_s : float, default=0.0
        Recent time with at least one transfer in progress, seconds.
    busy_bytes : float, default=0.0
        Bytes transferred in that time.
    adapted_s : float, default=-0.1
        When the rates were last decreased, seconds of the monotonic clock.
    """

    link: domain.Link
    share: float
    urgent: _byte_bucket.ByteBucket
    background: _byte_bucket.ByteBucket
    active: int = 0
    observed_s: float = 0.0
    busy_s: float = 0.0
    busy_bytes: float = 0.0
    adapted_s: float = -ADAPTATION_GAP_S


def make_link_budget(link, share, now):
    """Make the budget of a link with full buckets.

    Parameters
    ----------
    link : domain.Link
        The link.
    share : float
        Share of its capacity that this process may always use, above 0, at
        most 1.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    LinkBudget
        Urgent transfers start at the capacity of the link, background transfers at
        0.8 times the share.
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
    """Return whether a link has spare capacity for background transfers.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether neither bucket has a deficit.
    """
    buckets = (
        _byte_bucket.refill(budget.urgent, now),
        _byte_bucket.refill(budget.background, now),
    )
    return all(bucket.available_bytes >= 0 for bucket in buckets)


def begin_transfer(budget, now):
    """Record that a transfer begins.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    LinkBudget
        The budget.
    """
    budget = _add_busy_time(budget, now)
    return attrs.evolve(budget, active=budget.active + 1)


def end_transfer(budget, size_bytes, duration_s, now):
    """Record that a transfer has ended, and adapt the rates to its duration.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    size_bytes : int
        Bytes transferred; 0 if the transfer failed, which leaves the rates as they
        are.
    duration_s : float
        Duration of the transfer, seconds.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    LinkBudget
        The budget with its rates and its observed speed updated.

    Notes
    -----
    A transfer that took much longer than this process's own transfers explain
    indicates that other processes use the link too. The rates then decrease by a
    factor and otherwise increase by a fraction of their ceiling (additive increase,
    multiplicative decrease), so that processes which share a link converge to equal
    rates. The rate of urgent transfers never falls below the share, that of
    background transfers never below a fraction of it.
    """
    budget = _add_busy_time(budget, now)
    if size_bytes:
        budget = _adapt(budget, size_bytes, duration_s, now)
    budget = attrs.evolve(
        budget, active=budget.active - 1, busy_bytes=budget.busy_bytes + size_bytes
    )
    if budget.busy_s <= OBSERVATION_WINDOW_S:
        return budget
    # The weight of older transfers halves with each observation window.
    return attrs.evolve(
        budget, busy_s=budget.busy_s / 2, busy_bytes=budget.busy_bytes / 2
    )


def compute_observed_speed(budget, now):
    """Return the speed that recent transfers reached together.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    float
        Bytes per second. Without recent transfers this is the configured capacity,
        so that a link that has recovered is used again.
    """
    capacity = budget.link.bytes_per_s
    is_old = now - budget.observed_s > OBSERVATION_MAX_AGE_S
    if is_old or not budget.busy_bytes or not budget.busy_s:
        return capacity
    return min(capacity, budget.busy_bytes / budget.busy_s)


def estimate_transfer_s(budget, size_bytes, now):
    """Estimate how long bytes submitted to a link now take to arrive.

    Parameters
    ----------
    budget : LinkBudget
        The budget.
    size_bytes : int
        Bytes, 0 or more.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    float
        Seconds, including the wait for bytes reserved earlier. The observed speed
        applies if a link is slower than its configured capacity.
    """
    bucket, wait_s = _byte_bucket.reserve_bytes(budget.urgent, size_bytes, now)
    return wait_s + size_bytes / min(
        bucket.bytes_per_s, compute_observed_speed(budget, now)
    )


def _adapt(budget, size_bytes, duration_s, now):
    capacity = budget.link.bytes_per_s
    alone_s = OVERHEAD_S + 2 * budget.link.delay_s + size_bytes / capacity
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


def _add_busy_time(budget, now):
    busy_s = budget.busy_s
    if budget.active:
        busy_s += max(0.0, now - budget.observed_s)
    return attrs.evolve(budget, busy_s=busy_s, observed_s=now)
