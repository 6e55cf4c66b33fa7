"""Counts of the registered upstreams by state, for operators."""

from sycamorespoke import decisions
from sycamorespoke.gateway import _upstream_gate

DRAINING = decisions.Obstacle.LEAVING.value
EJECTED = decisions.Obstacle.EJECTED.value
LOADING = decisions.Obstacle.LOADING.value
FULL = decisions.Obstacle.FULL.value
COLD = "cold"
READY = "ready"
STATES = (*(obstacle.value for obstacle in decisions.Obstacle), COLD, READY)


def count_states(table, view, now):
    """Count the registered upstreams by service and state.

    Parameters
    ----------
    table : UpstreamTable
        Observed state of the upstreams.
    view : View
        View that lists the upstreams.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    dict of (str, str) to int
        Counts by service and state, one of `STATES`, including counts of 0.
    """
    upstreams = (view.upstreams_by_id or {}).values()
    states_by_boot = table.read(upstreams)
    counts = {
        (upstream.service, state): 0 for upstream in upstreams for state in STATES
    }
    for upstream in upstreams:
        state = _classify(upstream, states_by_boot[upstream.boot_id], view, now)
        counts[upstream.service, state] += 1
    return counts


def _classify(upstream, state, view, now):
    """Return the state that most restricts the use of an upstream."""
    obstacle = _upstream_gate.assess(view, upstream, state, now).strongest
    if obstacle not in (None, decisions.Obstacle.FULL):
        return obstacle.value
    if upstream.is_cold(now):
        return COLD
    return READY if obstacle is None else FULL
