"""Weight versions of the engines, and how long engines have been outdated."""

from sycamorespoke import decisions
from sycamorespoke.gateway import _upstream_state


def list_engine_versions(view, table, gate, now):
    """Return the weight versions of the engines that may get orders.

    Parameters
    ----------
    view : View
        Current view of the deployment.
    table : UpstreamTable
        States of the upstreams, among them their weight versions.
    gate : UpstreamGate
        Says which upstreams leave.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    list of decisions.EngineVersion
        One entry for each engine and model.
    """
    upstreams = [
        upstream
        for upstream in (view.upstreams_by_id or {}).values()
        if upstream.versions_by_model
        and gate.find_bar(upstream, now, decisions.Purpose.ORDER)
        is not decisions.Obstacle.LEAVING
    ]
    states_by_boot = table.read(upstreams)
    return [
        decisions.EngineVersion(
            upstream.boot_id,
            model,
            _upstream_state.latest_weight_version(upstream, states_by_boot, model),
        )
        for upstream in upstreams
        for model in upstream.versions_by_model
    ]


def compute_pending_s(targets_by_model, engines, now):
    """Compute for how long the oldest target version has not been in place.

    Parameters
    ----------
    targets_by_model : dict of str to TargetVersion
        Target versions.
    engines : list of decisions.EngineVersion
        Weight versions of the engines.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    float
        Seconds since a host saw the first target that some engine does not have; 0 if
        all engines have theirs.
    """
    pending_s = 0.0
    for engine in engines:
        target = targets_by_model.get(engine.model)
        replacement = target and target.find_replacement(engine.version)
        if replacement is None:
            continue
        seen_s = min(replacement.named.seen_s, target.seen_s)
        pending_s = max(pending_s, now - seen_s)
    return pending_s
