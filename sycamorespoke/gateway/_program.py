"""Builds a gateway from its settings and runs it until a graceful shutdown ends."""

import threading

import loguru

from sycamorespoke import objects, quarantine, retries, rollouts, serving, telemetry
from sycamorespoke.gateway import (
    _blocks,
    _chooser,
    _connections,
    _forwarded,
    _forwarding,
    _gateway,
    _host_tasks,
    _listed_versions,
    _model,
    _origin_directory,
    _peer_loads,
    _peer_reach,
    _peering,
    _program_state,
    _reachability,
    _readiness,
    _request_metrics,
    _rollout_states,
    _shutdown,
    _software_versions,
    _stored_origins,
    _stream_versions,
    _suspension,
    _table,
    _version_grace,
    _view_updater,
    _views,
)

UPDATE_INTERVAL_S = 0.25
MS_PER_S = 1000.0
THREADS = 96
# File descriptors for the store, logs, listeners and files.
RESERVED_FILES = 300
# Share of the other file descriptors for callers; the rest is for upstreams.
CALLER_FILES_SHARE = 0.5
# Share for requests that other hosts forward.
FORWARDED_FILES_SHARE = 0.1
# The load balancer probes once a second and takes a host out after two failures.
LOAD_BALANCER_NOTICE_S = 2.3
# The process exits this long before it would be killed.
EXIT_MARGIN_S = 0.5
EXIT_DRAINED = 0
EXIT_NOT_DRAINED = 3


class GatewayProgram:
    """The process of one gateway host: its servers, actors and connections.

    Parameters
    ----------
    gateway_settings : settings.GatewaySettings
        Validated settings.
    deployment : Deployment
        Clients of the platform.
    """

    def __init__(self, gateway_settings, deployment):
        serving.limit_arenas()
        self.settings = gateway_settings
        self.deployment = deployment
        self.state = _program_state.ProgramState(self)
        self.metrics = telemetry.Metrics(
            {"host": gateway_settings.name}, self.state.refresh_gauges
        )
        self.views = _views.Views(deployment.source.history)
        self.table = _table.UpstreamTable(
            gateway_settings.name, gateway_settings.data_centre
        )
        self.loads = _peer_loads.PeerLoads()
        self.pool = _connections.ConnectionPool()
        self.block_planner = _blocks.BlockPlanner(deployment.block_stores)
        self.suspension = _suspension.SuspensionMonitor(serving.read_clock)
        self.source = objects.SharedSource(
            objects.DirectReads(
                deployment.source, serving.read_clock, self.suspension.find_arrival_s
            ),
            frozenset({deployment.kinds.configuration.name}),
            serving.read_clock,
            deployment.source.history,
        )
        self.reachability = _reachability.Reachability(self.views)
        self.crash_monitor = quarantine.CrashMonitor(
            self.views.is_registered,
            self._count_upstream_end,
            self.reachability.is_running,
        )
        self.quarantine = quarantine.Quarantine(
            gateway_settings.name,
            self.views,
            self.crash_monitor,
            deployment.crash_records,
            deployment.source.history,
        )
        self.directory = _origin_directory.OriginDirectory(
            gateway_settings.name, self.views
        )
        self.software_versions = _software_versions.SoftwareVersions()
        self.stored_origins = _stored_origins.StoredOrigins(
            gateway_settings.name,
            self.views,
            self.directory.origins,
            self.software_versions,
            deployment.stream_records,
            deployment.source.history,
        )
        self.directory.use_store(self.stored_origins)
        self.host = _model.Host(
            gateway_settings.name,
            gateway_settings.data_centre,
            f"{gateway_settings.peer_ip}:{gateway_settings.peer_port}",
        )
        self.forwarding = self._make_forwarding()
        self.stop_requested = threading.Event()
        self.shutdown = _shutdown.Shutdown()
        self.byte_budget = serving.ByteBudget(
            serving.compute_held_bytes(gateway_settings.memory_mb)
        )
        self._limits = serving.CallerLimits()
        self._usable_files = max(gateway_settings.files - RESERVED_FILES, 64)
        self.rollout_limits = rollouts.Limits(
            gateway_settings.canary_share,
            gateway_settings.canary_slack,
            gateway_settings.rollback_ms / MS_PER_S,
        )
        self.rollouts = None
        if gateway_settings.canary_share > 0:
            self.rollouts = rollouts.Rollouts(
                gateway_settings.name, self.rollout_limits, deployment.source.history
            )
        self.gateway = self._make_gateway()
        self.server = serving.CallerServer(
            gateway_settings.listen,
            self.gateway,
            THREADS,
            int(self._usable_files * CALLER_FILES_SHARE),
            self._limits,
            self.byte_budget,
        )
        self.forwarded = _forwarded.ForwardedApplication(
            self.gateway, self.forwarding, self.metrics
        )
        self.forwarded_server = _forwarded.make_server(
            f"{gateway_settings.peer_ip}:{gateway_settings.forward_port}",
            self.forwarded,
            int(self._usable_files * FORWARDED_FILES_SHARE),
            self._limits,
            self.byte_budget,
        )
        self.tasks = _host_tasks.HostTasks(
            gateway_settings,
            deployment,
            self.views,
            self.table,
            self.block_planner,
            self.rollouts,
        )
        self.peering = self._make_peering()
        self.view_updater = self._make_view_updater()

    def start(self):
        """Start the servers; callers are served once the view is complete."""
        operators_app = telemetry.make_operators_app(
            self.metrics,
            self.state.dump,
            self.state.get_in_force,
            self.stop_requested.set,
        )
        telemetry.OperatorsServer(
            self.settings.operators_listen, operators_app, self.byte_budget
        ).start()
        readiness_app = _readiness.make_readiness_app(
            self.deployment.ready_path, self.is_ready
        )
        telemetry.OperatorsServer(
            self.settings.ready_listen, readiness_app, self.byte_budget, "ready"
        ).start()
        self.suspension.start()
        self.gateway.version_grace.start()
        self.gateway.overdue.start()
        self.view_updater.start(self.peering.wait_for_hosts)
        self.server.start()
        self.forwarded_server.start()
        self.peering.join(self.stop_requested)
        self.quarantine.start(self.stop_requested)
        self.stored_origins.start(self.stop_requested)
        loguru.logger.bind(listen=self.settings.listen).info("gateway started")

    def is_ready(self):
        """Return whether the host accepts new callers."""
        return self.views.get().is_complete and not self.stop_requested.is_set()

    def run(self):
        """Run until a graceful shutdown has ended.

        Returns
        -------
        int
            Exit status: 0 if every request ended before the shutdown did.
        """
        while not self.stop_requested.wait(UPDATE_INTERVAL_S):
            self.step()
        return self.stop()

    def step(self):
        """Update once; log an exception instead of raising it."""
        try:
            self.update(serving.read_clock())
        except Exception:
            loguru.logger.exception("periodic update failed")

    def update(self, now):
        """Apply the current view to all collaborators.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        """
        view = self.views.get()
        self.tasks.tick(now)
        boot_ids = view.list_boot_ids()
        self.pool.retain(boot_ids, now)
        self.forwarding.pool.retain(self.forwarding.peers.list_addresses(), now)
        self.table.retain(boot_ids, now)
        self.gateway.contacts.retain(boot_ids)
        self.gateway.contacts.log_changes(now)
        self.gateway.budgets.record_hosts(max(len(view.hosts), 1), now)
        self.gateway.chooser.rate_limiter.retain(boot_ids)
        self.peering.update_plan(view)
        self.directory.retain()
        self.block_planner.forget_old_exports(now)
        if view.configuration and view.configuration.limits != self._limits:
            self._limits = view.configuration.limits
            self.server.set_limits(self._limits)
            self.forwarded_server.set_limits(_forwarded.scale_limits(self._limits))
        if view.configuration:
            services = view.configuration.services_by_name
            self.gateway.chooser.placer.paces.retain(services)

    def stop(self):
        """Shut down gracefully.

        Returns
        -------
        int
            Exit status: 0 if every request ended within the grace period.
        """
        begun_s = serving.read_clock()
        deadline_s = begun_s + self.settings.grace_s - EXIT_MARGIN_S
        loguru.logger.info("shutdown started")
        self.shutdown.begin(begun_s, deadline_s)
        self.server.close_connections_after_responses()
        self.forwarded.address = ""
        self.forwarded_server.close_connections_after_responses()
        self.tasks.start_stop(deadline_s)
        self.peering.leave()
        self._wait_until(begun_s + LOAD_BALANCER_NOTICE_S)
        self.server.close_listener()
        self.forwarded_server.close_listener()
        drained = self._wait_closed(self.shutdown.answers_s)
        if not drained:
            ended = self.shutdown.end_requests()
            drained = self._wait_closed(deadline_s) and not ended
        self.tasks.finish_stop(deadline_s)
        duration_s = round(serving.read_clock() - begun_s, 3)
        loguru.logger.bind(drained=drained, duration_s=duration_s).info(
            "shutdown ended"
        )
        return EXIT_DRAINED if drained else EXIT_NOT_DRAINED

    def _count_upstream_end(self, service):
        self.metrics.count("upstream_ends", service=service)

    def _wait_closed(self, until_s):
        """Wait until no caller is connected; return whether none is in time."""
        return all(
            server.wait_closed(max(until_s - serving.read_clock(), 0.0))
            for server in (self.server, self.forwarded_server)
        )

    def _wait_until(self, until_s):
        event = threading.Event()
        event.wait(max(until_s - serving.read_clock(), 0.0))

    def _make_gateway(self):
        settings = self.settings
        return _gateway.Gateway(
            protocol=self.deployment.protocol,
            views=self.views,
            chooser=_chooser.Chooser(
                settings.name,
                settings.data_centre,
                self.table,
                self._make_limits(),
                self.loads,
                shared_load_hosts=settings.shared_load_hosts,
                known_rollouts=self.rollouts,
            ),
            table=self.table,
            pool=self.pool,
            block_planner=self.block_planner,
            crash_monitor=self.crash_monitor,
            stream_versions=_stream_versions.StreamVersions(
                self.directory,
                self.software_versions,
                self.views,
                self.metrics,
                _listed_versions.ListedVersions(
                    self.deployment.source,
                    self.deployment.kinds.upstreams,
                    serving.read_clock,
                ),
            ),
            reachability=self.reachability,
            forwarding=self.forwarding,
            version_grace=_version_grace.VersionGrace(
                self.views, self.table, settings.version_ms / MS_PER_S
            ),
            overdue=retries.OverdueWatch(),
            budgets=retries.RetryBudgets(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            ),
            request_metrics=_request_metrics.RequestMetrics(self.metrics),
            byte_budget=self.byte_budget,
            shutdown=self.shutdown,
            read_clock=serving.read_clock,
            rollouts=self.rollouts,
        )

    def _make_forwarding(self):
        return _forwarding.Forwarding(
            self.settings.name,
            self.deployment.protocol,
            self.reachability,
            _peer_reach.PeerReach(self.host, self.views),
            _connections.ConnectionPool(),
            self.metrics,
        )

    def _make_limits(self):
        return _chooser.UpstreamLimits(
            self.settings.cold_tolerated,
            self.settings.cold_slack,
            self.settings.version_ms / MS_PER_S,
        )

    def _make_peering(self):
        return _peering.Peering(
            self.host,
            self.deployment.registry,
            self.views,
            self.source,
            self.block_planner,
            self.loads,
            self.table,
            self.directory,
            self.forwarding,
            self.forwarded,
            self.reachability,
            self.gateway.chooser.placer.is_load_shared,
            self._make_rollout_exchange(),
            self.deployment.source.history,
        )

    def _make_rollout_exchange(self):
        if self.rollouts is None:
            return None
        return rollouts.RolloutExchange(
            self.settings.name,
            self.rollouts,
            rollouts.Judge(self.rollout_limits),
            self.views,
            self.tasks.leases_by_name[_rollout_states.LEASE_NAME],
        )

    def _make_view_updater(self):
        return _view_updater.ViewUpdater(
            self.deployment.kinds,
            self.source,
            self.views,
            self.tasks.actors_by_lease,
            self.table,
            self.software_versions,
            self.peering.choose_timing,
            self.peering.update_plan,
            self.rollouts,
        )
