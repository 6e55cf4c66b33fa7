"""Rollout of new weights by one host, with engines that fail in various ways."""

import time

import attrs
import pytest

from sycamorespoke import objects, serving
from sycamorespoke.gateway import (
    _model,
    _orders,
    _statements,
    _table,
    _target_versions,
    _task_lease,
    _task_messages,
    _views as views_module,
    _weight_load,
    _weight_rollout,
)
from tests.fakes import lease_objects

MODEL = "m"


def make_target(version, now):
    return _target_versions.TargetVersion(MODEL, version, now)


@attrs.define
class FakeEngine:
    version: int = 1
    orders: int = 0
    lost_orders: int = 0
    is_unreachable: bool = False
    is_fenced: bool = False
    is_leaving: bool = False
    # Wanted once, in the response to the first report or order.
    report_backoff_s: float | None = None
    order_backoff_s: float | None = None
    calls: int = 0
    received_orders: list = attrs.field(factory=list)


class FakeEngines:
    def __init__(self, **by_id):
        self.by_id = by_id

    def read_report(self, upstream):
        engine = self.by_id[upstream.id]
        engine.calls += 1
        if engine.report_backoff_s is not None:
            statements = _statements.Statements(backoff_s=engine.report_backoff_s)
            engine.report_backoff_s = None
            return objects.Unavailable("status 503", 503, statements=statements)
        if engine.is_unreachable:
            return objects.Unavailable("unreachable")
        versions_by_model = {MODEL: engine.version}
        statements = _statements.Statements(is_leaving=engine.is_leaving)
        return _orders.EngineReport(engine.orders, False, versions_by_model, statements)

    def order_version(self, upstream, order):
        engine = self.by_id[upstream.id]
        engine.calls += 1
        engine.received_orders.append(order)
        if engine.order_backoff_s is not None:
            statements = _statements.Statements(backoff_s=engine.order_backoff_s)
            engine.order_backoff_s = None
            return _orders.OrderResult(_orders.OrderOutcome.REFUSED, statements)
        if engine.is_fenced:
            return _orders.OrderResult(_orders.OrderOutcome.FENCED)
        if engine.lost_orders:
            engine.lost_orders -= 1
            return _orders.OrderResult(_orders.OrderOutcome.UNKNOWN)
        if order.after_orders != engine.orders:
            return _orders.OrderResult(_orders.OrderOutcome.BUSY)
        engine.orders += 1
        engine.version = order.version
        return _orders.OrderResult(_orders.OrderOutcome.ACCEPTED)


@pytest.fixture
def start():
    actors = []

    def make(engines, leases, host="h1", target_version=2):
        views = views_module.Views()
        upstreams = {
            name: _model.Upstream(
                name, 1, "s", "1.1.1.1:1", "z", versions_by_model={MODEL: 1}
            )
            for name in engines.by_id
        }
        now = serving.read_clock()
        views.replace_fields(
            upstreams_by_id=upstreams,
            targets_by_model={
                MODEL: _target_versions.TargetVersion(MODEL, target_version, now)
            },
        )
        table = _table.UpstreamTable()
        task_lease = _task_lease.TaskLease(
            _weight_rollout.LEASE_NAME, host, views, leases, serving.read_clock, 3.0
        )
        actor = _weight_rollout.WeightRollout.start(
            task_lease, views, table, leases, engines
        )
        actors.append(actor)
        return actor

    yield make
    for actor in actors:
        actor.stop()


def run_until(actor, is_done, timeout_s=8.0):
    deadline_s = time.monotonic() + timeout_s
    while not is_done() and time.monotonic() < deadline_s:
        actor.tell(_task_messages.Tick(serving.read_clock()))
        time.sleep(0.05)
    return is_done()


def test_every_engine_is_announced_and_loads_the_target_version(start):
    engines = FakeEngines(**{f"i{n}": FakeEngine() for n in range(5)})
    leases = lease_objects.FakeLeaseStore()
    actor = start(engines, leases)
    outdated = engines.by_id.values()
    assert run_until(actor, lambda: all(each.version == 2 for each in outdated))
    assert {
        order.fencing_number for each in outdated for order in each.received_orders
    } == {1}
    announced = list(map(_orders.LoadAnnouncement.from_value, leases.announced))
    assert max(len(each.loading) for each in announced) == 2
    boot_ids = {f"i{n}@1" for n in range(5)}
    assert {boot_id for each in announced for boot_id in each.loading} == boot_ids


def test_loaded_versions_are_announced(start):
    engines = FakeEngines(**{f"i{n}": FakeEngine() for n in range(5)})
    leases = lease_objects.FakeLeaseStore()
    actor = start(engines, leases)
    done = {f"i{n}@1": {MODEL: 2} for n in range(5)}

    def is_announced():
        return leases.announced and leases.announced[-1]["versions_by_boot"] == done

    assert run_until(actor, is_announced)
    for value in leases.announced:
        announcement = _orders.LoadAnnouncement.from_value(value)
        assert not set(announcement.loading) & announcement.versions_by_boot.keys()


def test_order_without_response_is_resent_with_the_same_precondition(start):
    engines = FakeEngines(i0=FakeEngine(lost_orders=2))
    actor = start(engines, lease_objects.FakeLeaseStore())
    assert run_until(actor, lambda: engines.by_id["i0"].version == 2)
    received_orders = engines.by_id["i0"].received_orders
    assert len(received_orders) == 3
    assert {order.after_orders for order in received_orders} == {0}


def test_unreachable_engine_does_not_block_the_others(start):
    engines = FakeEngines(
        i0=FakeEngine(is_unreachable=True), i1=FakeEngine(), i2=FakeEngine()
    )
    actor = start(engines, lease_objects.FakeLeaseStore())
    reachable = [engines.by_id["i1"], engines.by_id["i2"]]
    assert run_until(actor, lambda: all(each.version == 2 for each in reachable))


def test_no_order_without_the_lease(start):
    engines = FakeEngines(i0=FakeEngine())
    leases = lease_objects.FakeLeaseStore(is_unavailable=True)
    actor = start(engines, leases)
    assert not run_until(
        actor, lambda: engines.by_id["i0"].received_orders, timeout_s=1.0
    )


def test_no_order_while_another_host_holds_the_lease(start):
    engines = FakeEngines(i0=FakeEngine())
    record = {"holder": "h2", "fencing_number": 4, "duration_s": 3.0, "renewal": 0}
    leases = lease_objects.FakeLeaseStore({"leases/weights": (record, 1)})
    actor = start(engines, leases)
    assert not run_until(
        actor, lambda: engines.by_id["i0"].received_orders, timeout_s=1.5
    )


def test_fenced_order_makes_the_host_discard_the_lease(start):
    engines = FakeEngines(i0=FakeEngine(is_fenced=True))
    leases = lease_objects.FakeLeaseStore()
    actor = start(engines, leases)
    assert run_until(actor, lambda: engines.by_id["i0"].received_orders)
    first = engines.by_id["i0"].received_orders[0].fencing_number
    time.sleep(1.0)
    later = engines.by_id["i0"].received_orders[1:]
    assert all(order.fencing_number != first for order in later)


def test_no_lease_is_written_without_outdated_engines(start):
    engines = FakeEngines(i0=FakeEngine())
    leases = lease_objects.FakeLeaseStore()
    actor = start(engines, leases, target_version=1)
    assert not run_until(actor, lambda: leases.objects, timeout_s=0.5)


def test_engine_that_reports_that_it_leaves_gets_no_order(start):
    engines = FakeEngines(i1=FakeEngine(is_leaving=True), i2=FakeEngine())
    actor = start(engines, lease_objects.FakeLeaseStore())
    assert run_until(actor, lambda: engines.by_id["i2"].version == 2)
    table = actor.proxy().table.get()
    assert run_until(actor, lambda: table.dump(0.0).get("i1@1", {}).get("leaving"))
    assert engines.by_id["i1"].received_orders == []


@pytest.mark.parametrize(
    ("field", "calls"), [("report_backoff_s", 1), ("order_backoff_s", 2)]
)
def test_engine_gets_no_report_or_order_before_its_backoff_has_ended(
    start, field, calls
):
    engines = FakeEngines(i1=FakeEngine(**{field: 1.5}), i2=FakeEngine())
    actor = start(engines, lease_objects.FakeLeaseStore())
    engine = engines.by_id["i1"]
    assert run_until(actor, lambda: engine.calls == calls)
    assert not run_until(actor, lambda: engine.calls > calls, timeout_s=1.2)
    assert run_until(actor, lambda: engine.version == 2)


def test_engine_with_a_backoff_for_callers_gets_no_report_or_order(start):
    engines = FakeEngines(i1=FakeEngine(), i2=FakeEngine())
    actor = start(engines, lease_objects.FakeLeaseStore())
    upstream = actor.proxy().views.get().get().upstreams_by_id["i1"]
    actor.proxy().table.get().record_backoff(upstream, serving.read_clock() + 600.0)
    assert run_until(actor, lambda: engines.by_id["i2"].version == 2)
    assert engines.by_id["i1"].calls == 0


def test_engines_without_responses_to_orders_do_not_keep_the_others_waiting(start):
    silent = {f"i{n}": FakeEngine(lost_orders=1000) for n in range(3)}
    engines = FakeEngines(**silent, i3=FakeEngine(), i4=FakeEngine())
    actor = start(engines, lease_objects.FakeLeaseStore())
    answering = [engines.by_id["i3"], engines.by_id["i4"]]
    # The loads of the silent engines have not timed out by then.
    timeout_s = 0.8 * _weight_load.LOAD_TIMEOUT_S
    assert run_until(
        actor, lambda: all(each.version == 2 for each in answering), timeout_s
    )
    assert any(engine.received_orders for engine in silent.values())


def test_loads_that_wait_for_a_thread_do_not_keep_unanswered_ones_from_a_place(
    start, monkeypatch
):
    monkeypatch.setattr(_weight_rollout, "MAX_LOADS", 2)
    silent = {f"i{n}": FakeEngine(lost_orders=2) for n in range(2)}
    others = {f"i{n}": FakeEngine() for n in range(2, 9)}
    engines = FakeEngines(**silent, **others)
    actor = start(engines, lease_objects.FakeLeaseStore())
    # The loads of the silent engines have not timed out by then.
    timeout_s = 0.8 * _weight_load.LOAD_TIMEOUT_S
    assert run_until(
        actor, lambda: all(each.version == 2 for each in silent.values()), timeout_s
    )


def test_announcement_is_written_again_once_in_a_later_era(start):
    leases = lease_objects.FakeLeaseStore()
    actor = start(FakeEngines(i0=FakeEngine()), leases, target_version=1)
    proxy = actor.proxy()
    task_lease = proxy.task_lease.get()
    task_lease.is_held = lambda: True
    now = serving.read_clock()

    def step(count=3):
        for _ in range(count):
            proxy.step(now).get(timeout=5.0)
        return len(leases.announced)

    assert step() == 0
    (upstream,) = proxy.views.get().get().upstreams_by_id.values()
    proxy.record_loaded(upstream, MODEL, 1).get(timeout=5.0)
    assert step() == 1
    task_lease.keeper.history.record_era(1, now)
    assert step() == 2
    assert leases.announced[0] == leases.announced[1]
