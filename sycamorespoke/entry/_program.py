"""Builds the entry program from its settings and runs it until it is drained."""

import random
import signal
import threading
import time

import attrs
import loguru
import msgspec

from sycamorespoke import (
    admission,
    claims,
    clients,
    decisions,
    domain,
    membership,
    messages,
    relay,
    serving,
    settings,
    telemetry,
    transfers,
)
from sycamorespoke.entry import (
    _application,
    _blocks,
    _chooser,
    _completions,
    _crash_watch,
    _drain,
    _monitor,
    _permits,
    _services,
    _upstreams,
)

# Time for the load balancer to see /readyz fail before the listener closes.
LOAD_BALANCER_NOTICE_S = 1.0
UPDATE_INTERVAL_S = 0.2
MAX_CALLER_CONNECTIONS = 2000
EXIT_NOT_DRAINED = 3


class EntryProgram:
    """The collaborators of an entry host, and their start, updates and shutdown.

    Parameters
    ----------
    entry_settings : settings.EntrySettings
        Validated settings.
    """

    def __init__(self, entry_settings):
        self.settings = entry_settings
        self.metrics = telemetry.Metrics({"host": entry_settings.name})
        self.drain = _drain.DrainState()
        self.platform_client = clients.PlatformClient(entry_settings.platform)
        self.engine_client = clients.EngineClient(connections=entry_settings.threads)
        self.pump = relay.Pump()
        self.table = _upstreams.UpstreamTable()
        self.monitors = _monitor.MonitorSet(self.engine_client, self.table)
        self.claims = claims.Claims(
            self.platform_client,
            entry_settings.name,
            count_hosts=self._count_entry_hosts,
        )
        self.admission = admission.Admission(domain.Configuration())
        self._configuration = self.admission.configuration
        self._configuration_lock = threading.Lock()
        self.transfers = transfers.Transfers(entry_settings.data_centre)
        self.member = membership.Member.start(
            entry_settings.name,
            entry_settings.data_centre,
            self.platform_client,
            listen=entry_settings.peer_listen,
            shared_key=entry_settings.shared_key,
            seeds=entry_settings.seeds,
            in_flight=self.table.count_running_by_name,
            handle=self._handle_message,
            shards=lambda: self.permits.issuer.shards(),
        )
        self.permits = _permits.Permits(
            entry_settings,
            f"{entry_settings.name}:{self.member.boot_id}",
            self.platform_client,
            self._get_view,
            self.table,
        )
        self.crash_guard = _crash_watch.CrashGuard(
            entry_settings.name,
            self.platform_client,
            self.engine_client,
            self._get_view,
            self.metrics,
        )
        self.chooser = _chooser.Chooser(
            entry_settings.data_centre,
            self._get_view,
            self.table,
            _blocks.BlockPlanner(self.transfers, self.table),
            self.permits,
            random.Random(),
        )
        self.byte_budget = serving.ByteBudget(
            serving.compute_held_bytes(entry_settings.memory_mb)
        )
        self.server = serving.CallerServer(
            entry_settings.listen,
            self._make_application(),
            entry_settings.threads,
            MAX_CALLER_CONNECTIONS,
            serving.CallerLimits(),
            self.byte_budget,
        )

    def start(self):
        """Start all collaborators; callers are served once the view is confirmed."""
        operators_app = telemetry.make_operators_app(
            self.metrics, self._dump, self._get_in_force, self.drain.request_drain
        )
        telemetry.OperatorsServer(
            self.settings.operators_listen, operators_app, self.byte_budget
        ).start()
        self.pump.start()
        self.transfers.start()
        self.permits.start()
        self.crash_guard.start()
        self.server.start()
        loguru.logger.bind(listen=self.settings.listen).info("entry started")

    def run(self):
        """Run until a graceful shutdown has ended.

        Returns
        -------
        int
            Exit status: 0 if every request ended before the shutdown did, else 3.
        """
        self.step()
        while not self.drain.requested.wait(UPDATE_INTERVAL_S):
            self.step()
        return self.stop()

    def step(self):
        """Update once; log an exception instead of raising it."""
        try:
            self.update()
        except Exception:
            loguru.logger.exception("periodic update failed")

    def update(self):
        """Apply the current view to all collaborators."""
        view = self._get_view()
        self.monitors.update(view)
        self._set_upstreams(view)
        self._configure_transfers(view, time.monotonic())
        self.metrics.gauge("calls_running", self.drain.count_running())
        self._set_quarantine_gauges()

    def _set_quarantine_gauges(self):
        for kind in decisions.ContentKind:
            count = self.crash_guard.objects.crashes.count_quarantined(kind)
            self.metrics.gauge(f"quarantined_{kind.value}s", count)

    def apply_configuration(self, view):
        """Apply a configuration to admission before a request is admitted with it.

        Parameters
        ----------
        view : membership.View
            View that the request is served with.
        """
        if self._configuration is view.configuration:
            return
        with self._configuration_lock:
            # A concurrent request that read an older view may arrive here later.
            if view.configuration.revision <= self._configuration.revision:
                return
            self.admission.configure(view.configuration)
            self._set_upstreams(view)
            self._configuration = view.configuration

    def stop(self):
        """Shut down gracefully.

        Returns
        -------
        int
            Exit status: 0 if every request ended and every claim was written
            within ``drain_s``, else 3.
        """
        deadline_s = time.monotonic() + self.settings.drain_s
        loguru.logger.info("drain started")
        self.member.mark_leaving()
        time.sleep(LOAD_BALANCER_NOTICE_S)
        self.server.close_listener()
        idle = self._wait_idle(deadline_s)
        self.server.wait_closed(max(0.0, deadline_s - time.monotonic()))
        unrecorded = self.claims.flush(deadline_s)
        self.claims.stop()
        self.pump.stop()
        self.permits.stop()
        self.crash_guard.stop()
        self.transfers.close()
        self.monitors.stop()
        self.member.stop()
        drained = idle and not unrecorded
        loguru.logger.bind(drained=drained).info("drain ended")
        return 0 if drained else EXIT_NOT_DRAINED

    def _wait_idle(self, deadline_s):
        while not self.drain.wait_idle(UPDATE_INTERVAL_S):
            # Open connections may still send requests, which need current views.
            self.step()
            if time.monotonic() >= deadline_s:
                return False
        return True

    def _count_entry_hosts(self):
        entries = self._get_view().hosts.select(domain.HostRole.ENTRY)
        return max(len(entries), 1)

    def _select_alive_peers(self, view, now):
        entries = view.hosts.select(domain.HostRole.ENTRY)
        return [host for host in entries if decisions.is_alive(view, host.name, now)]

    def _set_upstreams(self, view):
        now = time.monotonic()
        if not decisions.is_ready(view, now):
            # Requests are refused with an unconfirmed view. The upstreams are kept, so
            # that their adapted concurrency limits are not lost.
            return
        entry_hosts = 1 + len(self._select_alive_peers(view, now))
        for name in self.admission.configuration.groups_by_name:
            hosts = self.chooser.select_eligible_hosts(name, now)
            names = [host.name for host in hosts]
            self.admission.set_upstreams(name, names, now, hosts=entry_hosts)

    def _configure_transfers(self, view, now):
        state = view.service_state
        stores = [
            host
            for host in view.hosts.select(domain.HostRole.STORE)
            if host.data_centre not in state.data_centres_out
            and host.name not in state.upstreams_out
        ]
        alive = self._select_alive_peers(view, now)
        self.transfers.configure(
            view.configuration.links_by_ends, stores, share=1 / (len(alive) + 1)
        )

    def _make_application(self):
        completions = _completions.CompletionHandler(
            self.engine_client,
            self.pump,
            self.chooser,
            self.table,
            self.admission,
            self.metrics,
            self.crash_guard,
        )
        services = _services.ServiceHandler(
            clients.ServiceClient(),
            self.claims,
            self.chooser,
            self.table,
            self.admission,
            self.metrics,
            self.crash_guard,
        )
        return _application.Application(
            self.settings.data_centre,
            self._get_view,
            self.apply_configuration,
            completions,
            services,
            self.drain,
            self.metrics,
        )

    def _get_view(self):
        return self.member.view

    def _get_in_force(self):
        return msgspec.structs.asdict(self.member.make_in_force_reply())

    def _handle_message(self, message):
        if isinstance(message, messages.DumpRequest):
            return messages.DumpReply(msgspec.to_builtins(self._dump(), enc_hook=str))
        if isinstance(message, messages.PermitRequest | messages.PermitReturn):
            return self.permits.handle_message(message)
        return None

    def _dump(self):
        now = time.monotonic()
        return {
            "in_force": self._get_in_force(),
            "draining": self.drain.is_draining,
            "calls_running": self.drain.count_running(),
            "upstreams": self.table.dump(),
            "admission": attrs.asdict(self.admission.stats(now)),
            "transfers": attrs.asdict(self.transfers.stats(now)),
            "shards_held": self.permits.issuer.shards(),
            "claims": attrs.asdict(self.claims.stats()),
            "quarantined": self.crash_guard.dump(),
        }


def main(arguments=None):
    """Run ``sycamorespoke-entry``.

    Parameters
    ----------
    arguments : list of str or None, default=None
        Command line without the program's name; ``None`` is the process's own.

    Returns
    -------
    int
        Exit status: 0 after a complete drain, 1 for invalid settings, 3 if
        requests were running or claims unwritten at the end of the drain time.
    """
    entry_settings = settings.read_command_line(
        "sycamorespoke-entry", settings.EntrySettings, arguments
    )
    if isinstance(entry_settings, settings.Exit):
        return entry_settings.status
    telemetry.configure_logging(entry_settings.name, entry_settings.log_level)
    program = EntryProgram(entry_settings)
    signal.signal(signal.SIGTERM, lambda *_: program.drain.request_drain())
    signal.signal(signal.SIGINT, lambda *_: program.drain.request_drain())
    program.start()
    return program.run()
