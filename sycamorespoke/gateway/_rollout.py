"""Brings engines to the weights that the operators name, one host at a time."""

import concurrent.futures
import threading

import attrs
import loguru
import pykka

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import _chooser, _orders, _source

LEASE_NAME = "weights"
# Names the engines that load, so that hosts send them nothing new.
LOADING_NAME = "loading"
# The announcement reaches the other hosts before the order reaches the engine.
ANNOUNCE_LEAD_S = 0.02
# An engine that did not answer is asked again after this time.
RETRY_DELAY_S = 0.7
POLL_S = 0.15
LOAD_TIMEOUT_S = 5.0
# An accepted order shows in the report within this time.
REPORT_LAG_S = 0.4
MAX_LOADS = 24


@attrs.frozen
class Tick:
    """Message: look whether there is something to do.

    Parameters
    ----------
    now : float
        Present time, seconds of the boot clock.
    """

    now: float


class Rollout(pykka.ThreadingActor):
    """Gives orders while this host holds the lease of that duty.

    Parameters
    ----------
    task_lease : TaskLease
        The right to give orders.
    views : Views
        What this host believes.
    table : UpstreamTable
        What was seen of the upstreams.
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
        """Take a `Tick` or a `LeaseUpdate`."""
        try:
            if isinstance(message, _orders.LeaseUpdate):
                self.task_lease.observe(message)
            else:
                self.step(message.now)
        except Exception:
            loguru.logger.exception("the rollout of weights failed")

    def on_stop(self):
        """Start no further load."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def step(self, now):
        """Take or renew the lease and start loads, if engines are behind.

        Parameters
        ----------
        now : float
            Present time, seconds of the boot clock.
        """
        view = self.views.get()
        engines = self._list_engines(view)
        self._discard_deregistered({engine.name for engine in engines})
        targets_by_model = {
            model: named.version
            for model, named in (view.versions_by_model or {}).items()
        }
        behind = [
            each
            for each in engines
            if each.version < targets_by_model.get(each.model, 0)
        ]
        if not behind:
            self.task_lease.set_idle()
            self._announce()
            return
        if not self.task_lease.try_acquire(str(sorted(targets_by_model.items())), now):
            return
        self._start_loads(view, engines, targets_by_model, now)

    def _list_engines(self, view):
        upstreams = [
            upstream
            for upstream in (view.upstreams_by_id or {}).values()
            if upstream.versions_by_model and not upstream.is_draining
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
            for boot_id, until_s in self._retry_at_s_by_boot.items()
            if now < until_s
        }
        with self._lock:
            loading = set(self._loading_by_boot)
        upstreams_by_boot = {
            upstream.boot_id: upstream for upstream in view.upstreams_by_id.values()
        }
        number = self.task_lease.fencing_number
        loads_by_boot = {}
        for engine in decisions.select_engines_to_load(
            engines, targets_by_model, loading, deferred
        ):
            load = WeightLoad(
                self, upstreams_by_boot[engine.name], engine.model, number
            )
            with self._lock:
                self._loading_by_boot[engine.name] = load
            loads_by_boot[engine.name] = load
        self._announce()
        for boot_id, load in loads_by_boot.items():
            self._executor.submit(self._run_load, boot_id, load)

    def _announce(self):
        """Tell the other hosts which engines load or have loaded, if that changed."""
        with self._lock:
            versions_by_boot = {
                boot_id: dict(held)
                for boot_id, held in self._versions_by_boot.items()
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
        """Note the weights that an engine reports, to tell the other hosts."""
        self.table.record_version(upstream, model, version)
        with self._lock:
            self._versions_by_boot.setdefault(upstream.boot_id, {})[model] = version

    def _run_load(self, boot_id, load):
        try:
            is_done = load.run()
        except Exception:
            loguru.logger.exception("a load of weights failed")
            is_done = False
        with self._lock:
            self._loading_by_boot.pop(boot_id, None)
            if not is_done:
                until_s = serving.read_clock() + RETRY_DELAY_S
                self._retry_at_s_by_boot[boot_id] = until_s
        # The next engine need not wait for the next tick.
        self.actor_ref.tell(Tick(serving.read_clock()))


class WeightLoad:
    """Brings one engine to the version that is wanted.

    Parameters
    ----------
    rollout : Rollout
        The duty.
    upstream : Upstream
        The engine.
    model : str
        The model.
    fencing_number : int
        Of the lease.
    """

    def __init__(self, rollout, upstream, model, fencing_number):
        self.rollout = rollout
        self.upstream = upstream
        self.model = model
        self.fencing_number = fencing_number
        self._ordered_s = None
        self._pause = threading.Event()

    def run(self):
        """Order and ask until the engine has the version.

        Returns
        -------
        bool
            Whether it has; else it is tried again later.
        """
        deadline_s = serving.read_clock() + LOAD_TIMEOUT_S
        while serving.read_clock() < deadline_s:
            report = self.rollout.engines.read_report(self.upstream)
            if isinstance(report, _source.Unavailable):
                self._log("engine does not report", reason=report.reason)
                return False
            wanted = self._get_target_version()
            held = report.versions_by_model.get(self.model, 0)
            if held >= wanted:
                self.rollout.record_loaded(self.upstream, self.model, held)
                self._log("engine has the version", version=held)
                return True
            if self._may_order(report) and not self._order(report, wanted):
                return False
            self._pause.wait(POLL_S)
        self._log("engine takes too long", version=self._get_target_version())
        return False

    def _get_target_version(self):
        named = (self.rollout.views.get().versions_by_model or {}).get(self.model)
        return named.version if named else 0

    def _may_order(self, report):
        if report.is_loading:
            return False
        now = serving.read_clock()
        return self._ordered_s is None or now - self._ordered_s >= REPORT_LAG_S

    def _order(self, report, version):
        """Give the order; return whether to go on."""
        # The lease is looked at last, since the host may have been suspended.
        now = serving.read_clock()
        if not self.rollout.task_lease.is_held():
            return False
        order = _orders.VersionOrder(
            self.model, version, self.fencing_number, report.orders
        )
        outcome = self.rollout.engines.order_version(self.upstream, order)
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

    def _log(self, event, **fields):
        loguru.logger.bind(upstream=self.upstream.id, model=self.model, **fields).info(
            event
        )
