"""Queries the entry hosts for the revisions that they have in force."""

import concurrent.futures

import attrs

from sycamorespoke import clients, domain, messages

QUERY_TIMEOUT_S = 1.0
MAX_WAIT_S = 14.0
POLL_DELAY_S = 0.25
MAX_CONCURRENT_QUERIES = 32


@attrs.frozen
class HostReport:
    """Reply of one live entry host, or the reason why there is none.

    Parameters
    ----------
    host : domain.Host
        The entry host.
    reply : messages.InForceReply or None
        Reply of the host; None if there is none.
    reason : str, default=""
        Why there is no reply.
    """

    host: domain.Host
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
            False if there is no reply.
        """
        return self.reply is not None and getattr(self.reply, attribute) >= revision


def query_hosts(context):
    """Query each live entry host for the revisions that it has in force.

    Parameters
    ----------
    context : Context
        Platform, key and clock.

    Returns
    -------
    list of HostReport or clients.Unavailable
        Reports, ordered by the names of the hosts.
    """
    hosts = list_hosts(context)
    if isinstance(hosts, clients.Unavailable):
        return hosts
    live = [
        host
        for host in hosts.select(domain.HostRole.ENTRY)
        if host.state is domain.HostState.LIVE
    ]
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_QUERIES) as pool:
        return list(pool.map(lambda host: _query_host(context, host), live))


def list_hosts(context):
    """Return the platform's list of hosts.

    Parameters
    ----------
    context : Context
        Holds the platform.

    Returns
    -------
    domain.HostList or clients.Unavailable
        The list, which may be out of date.
    """
    hosts = context.platform.watch_hosts(0, 0)
    if isinstance(hosts, clients.Unchanged | clients.Missing):
        return domain.HostList()
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
        Revision; a later one is also accepted.
    show_progress : callable
        Called with the list of HostReport whenever the set of hosts that have the
        revision in force changes.
    timeout_s : float, default=14.0
        Longest wait, in seconds, 0 to 600.

    Returns
    -------
    list of HostReport or clients.Unavailable
        Last reports; all hosts have the revision in force unless the wait timed
        out.
    """
    deadline_s = context.clock.now() + timeout_s
    last_shown = None
    while True:
        reports = query_hosts(context)
        if not isinstance(reports, clients.Unavailable):
            in_force = [report.has_revision(attribute, revision) for report in reports]
            if in_force != last_shown:
                show_progress(reports)
                last_shown = in_force
            if all(in_force):
                return reports
        if context.clock.now() >= deadline_s:
            return reports
        context.clock.sleep(POLL_DELAY_S)


def _query_host(context, host):
    if not host.peer_address:
        return HostReport(host, None, "the platform lists no peer address")
    request = messages.InForceRequest()
    reply = context.send_request(
        host.peer_address, context.shared_key, request, QUERY_TIMEOUT_S
    )
    if isinstance(reply, messages.InForceReply):
        return HostReport(host, reply)
    return HostReport(host, None, getattr(reply, "reason", "unexpected reply"))
