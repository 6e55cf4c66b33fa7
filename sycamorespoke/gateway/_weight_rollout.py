"""Orders engines to load the target versions of their models, one host at a time."""

import concurrent.futures
import threading

import loguru
import pykka

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import (
    _engine_versions,
    _orders,
    _running_loads,
    _sent_orders,
    _statements,
    _task_messages,
    _upstream_gate,
    _weight_load,
)

LEASE_NAME = "weights"
# Object that lists the loading engines, so that hosts send them no new requests.
LOADING_NAME = "loading"
# Wait after an announcement, so that it reaches the other hosts before the order
# reaches the engine.
ANNOUNCE_LEAD_S = 0.02
# Wait before a load that failed is tried again.
RETRY_DELAY_S = 0.7
# Threads, each of which loads one engine, also while orders get no response.
MAX_LOADS = 48
# A host that stops waits this long for its loads before it hands the task over.
HANDOVER_WAIT_S = 1.5


class WeightRollout(pykka.ThreadingActor):
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
        self.sent_orders = _sent_orders.SentOrders()
        self._handover_since_s = None
        self._executor = concurrent.futures.ThreadPoolExecutor(MAX_LOADS, "load")
        self.running_loads = _running_loads.RunningLoads()
        self._versions_by_boot = {}
        self._announced = _orders.LoadAnnouncement()
        # Era of the store in which it was announced; None before any.
        self._announced_era = None
        self._retry_at_s_by_boot = {}
        self._lock = threading.Lock()
        self._pause = threading.Event()

    def on_receive(self, message):
        """Handle a `Tick`, a `Stop` or a `LeaseUpdate`."""
        try:
            if isinstance(message, _orders.LeaseUpdate):
                self.task_lease.observe(message)
                return
            if isinstance(message, _task_messages.Stop):
                self.task_lease.set_stopping(message.release_at_s)
            self.step(message.now)
        except Exception:
            loguru.logger.exception("weight rollout step failed")

    def on_stop(self):
        """Cancel the loads that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def step(self, now):
        """Acquire or renew the lease and start loads if engines are outdated.

        A host that stops hands the task over instead if it must.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        """
        view = self.views.get()
        engines = _engine_versions.list_engine_versions(
            view, self.table, self.gate, now
        )
        self._discard_deregistered({engine.boot_id for engine in engines})
        if self.task_lease.must_hand_over(now):
            self._hand_over(now)
            return
        self._handover_since_s = None
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
        self.sent_orders.open()
        self._start_loads(view, engines, targets_by_model, now)

    def _hand_over(self, now):
        """Release the lease once the running loads and orders have ended."""
        if not self.task_lease.is_held():
            return
        if self._handover_since_s is None:
            self._handover_since_s = now
        self.task_lease.renew()
        self._announce()
        is_loading = bool(self.running_loads.list_all())
        if is_loading and now - self._handover_since_s < HANDOVER_WAIT_S:
            return
        self.running_loads.set_ending()
        if self.sent_orders.close():
            self.task_lease.release(self.sent_orders.get_sent_s_by_boot(), now)

    def _find_bar(self, upstream, now):
        return self.gate.find_bar(upstream, now, decisions.Purpose.ORDER)

    def _discard_deregistered(self, boot_ids):
        with self._lock:
            for boot_id in self._versions_by_boot.keys() - boot_ids:
                del self._versions_by_boot[boot_id]
        self.sent_orders.retain(boot_ids)

    def _start_loads(self, view, engines, targets_by_model, now):
        deferred = {
            boot_id
            for boot_id, retry_at_s in list(self._retry_at_s_by_boot.items())
            if now < retry_at_s
        }
        self.running_loads.set_limits(decisions.compute_max_loads_by_model(engines))
        loading = self.running_loads.list_counted()
        uncertain = self.running_loads.list_uncertain(now)
        running = self.running_loads.list_all()
        deferred |= running
        upstreams_by_boot = {
            upstream.boot_id: upstream for upstream in view.upstreams_by_id.values()
        }
        deferred |= {
            engine.boot_id
            for engine in engines
            if self._find_bar(upstreams_by_boot[engine.boot_id], now) is not None
        }
        deferred |= self.task_lease.list_barred(now)
        number = self.task_lease.fencing_number
        loads_by_boot = {}
        selected = decisions.select_engines_to_load(
            engines, targets_by_model, loading, deferred, uncertain
        )
        # A load without a thread would count without doing anything.
        for engine in selected[: MAX_LOADS - len(running)]:
            load = _weight_load.WeightLoad(
                self, upstreams_by_boot[engine.boot_id], engine.model, number
            )
            self.running_loads.add(engine.boot_id, load)
            loads_by_boot[engine.boot_id] = load
        self._announce()
        for boot_id, load in loads_by_boot.items():
            self._executor.submit(self._run_load, boot_id, load)

    def _announce(self):
        """Announce to the other hosts which engines load or have loaded weights.

        Nothing is written if that has not changed since the last announcement in the
        same era of the store.
        """
        running = self.running_loads.list_all()
        with self._lock:
            versions_by_boot = {
                boot_id: dict(versions_by_model)
                for boot_id, versions_by_model in self._versions_by_boot.items()
                if boot_id not in running
            }
        announcement = _orders.LoadAnnouncement(
            sorted(self.running_loads.list_counted()), versions_by_boot
        )
        era = self.task_lease.keeper.history.era
        is_known = self._announced_era in (None, era)
        if announcement == self._announced and is_known:
            return
        if not self.task_lease.is_held():
            return
        self._announced, self._announced_era = announcement, era
        if self.leases.announce(LOADING_NAME, announcement.to_value()):
            self._pause.wait(ANNOUNCE_LEAD_S)

    def wake(self):
        """Start further loads without waiting for the next periodic tick."""
        self.actor_ref.tell(_task_messages.Tick(serving.read_clock()))

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
        if not is_done:
            retry_at_s = serving.read_clock() + RETRY_DELAY_S
            self._retry_at_s_by_boot[boot_id] = retry_at_s
        self.running_loads.remove(boot_id)
        self.wake()
