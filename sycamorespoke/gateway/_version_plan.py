"""Which software versions a request may use, as the chooser asks the rollouts."""

from sycamorespoke import rollouts
from sycamorespoke.gateway import _candidates


def make(known, planned, view, upstreams, reasons, now):
    """Make the plan of a request.

    Parameters
    ----------
    known : rollouts.Rollouts or None
        Rollouts of software versions; ``None`` if they are not followed.
    planned : rollouts.PlannedRequest
        What counts of the request.
    view : View
        Current view of the deployment.
    upstreams : list of Upstream
        Upstreams that may get the request otherwise.
    reasons : collections.Counter
        Counts why upstreams are not chosen.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    rollouts.Plan
        Groups of upstreams by preference.
    """
    if known is None:
        return rollouts.Plan((upstreams,))
    plan = known.plan(
        planned, upstreams, view.hosts_by_name, view.rollouts_confirmed_s, now
    )
    if len(plan.groups[0]) < len(upstreams):
        allowed_ids = {each.boot_id for group in plan.groups for each in group}
        barred = sum(each.boot_id not in allowed_ids for each in upstreams)
        reasons.update({_candidates.VERSION_BARRED: barred} if barred else {})
    return plan


def settle(known, plan, upstream):
    """Take back what a plan reserved unless the upstream that was chosen uses it."""
    if plan.reserved_for is None:
        return
    if upstream is None or not plan.reserved_for.is_trial(upstream):
        known.cancel_reservation(plan)
