"""Which upstreams a request may use while a software version is brought in."""

import attrs

from sycamorespoke.rollouts import _host_rollout, _orders, _share

# After a rollout has been completed, upstreams of other versions come second for so
# long. They have stopped by then; later ones belong to something newer.
COMPLETED_S = 10.0


@attrs.frozen
class PlannedRequest:
    """What counts of a request.

    Parameters
    ----------
    service : str
        Service that it goes to.
    route : str
        Name of its route.
    key : str
        Decides whether it goes to the new version while the service moves.
    is_retry : bool, default=False
        Whether it has been tried before.
    is_bound : bool, default=False
        Whether it continues a stream, so that its version is given.
    """

    service: str
    route: str
    key: str
    is_retry: bool = False
    is_bound: bool = False


@attrs.frozen
class Plan:
    """Upstreams that a request may use.

    Parameters
    ----------
    groups : tuple of list of Upstream
        Groups in order of preference.
    reserved_for : HostRollout or None, default=None
        Rollout of which the first group takes up one allowed request.
    """

    groups: tuple
    reserved_for: object = None


@attrs.frozen
class Situation:
    """What a plan depends on besides the rollout itself.

    Parameters
    ----------
    is_judged : bool
        Whether the holder of the task has replied lately.
    may_reserve : callable
        Reserves one request for the version on trial and returns whether that may be.
    share : float
        Allowed share of a version on trial, 0 to 1.
    """

    is_judged: bool
    may_reserve: object
    share: float


def make_plan(rollout, request, upstreams, situation, now):
    """Make the plan of one request.

    Without a judge, a version on trial gets no requests, also not for streams that it
    began.

    Parameters
    ----------
    rollout : HostRollout
        Latest rollout of the service.
    request : PlannedRequest
        The request.
    upstreams : list of Upstream
        Upstreams that may get it otherwise.
    situation : Situation
        What the plan depends on besides.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    Plan
        A version that was rolled back is in no group.
    """
    new = [each for each in upstreams if rollout.is_trial(each)]
    old = [each for each in upstreams if not rollout.is_trial(each)]
    if rollout.end is _orders.RolloutState.ROLLED_BACK:
        return Plan((old,))
    if rollout.end is _orders.RolloutState.COMPLETED:
        is_recent = now - rollout.ended_s <= COMPLETED_S
        return Plan((new, old) if is_recent else (upstreams,))
    if request.is_bound:
        may_go_on = situation.is_judged and not rollout.has_stopped
        return Plan((upstreams if may_go_on or rollout.is_moving else old,))
    if rollout.has_stopped or not new:
        return Plan((old,))
    if not situation.is_judged:
        # Once a service moves, its old upstreams may stop before this host hears it.
        return Plan((old, new) if rollout.is_moving else (old,))
    if rollout.is_moving:
        return _plan_move(rollout, request, new, old)
    if request.is_retry or not situation.may_reserve():
        return Plan((old,))
    subset = _share.select_subset(new, situation.share, rollout.key)
    return Plan((subset, old), rollout)


def _plan_move(rollout, request, new, old):
    if rollout.fraction >= 1.0:
        return Plan((new, old))
    is_chosen = _host_rollout.is_chosen_by_hash(request.key, rollout.fraction)
    if request.is_retry or not is_chosen:
        return Plan((old, new))
    return Plan((_share.select_subset(new, rollout.fraction, rollout.key), old))
