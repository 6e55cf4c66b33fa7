"""Hosts as objects that share a lease store and order engines to load weights."""

import contextlib
import random
import threading
import time

import attrs
import pykka

from sycamorespoke import clients, objects, serving
from sycamorespoke.gateway import (
    _model,
    _orders,
    _statements,
    _table,
    _target_versions,
    _task_lease,
    _task_messages,
    _views,
    _weight_rollout,
)
from sycamorespoke.platform import _engines
from tests.fakes import lease_objects

MODEL = "m"
OLD_VERSION = 1
NEW_VERSION = 2
LEASE_S = 3.0
TICK_S = 0.25
STOPPING_TICK_S = 0.1
POLL_S = 0.01
# Time after which a host that stopped or was killed is gone.
SHUTDOWN_S = 2.3
STORE_LATENCY_S = 0.01
STORE_TIMEOUT_S = 1.5


@attrs.frozen
class EngineFaults:
    """What goes wrong with the engines.

    Parameters
    ----------
    lost_ratio : float, default=0.0
        Probability that an order gets no response.
    late_s : tuple of float or None, default=None
        Bounds of the delay after which a lost order is carried out; ``None`` if it
        never is.
    rest_ratio : float, default=0.0
        Probability that the response to a report is a refusal with a backoff.
    rest_s : float, default=2.0
        Backoff that is asked for.
    load_s : float, default=0.3
        Duration of a load.
    """

    lost_ratio: float = 0.0
    late_s: tuple[float, float] | None = None
    rest_ratio: float = 0.0
    rest_s: float = 2.0
    load_s: float = 0.3


@attrs.frozen
class SentOrder:
    """An order as an engine received it."""

    received_s: float
    host: str
    engine: str
    fencing_number: int


class FleetEngines:
    """Engines that all hosts order; thread-safe."""

    response_s = 0.015
    report_lag_s = 0.2

    def __init__(self, count, faults, seed):
        self.faults = faults
        self.names = [f"i{number}" for number in range(count)]
        self.sent_orders = []
        self.max_loading = 0
        self._generator = random.Random(seed)
        self._lock = threading.Lock()
        # Per engine: time at which each accepted order ends its load.
        self._loaded_s_by_name = {name: [] for name in self.names}
        self._late_by_name = {name: [] for name in self.names}

    def read_report(self, upstream):
        time.sleep(self.response_s)
        with self._lock:
            if self._generator.random() < self.faults.rest_ratio:
                statements = _statements.Statements(backoff_s=self.faults.rest_s)
                return objects.Unavailable("status 503", 503, statements=statements)
            now = serving.read_clock() - self.report_lag_s
            self._apply_late(upstream.id, serving.read_clock())
            accepted = [
                loaded_s
                for loaded_s in self._loaded_s_by_name[upstream.id]
                if loaded_s - self.faults.load_s <= now
            ]
            is_loaded = any(loaded_s <= now for loaded_s in accepted)
            return _orders.EngineReport(
                len(accepted),
                any(loaded_s > now for loaded_s in accepted),
                {MODEL: NEW_VERSION if is_loaded else OLD_VERSION},
            )

    def order_version(self, host, upstream, order):
        name = upstream.id
        with self._lock:
            now = serving.read_clock()
            sent = SentOrder(now, host, name, order.fencing_number)
            self.sent_orders.append(sent)
            self._apply_late(name, now)
            is_lost = self._generator.random() < self.faults.lost_ratio
            if is_lost and self.faults.late_s is not None:
                late_s = now + self._generator.uniform(*self.faults.late_s)
                self._late_by_name[name].append((late_s, order.after_orders))
            outcome = None if is_lost else self._accept(name, order.after_orders, now)
        if is_lost:
            time.sleep(_engines.ORDER_TIMEOUT_S)
            return _orders.OrderResult(_orders.OrderOutcome.UNKNOWN)
        time.sleep(self.response_s)
        return _orders.OrderResult(outcome)

    def is_rolled_out(self):
        with self._lock:
            now = serving.read_clock()
            for name in self.names:
                self._apply_late(name, now)
            loading = sum(
                any(loaded_s > now for loaded_s in self._loaded_s_by_name[name])
                for name in self.names
            )
            self.max_loading = max(self.max_loading, loading)
            return all(
                any(loaded_s <= now for loaded_s in self._loaded_s_by_name[name])
                for name in self.names
            )

    def _accept(self, name, after_orders, now):
        loads = self._loaded_s_by_name[name]
        if after_orders != len(loads):
            return _orders.OrderOutcome.BUSY
        loads.append(now + self.faults.load_s)
        return _orders.OrderOutcome.ACCEPTED

    def _apply_late(self, name, now):
        for late in sorted(self._late_by_name[name]):
            late_s, after_orders = late
            if late_s <= now:
                self._late_by_name[name].remove(late)
                self._accept(name, after_orders, late_s)


class FleetHost:
    """One host: the actor of the rollout, its ticks and its watch of the lease."""

    def __init__(self, name, fleet):
        self.name = name
        self.fleet = fleet
        self.is_cut = False
        self.is_stopping = False
        self._may_run = threading.Event()
        self._may_run.set()
        self._is_gone = threading.Event()
        self.views = _views.Views()
        self.views.replace_fields(
            upstreams_by_id=fleet.upstreams_by_id,
            targets_by_model=dict(fleet.targets_by_model),
        )
        self.task_lease = _task_lease.TaskLease(
            _weight_rollout.LEASE_NAME,
            name,
            self.views,
            self,
            serving.read_clock,
            LEASE_S,
        )
        self.actor = _weight_rollout.WeightRollout.start(
            self.task_lease, self.views, _table.UpstreamTable(), self, self
        )
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self, release_at_s):
        """Stop like a process that got a signal; it is gone some time later."""
        self.is_stopping = True
        self.fleet.deregister(self.name)
        self.views.replace_fields(hosts_by_name=self.fleet.list_hosts_by_name())
        self.actor.tell(_task_messages.Stop(serving.read_clock(), release_at_s))

    def kill(self):
        """End without a trace: nothing of this host is sent any more."""
        self._is_gone.set()
        self.actor.stop(block=False)

    def freeze(self):
        self._may_run.clear()

    def thaw(self):
        self._may_run.set()

    def get(self, name):
        return self._call_store(lambda: self.fleet.store.get(name))

    def put(self, name, value, version):
        return self._call_store(lambda: self.fleet.store.put(name, value, version))

    def announce(self, name, value):
        return True

    def read_report(self, upstream):
        if not self._wait_alive():
            return objects.Unavailable("host is gone")
        return self.fleet.engines.read_report(upstream)

    def order_version(self, upstream, order):
        if not self._wait_alive():
            return _orders.OrderResult(_orders.OrderOutcome.UNKNOWN)
        return self.fleet.engines.order_version(self.name, upstream, order)

    def _call_store(self, call):
        if not self._wait_alive():
            return clients.Unavailable("host is gone")
        if self.is_cut:
            time.sleep(STORE_TIMEOUT_S)
            return clients.Unavailable("no response")
        time.sleep(STORE_LATENCY_S)
        return call()

    def _wait_alive(self):
        self._may_run.wait()
        return not self._is_gone.is_set()

    def _run(self):
        # The actor of a host that was killed gets no more messages.
        with contextlib.suppress(pykka.ActorDeadError):
            self._send_messages()

    def _send_messages(self):
        next_tick_s = serving.read_clock()
        seen_version = 0
        while self._wait_alive():
            now = serving.read_clock()
            stored = self.fleet.store.objects.get("leases/weights")
            if not self.is_cut:
                hosts_by_name = self.fleet.list_hosts_by_name()
                self.views.replace_fields(hosts_by_name=hosts_by_name)
                if stored and stored[1] > seen_version:
                    seen_version = stored[1]
                    self.actor.tell(_orders.LeaseUpdate("weights", *stored))
            if now >= next_tick_s:
                tick_s = STOPPING_TICK_S if self.is_stopping else TICK_S
                next_tick_s = now + tick_s
                self.actor.tell(_task_messages.Tick(now))
            self._is_gone.wait(POLL_S)


class LockedLeaseStore(lease_objects.FakeLeaseStore):
    """Lease store that several threads write to."""

    def __init__(self):
        super().__init__()
        self.holders = []
        self._lock = threading.Lock()

    def put(self, name, value, version):
        with self._lock:
            result = super().put(name, value, version)
            if isinstance(result, clients.StoredObject):
                self.holders.append((serving.read_clock(), value["holder"]))
            return result


class RolloutFleet:
    """Hosts and engines of one deployment, with a target version to load."""

    def __init__(self, hosts, engines, faults=None, seed=1):
        self.engines = FleetEngines(engines, faults or EngineFaults(), seed)
        self.store = LockedLeaseStore()
        self.upstreams_by_id = {
            name: _model.Upstream(
                name,
                1,
                "s",
                f"10.0.0.{number}:1",
                "z",
                versions_by_model={MODEL: OLD_VERSION},
            )
            for number, name in enumerate(self.engines.names)
        }
        self.targets_by_model = {}
        self._registered = {f"h{number}" for number in range(hosts)}
        self.hosts_by_name = {
            name: FleetHost(name, self) for name in sorted(self._registered)
        }
        for host in self.hosts_by_name.values():
            host.start()

    def set_target(self):
        """Name the new version; return when, in seconds of the boot clock."""
        now = serving.read_clock()
        self.targets_by_model = {
            MODEL: _target_versions.TargetVersion(MODEL, NEW_VERSION, now)
        }
        for host in self.hosts_by_name.values():
            host.views.replace_fields(targets_by_model=dict(self.targets_by_model))
        return now

    def start_host(self, name):
        """Start a host, as a new one or in place of one that is gone."""
        self._registered = self._registered | {name}
        self.hosts_by_name[name] = FleetHost(name, self)
        self.hosts_by_name[name].start()

    def deregister(self, name):
        self._registered = self._registered - {name}

    def list_hosts_by_name(self):
        return {name: _model.Host(name, "z", "x:1") for name in self._registered}

    def find_holder(self):
        """Return the host that holds the lease, ``None`` if none does."""
        for host in list(self.hosts_by_name.values()):
            if host.task_lease.is_held() and not host._is_gone.is_set():
                return host
        return None

    def wait_until(self, is_done, timeout_s):
        deadline_s = time.monotonic() + timeout_s
        while not is_done() and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
        return is_done()

    def close(self):
        for host in self.hosts_by_name.values():
            host.thaw()
            host.kill()

    def list_fence_breaches(self):
        """Return orders after one with a higher number, and numbers of two hosts."""
        hosts_by_number = {}
        highest_by_engine = {}
        breaches = []
        for order in self._list_orders():
            hosts_by_number.setdefault(order.fencing_number, set()).add(order.host)
            highest = highest_by_engine.get(order.engine, 0)
            highest_by_engine[order.engine] = max(highest, order.fencing_number)
            if order.fencing_number < highest:
                breaches.append(order)
        breaches += [hosts for hosts in hosts_by_number.values() if len(hosts) > 1]
        return breaches

    def list_turns(self):
        """Return pairs of orders of two hosts to one engine within a lease."""
        last_by_engine = {}
        turns = []
        for order in self._list_orders():
            last = last_by_engine.get(order.engine)
            last_by_engine[order.engine] = order
            if last is None or last.host == order.host:
                continue
            if order.received_s - last.received_s < LEASE_S:
                turns.append((last, order))
        return turns

    def _list_orders(self):
        return sorted(self.engines.sent_orders, key=lambda order: order.received_s)
