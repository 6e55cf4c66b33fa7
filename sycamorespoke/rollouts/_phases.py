"""Timetable of a rollout: when the service moves and when the rollout ends."""

import attrs

from sycamorespoke.rollouts import _orders

# Part of the allowed duration after which the service moves if every route was tried.
TRIAL_RATIO = 0.5
# It moves without some routes if there is only so much time left besides the move.
LATE_MOVE_S = 0.5
# Part of the allowed duration over which the requests move.
RAMP_RATIO = 0.25
MIN_RAMP_S = 2.5
# All requests have gone to the new version for so long before the old one ends.
SETTLE_S = 1.0
# The end is decided this long before the allowed duration is over.
MARGIN_RATIO = 0.06
MIN_MARGIN_S = 1.0


@attrs.frozen
class Facts:
    """What is known of a rollout.

    Parameters
    ----------
    age_s : float
        Age of the order, seconds.
    duration_s : float
        Allowed duration, seconds.
    moving_s : float or None
        For how long the service has been moving, seconds; ``None`` if it is not.
    is_bad : bool
        Whether the version was found to be bad.
    has_enough : bool
        Whether enough requests of each route were tried.
    has_some : bool
        Whether some requests were tried.
    is_drained : bool
        Whether no request runs at the old version any more, at any host.
    """

    age_s: float
    duration_s: float
    moving_s: float | None
    is_bad: bool
    has_enough: bool
    has_some: bool
    is_drained: bool


def compute_limit_s(duration_s):
    """Compute the age at which the end of a rollout is decided at the latest.

    Examples
    --------
    >>> compute_limit_s(10.0)
    9.0
    """
    return duration_s - max(MIN_MARGIN_S, MARGIN_RATIO * duration_s)


def compute_ramp_s(duration_s):
    """Compute over which time the requests move, seconds."""
    return max(MIN_RAMP_S, RAMP_RATIO * duration_s)


def compute_fraction(start, moving_s, duration_s):
    """Compute the fraction of requests for the new version while the service moves.

    Parameters
    ----------
    start : float
        Fraction at the begin, 0 to 1.
    moving_s : float
        For how long the service has been moving, seconds.
    duration_s : float
        Allowed duration of the rollout, seconds.

    Examples
    --------
    >>> compute_fraction(0.1, 1.25, 10.0)
    0.325
    >>> compute_fraction(0.1, 5.0, 10.0)
    1.0
    """
    progress = min(max(moving_s / compute_ramp_s(duration_s), 0.0), 1.0)
    # Slowly at first: what shows only under load is seen before most requests move.
    return start + (1.0 - start) * progress**2


def compute_moving_s(start, fraction, duration_s):
    """Compute for how long a service has been moving that has reached a fraction."""
    progress = (fraction - start) / (1.0 - start) if start < 1.0 else 1.0
    return min(max(progress, 0.0), 1.0) ** 0.5 * compute_ramp_s(duration_s)


def should_move(facts):
    """Decide whether a service begins to move to the new version."""
    if facts.is_bad or facts.moving_s is not None:
        return False
    if facts.age_s < TRIAL_RATIO * facts.duration_s:
        return False
    ramp_s = compute_ramp_s(facts.duration_s)
    latest_s = compute_limit_s(facts.duration_s) - ramp_s - LATE_MOVE_S
    return facts.has_enough or (facts.has_some and facts.age_s >= latest_s)


def decide_end(facts):
    """Decide whether a rollout ends.

    Returns
    -------
    RolloutState or None
        ``None`` if it goes on.
    """
    if facts.is_bad:
        return _orders.RolloutState.ROLLED_BACK
    is_over = facts.age_s >= compute_limit_s(facts.duration_s)
    ramp_s = compute_ramp_s(facts.duration_s)
    has_moved = facts.moving_s is not None and facts.moving_s >= ramp_s
    if has_moved:
        is_settled = facts.moving_s >= ramp_s + SETTLE_S and facts.is_drained
        return _orders.RolloutState.COMPLETED if is_settled or is_over else None
    return _orders.RolloutState.ROLLED_BACK if is_over else None
