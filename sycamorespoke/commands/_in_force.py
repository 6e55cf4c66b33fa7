"""Finds out which entry hosts have a revision in force."""

import concurrent.futures

import attrs

from sycamorespoke import clients, messages, world

QUERY_TIMEOUT_S = 1.0
MAX_WAIT_S = 14.0
POLL_DELAY_S = 0.25
MAX_CONCURRENT_QUERIES = 32


@attrs.frozen
class HostReport:
    """What one live entry host says, or why it says nothing.

    Parameters
    ----------
    host : world.Host
        The host.
    reply : messages.InForceReply or None
        Its answer.
    reason : str, default=""
        Why there is no answer.
    """

    host: world.Host
    reply: object
    reason: str = ""

    def has_revision(self, attribute, revision):
        """Return whether the host has at least a revision in force.

        Parameters
        ----------
        attribute : str
            ``"rules"`` or ``"service_state"``.
        revision : int
            The revision.

        Returns
        -------
        bool
            False without an answer.
        """
        return self.reply is not None and getattr(self.reply, attribute) >= revision


def query_hosts(context):
    """Ask each live entry host for the revisions that it has in force.

    Parameters
    ----------
    context : Context
        Platform, key and clock.

    Returns
    -------
    list of HostReport or clients.Unavailable
        Ordered by the names of the hosts.
    """
    hosts = list_hosts(context)
    if isinstance(hosts, clients.Unavailable):
        return hosts
    live = [
        host
        for host in hosts.select(world.HostRole.ENTRY)
        if host.state is world.HostState.LIVE
    ]
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_QUERIES) as pool:
        return list(pool.map(lambda host: _query_host(context, host), live))


def list_hosts(context):
    """Read the platform's list of hosts.

    Parameters
    ----------
    context : Context
        Holds the platform.

    Returns
    -------
    world.HostList or clients.Unavailable
        The list, which lags.
    """
    hosts = context.platform.watch_hosts(0, 0)
    if isinstance(hosts, clients.Unchanged | clients.Missing):
        return world.HostList()
    return hosts


def wait_until_in_force(
    context, attribute, revision, show_progress, timeout_s=MAX_WAIT_S
):
    """Wait until all live entry hosts have a revision in force.

    Parameters
    ----------
    context : Context
        Platform, key and clock.
    attribute : str
        ``"rules"`` or ``"service_state"``.
    revision : int
        The revision, or a later one, is waited for.
    show_progress : callable
        Takes the list of HostReport whenever it tells something new.
    timeout_s : float, default=14.0
        Longest wait, seconds, 0 to 600.

    Returns
    -------
    list of HostReport or clients.Unavailable
        The last state; all have the revision in force unless the time ran out.
    """
    deadline = context.clock.now() + timeout_s
    last_shown = None
    while True:
        reports = query_hosts(context)
        if not isinstance(reports, clients.Unavailable):
            has_revision_by_host = [
                report.has_revision(attribute, revision) for report in reports
            ]
            if has_revision_by_host != last_shown:
                show_progress(reports)
                last_shown = has_revision_by_host
            if all(has_revision_by_host):
                return reports
        if context.clock.now() >= deadline:
            return reports
        context.clock.sleep(POLL_DELAY_S)


def _query_host(context, host):
    if not host.peer_address:
        return HostReport(host, None, "the platform lists no peer address")
    request = messages.InForceRequest()
    reply = context.ask(host.peer_address, context.shared_key, request, QUERY_TIMEOUT_S)
    if isinstance(reply, messages.InForceReply):
        return HostReport(host, reply)
    return HostReport(host, None, getattr(reply, "reason", "another answer"))
