"""All checks of a run of the soak, on what its deployment and callers observed."""

from tests.soak import (
    configuration_guarantees,
    configurations,
    guarantees,
    host_entry_guarantees,
    hosts,
    isolation_guarantees,
    order_guarantees,
    weight_guarantees,
)


def check(deployment, outcomes, after):
    """Check all guarantees of a run; this ends the hosts.

    Requests that a host has abandoned may still reach an upstream, so this is called
    at the end of the run.

    Parameters
    ----------
    deployment : gateway_deployment.GatewayDeployment
        Deployment of the run.
    outcomes : list of callers.Outcome
        Outcomes of the requests during the faults.
    after : list of callers.Outcome
        Outcomes of the requests after the faults.

    Returns
    -------
    list of str
        One line for each violated guarantee.
    """
    runs = deployment.log.list()
    violations = guarantees.check(outcomes + after, runs)
    # The contracts on what upstreams say bind the host that sends.
    sent = guarantees.name_senders(outcomes, _end_hosts(deployment))
    violations += guarantees.check_leaving(
        sent, runs, {each.name: each.signalled_s for each in deployment.hosts}
    )
    violations += guarantees.check_versions(outcomes)
    violations += guarantees.check_backoff(
        sent,
        runs,
        deployment.log.list_refusals(),
        {each.name: each.signalled_s + each.cut_s for each in deployment.hosts},
        deployment.list_link_faults_by_id(),
    )
    violations += weight_guarantees.check_begins(
        sent, runs, deployment.acked_s_by_version, _list_disturbances(deployment)
    )
    violations += weight_guarantees.check_engines(
        {each.id: each.weights.version for each in deployment.engines},
        deployment.get_weight_version(),
    )
    violations += isolation_guarantees.check_scopes(
        runs, configurations.ISOLATED_ACCOUNT, deployment.is_isolated
    )
    violations += guarantees.check_memory(
        {each.name: each.peaks_mb for each in deployment.hosts},
        hosts.MEMORY_MB,
    )
    violations += guarantees.check_fatal(deployment.ended_s)
    violations += guarantees.check_recovery(after)
    return violations + _check_store_returns(deployment)


def _check_store_returns(deployment):
    """Check what must hold although the store comes back from an older copy."""
    disturbances = _list_disturbances(deployment)
    orders = deployment.log.list_orders()
    probed = deployment.list_probes()
    return [
        *order_guarantees.check_fences(orders),
        *order_guarantees.check_turns(orders, disturbances.processes_s_by_host),
        *configuration_guarantees.check_added_routes(
            probed, deployment.acks, deployment.store_returns.returns, disturbances
        ),
        *configuration_guarantees.check_versions_kept(probed),
        *host_entry_guarantees.check_entries(
            deployment.store_returns.returns,
            deployment.copies.host_lists,
            {each.name for each in deployment.hosts},
            disturbances,
        ),
    ]


def _list_disturbances(deployment):
    return weight_guarantees.Disturbances(
        {each.name: each.signalled_s + each.started_s for each in deployment.hosts},
        {each.name: each.cut_s + each.store_cut_s for each in deployment.hosts},
        deployment.store_disturbed_s,
        deployment.list_link_faults_by_id(),
    )


def _end_hosts(deployment):
    """End all hosts; return which host sent each request that was forwarded."""
    for host in deployment.hosts:
        host.end()
    return deployment.list_senders_by_request()
