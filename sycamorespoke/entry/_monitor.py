"""Actors that poll load reports and cache events of model engines."""

import time

import pykka

from sycamorespoke import domain

POLL_INTERVAL_S = 0.25


class UpstreamMonitor(pykka.ThreadingActor):
    """Polls the load report and cache events of one engine.

    Parameters
    ----------
    host : domain.Host
        The engine.
    engine_client : clients.EngineClient
        Client of engines.
    table : UpstreamTable
        Table that the reports and events are recorded in.
    """

    use_daemon_thread = True

    def __init__(self, host, engine_client, table):
        super().__init__()
        self.host = host
        self.engine_client = engine_client
        self.table = table

    def on_start(self):
        """Start polling."""
        self.actor_ref.tell("poll")

    def on_receive(self, message):
        """Poll the engine and schedule the next poll."""
        self._poll(time.monotonic())
        time.sleep(POLL_INTERVAL_S)
        self.actor_ref.tell("poll")

    def _poll(self, now):
        name = self.host.name
        if now < self.table.get_backoff_until_s(name):
            return
        report = self.engine_client.read_load(self.host, now)
        if isinstance(report, domain.Refusal):
            self.table.record_broken_connection(name)
            self.table.record_refusal(name, report, now)
            return
        self.table.record_load_report(name, report)
        after = self.table.get_event_number(name)
        response = self.engine_client.read_cache_events(self.host, after)
        if isinstance(response, domain.Refusal):
            self.table.record_refusal(name, response, now)
            return
        self.table.apply_cache_events(name, response)


class MonitorSet:
    """Runs one monitor for each engine of the current host list.

    Parameters
    ----------
    engine_client : clients.EngineClient
        Client of engines.
    table : UpstreamTable
        Table that the reports and events are recorded in.
    """

    def __init__(self, engine_client, table):
        self.engine_client = engine_client
        self.table = table
        self._monitors_by_host = {}

    def update(self, view):
        """Start monitors for added engines and stop those of removed engines.

        Parameters
        ----------
        view : membership.View
            Current view.
        """
        wanted = set(_select_engines(view))
        for host in set(self._monitors_by_host) - wanted:
            self._monitors_by_host.pop(host).stop(block=False)
        for host in wanted - set(self._monitors_by_host):
            self._monitors_by_host[host] = UpstreamMonitor.start(
                host, self.engine_client, self.table
            )

    def stop(self):
        """Stop every monitor."""
        for monitor in self._monitors_by_host.values():
            monitor.stop(block=False)
        self._monitors_by_host.clear()


def _select_engines(view):
    groups_by_name = view.configuration.groups_by_name
    for host in view.hosts.select(domain.HostRole.UPSTREAM):
        group = groups_by_name.get(host.group)
        if group is not None and group.kind is domain.UpstreamKind.MODEL:
            yield host
