"""Orders engines to load the target versions of their models, one host at a time."""

import concurrent.futures
import threading

import attrs
import loguru
import pykka

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import (
    _chooser,
    _orders,
    _source,
    _statements,
    _upstream_gate,
)

LEASE_NAME = "weights"
# Object that lists the loading engines, so that hosts send them no new requests.
LOADING_NAME = "loading"
# Wait after an announcement, so that it reaches the other hosts before the order
# reaches the engine.
ANNOUNCE_LEAD_S = 0.02
# Wait before a load that failed is tried again.
RETRY_DELAY_S = 0.7
POLL_S = 0.15
LOAD_TIMEOUT_S = 5.0
# An accepted order is visible in the engine's report within this time.
REPORT_LAG_S = 0.4
MAX_LOADS = 24


@attrs.frozen
class Tick:
    """Message that triggers a check for pending work.

    Parameters
    ----------
    now : float
        Current time, seconds of the boot clock.
    """

    now: float


class Rollout(pykka.ThreadingActor):
    """Orders engines to load weights while this host holds the lease of the task.

    Parameters
    ----------
    task_lease : TaskLease
        Lease of the task.
    views : Views
        Current view, which has the engines and the target versions.
    table : UpstreamTable
        States of the upstreams, among them their weight versions.
    leases : object
        Has ``announce(name, value)``.
    engines : object
        Has ``read_report(upstream)`` and ``order_version(upstream, order)``.
    """

    use_daemon_thread = True

    def __init__(self, task_lease, views, table, leases, engines):
        super().__init__()
        self.task_lease = task_lease
        self.views = views
        self.table = table
        self.gate = _upstream_gate.UpstreamGate(views, table)
        self.recorder = _statements.StatementRecorder(table, views)
        self.engines = engines
        self.leases = leases
        self._executor = concurrent.futures.ThreadPoolExecutor(MAX_LOADS, "load")
        self._loading_by_boot = {}
        self._versions_by_boot = {}
        self._announced = _orders.LoadAnnouncement()
        self._retry_at_s_by_boot = {}
        self._lock = threading.Lock()
        self._pause = threading.Event()

    def on_receive(self, message):
        """Handle a `Tick` or a `LeaseUpdate`."""
        try:
            if isinstance(message, _orders.LeaseUpdate):
                self.task_lease.observe(message)
            else:
                self.step(message.now)
        except Exception:
            loguru.logger.exception("weight rollout step failed")

    def on_stop(self):
        """Cancel the loads that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def step(self, now):
        """Acquire or renew the lease and start loads if engines are outdated.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        """
        view = self.views.get()
        engines = self._list_engines(view, now)
        self._discard_deregistered({engine.boot_id for engine in engines})
        targets_by_model = {
            model: target.version
            for model, target in (view.targets_by_model or {}).items()
        }
        outdated = [
            each
            for each in engines
            if each.version < targets_by_model.get(each.model, 0)
        ]
        if not outdated:
            self.task_lease.set_idle()
            self._announce()
            return
        if not self.task_lease.try_acquire(str(sorted(targets_by_model.items())), now):
            return
        self._start_loads(view, engines, targets_by_model, now)

    def _find_bar(self, upstream, now):
        return self.gate.find_bar(upstream, now, decisions.Purpose.ORDER)

    def _list_engines(self, view, now):
        upstreams = [
            upstream
            for upstream in (view.upstreams_by_id or {}).values()
            if upstream.versions_by_model
            and self._find_bar(upstream, now) is not decisions.Obstacle.LEAVING
        ]
        states_by_boot = self.table.read(upstreams)
        return [
            decisions.EngineVersion(
                upstream.boot_id,
                model,
                _chooser.latest_weight_version(upstream, states_by_boot, model),
            )
            for upstream in upstreams
            for model in upstream.versions_by_model
        ]

    def _discard_deregistered(self, boot_ids):
        with self._lock:
            for boot_id in self._versions_by_boot.keys() - boot_ids:
                del self._versions_by_boot[boot_id]

    def _start_loads(self, view, engines, targets_by_model, now):
        deferred = {
            boot_id
            for boot_id, retry_at_s in self._retry_at_s_by_boot.items()
            if now < retry_at_s
        }
        with self._lock:
            loading = set(self._loading_by_boot)
        upstreams_by_boot = {
            upstream.boot_id: upstream for upstream in view.upstreams_by_id.values()
        }
        deferred |= {
            engine.boot_id
            for engine in engines
            if self._find_bar(upstreams_by_boot[engine.boot_id], now) is not None
        }
        number = self.task_lease.fencing_number
        loads_by_boot = {}
        for engine in decisions.select_engines_to_load(
            engines, targets_by_model, loading, deferred
        ):
            load = WeightLoad(
                self, upstreams_by_boot[engine.boot_id], engine.model, number
            )
            with self._lock:
                self._loading_by_boot[engine.boot_id] = load
            loads_by_boot[engine.boot_id] = load
        self._announce()
        for boot_id, load in loads_by_boot.items():
            self._executor.submit(self._run_load, boot_id, load)

    def _announce(self):
        """Announce to the other hosts which engines load or have loaded weights.

        Nothing is written if that has not changed.
        """
        with self._lock:
            versions_by_boot = {
                boot_id: dict(versions_by_model)
                for boot_id, versions_by_model in self._versions_by_boot.items()
                if boot_id not in self._loading_by_boot
            }
            announcement = _orders.LoadAnnouncement(
                sorted(self._loading_by_boot), versions_by_boot
            )
        if announcement == self._announced or not self.task_lease.is_held():
            return
        self._announced = announcement
        if self.leases.announce(LOADING_NAME, announcement.to_value()):
            self._pause.wait(ANNOUNCE_LEAD_S)

    def record_loaded(self, upstream, model, version):
        """Record a weight version that an engine reports, to be announced."""
        self.table.record_version(upstream, model, version)
        with self._lock:
            self._versions_by_boot.setdefault(upstream.boot_id, {})[model] = version

    def _run_load(self, boot_id, load):
        try:
            is_done = load.run()
        except Exception:
            loguru.logger.exception("weight load failed")
            is_done = False
        with self._lock:
            self._loading_by_boot.pop(boot_id, None)
            if not is_done:
                retry_at_s = serving.read_clock() + RETRY_DELAY_S
                self._retry_at_s_by_boot[boot_id] = retry_at_s
        # Start the next load without waiting for the next periodic tick.
        self.actor_ref.tell(Tick(serving.read_clock()))


class WeightLoad:
    """Orders one engine to load the target version and waits until it has.

    Parameters
    ----------
    rollout : Rollout
        Rollout that the load belongs to.
    upstream : Upstream
        The engine.
    model : str
        Name of the model.
    fencing_number : int
        Fencing number of the lease under which the orders are sent.
    """

    def __init__(self, rollout, upstream, model, fencing_number):
        self.rollout = rollout
        self.upstream = upstream
        self.model = model
        self.fencing_number = fencing_number
        self._ordered_s = None
        self._pause = threading.Event()

    def run(self):
        """Send orders and poll reports until the engine has the target version.

        Returns
        -------
        bool
            Whether the engine has it. Otherwise the load is to be tried again later.
        """
        deadline_s = serving.read_clock() + LOAD_TIMEOUT_S
        while serving.read_clock() < deadline_s:
            if self._is_barred():
                return False
            report = self.rollout.engines.read_report(self.upstream)
            self._record_statements(report.statements)
            if isinstance(report, _source.Unavailable):
                self._log("engine does not report", reason=report.reason)
                return False
            if report.statements.is_leaving:
                self._log("engine leaving")
                return False
            target_version = self._get_target_version()
            loaded_version = report.versions_by_model.get(self.model, 0)
            if loaded_version >= target_version:
                self.rollout.record_loaded(self.upstream, self.model, loaded_version)
                self._log("engine has the version", version=loaded_version)
                return True
            if self._may_send_order(report) and not self._send_order(
                report, target_version
            ):
                return False
            self._pause.wait(POLL_S)
        self._log("engine load timed out", version=self._get_target_version())
        return False

    def _get_target_version(self):
        target = (self.rollout.views.get().targets_by_model or {}).get(self.model)
        return target.version if target else 0

    def _may_send_order(self, report):
        if report.is_loading:
            return False
        now = serving.read_clock()
        return self._ordered_s is None or now - self._ordered_s >= REPORT_LAG_S

    def _send_order(self, report, version):
        """Send the order; return whether to continue the load."""
        # Checked immediately before the order, since the host may have been suspended.
        now = serving.read_clock()
        if not self.rollout.task_lease.is_held() or self._is_barred():
            return False
        order = _orders.VersionOrder(
            self.model, version, self.fencing_number, report.orders
        )
        result = self.rollout.engines.order_version(self.upstream, order)
        self._record_statements(result.statements)
        outcome = result.outcome
        self._log(
            "engine ordered",
            version=version,
            fencing_number=self.fencing_number,
            after_orders=report.orders,
            outcome=outcome.value,
        )
        if outcome is _orders.OrderOutcome.FENCED:
            self.rollout.task_lease.discard()
            return False
        if outcome is _orders.OrderOutcome.ACCEPTED:
            self._ordered_s = now
        return outcome is not _orders.OrderOutcome.REFUSED

    def _is_barred(self):
        now = serving.read_clock()
        obstacle = self.rollout.gate.find_bar(
            self.upstream, now, decisions.Purpose.ORDER
        )
        if obstacle is None:
            return False
        self._log("engine load held", obstacle=obstacle.value)
        return True

    def _record_statements(self, statements):
        if statements is None:
            return
        now = serving.read_clock()
        self.rollout.recorder.record(
            self.upstream, statements, now, self._log_statement, ends_rate_limit=False
        )

    def _log_statement(self, event, upstream, **fields):
        self._log(event, **fields)

    def _log(self, event, **fields):
        loguru.logger.bind(upstream=self.upstream.id, model=self.model, **fields).info(
            event
        )
