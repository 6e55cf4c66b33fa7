"""What operators see of a gateway process: its dump and its gauges."""

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import (
    _engine_versions,
    _upstream_counts,
    _upstream_gate,
)


class ProgramState:
    """Reads the state of a gateway process for operators.

    Parameters
    ----------
    program : GatewayProgram
        The process.
    """

    def __init__(self, program):
        self.program = program

    def get_in_force(self):
        """Return the versions that are in force, as JSON values."""
        configuration = self.program.views.get().configuration
        return {"configuration": configuration.version if configuration else None}

    def dump(self):
        """Return the state of the process as JSON values, without API keys."""
        program = self.program
        now = serving.read_clock()
        view = program.views.get()
        return {
            "in_force": self.get_in_force(),
            "ready": program.is_ready(),
            "stopping": program.stop_requested.is_set(),
            "view_age_s": {
                section: round(now - confirmed_s, 3)
                for section, confirmed_s in view.confirmed_s_by_section.items()
            },
            "store": {
                "era": program.deployment.source.history.era,
                "revision": program.deployment.source.history.revision,
            },
            "hosts": sorted(view.hosts),
            "data_centres_out": sorted(view.data_centres_out or ()),
            "versions": {
                model: target.version
                for model, target in (view.targets_by_model or {}).items()
            },
            "quarantined": [
                {"kind": content.kind.value, "id": content.id}
                for content in view.crashes.quarantined_by_content
            ],
            "upstreams": program.table.dump(now),
            "contacts": program.gateway.contacts.dump(now),
            "links": program.reachability.dump(now),
            "connections": program.pool.count_open(),
            "held_bytes": {
                kind.value: count
                for kind, count in program.byte_budget.count_held().items()
            },
            "closed_connections": program.server.count_closed(),
            "relayed_objects": program.source.count_objects(),
            "stores": program.block_planner.dump(now),
            "rollouts": self._dump_rollouts(now),
        }

    def refresh_gauges(self):
        """Set the gauges to the present state."""
        program = self.program
        gauge = program.metrics.gauge
        now = serving.read_clock()
        view = program.views.get()
        gauge("caller_connections", program.server.count_connections())
        for reason, count in program.server.count_closed().items():
            gauge("closed_connections", count, reason=reason)
        gauge("is_ready", int(program.is_ready()))
        for kind in decisions.ContentKind:
            count = view.crashes.count_quarantined(kind)
            gauge(f"quarantined_{kind.value}s", count)
        for kind, count in program.byte_budget.count_held().items():
            gauge("held_bytes", count, kind=kind.value)
        for kind, count in program.byte_budget.count_refused().items():
            gauge("refused_holds", count, kind=kind.value)
        for section, confirmed_s in view.confirmed_s_by_section.items():
            gauge("view_age_seconds", now - confirmed_s, part=section)
        for section, count in program.view_updater.count_malformed().items():
            gauge("malformed_objects", count, part=section)
        for task_lease in program.tasks.leases_by_name.values():
            gauge("lease_held", int(task_lease.is_held()), lease=task_lease.name)
        counts = _upstream_counts.count_states(program.table, view, now)
        for (service, state), count in counts.items():
            gauge("upstreams", count, service=service, state=state)
        self._refresh_store()
        self._refresh_links(view, now)
        gauge("silent_upstreams", program.gateway.contacts.count_silent(now))
        gauge("held_requests", program.gateway.room_wait.held)
        gauge("holds_for_memory", program.gateway.room_wait.holds)
        placer = program.gateway.chooser.placer
        for service, load in placer.summarize(view, program.table, now).items():
            gauge("unread_mean_seconds", load.mean_wait_s, service=service)
            gauge("unread_max_seconds", load.max_wait_s, service=service)
            gauge("work_unit_seconds", load.s_per_unit, service=service)
        self._refresh_rollouts(now)
        gauge("weights_pending_seconds", self._compute_weights_pending_s(view, now))

    def _refresh_store(self):
        history = self.program.deployment.source.history
        gauge = self.program.metrics.gauge
        gauge("store_era", history.era)
        gauge("store_era_changes", history.era_changes)
        gauge("store_histories_gone", history.gone_count)

    def _dump_rollouts(self, now):
        known = self.program.rollouts
        return {} if known is None else known.dump(now)

    def _refresh_rollouts(self, now):
        gauge = self.program.metrics.gauge
        for service, rollout in self._dump_rollouts(now).items():
            gauge("rollout_fraction", rollout["fraction"], service=service)
            gauge("rollout_requests", rollout["sent"], service=service, version="all")
            gauge("rollout_requests", rollout["tried"], service=service, version="new")
            for state in ("running", "completed", "rolled back"):
                is_state = int(rollout["state"] == state)
                gauge("rollout_state", is_state, service=service, state=state)

    def _compute_weights_pending_s(self, view, now):
        gate = _upstream_gate.UpstreamGate(self.program.views, self.program.table)
        engines = _engine_versions.list_engine_versions(
            view, self.program.table, gate, now
        )
        targets_by_model = view.targets_by_model or {}
        return _engine_versions.compute_pending_s(targets_by_model, engines, now)

    def _refresh_links(self, view, now):
        if view.configuration is None:
            return
        lost = self.program.reachability.list_lost(now)
        for service in view.configuration.services_by_name:
            is_lost = int(service in lost)
            self.program.metrics.gauge("links_lost", is_lost, service=service)
