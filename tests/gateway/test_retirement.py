"""Blocks of old weights are freed once, by the host that holds the lease."""

import pytest

from sycamorespoke import objects, serving
from sycamorespoke.gateway import (
    _blocks,
    _model,
    _retirement,
    _statements,
    _store_index,
    _target_versions,
    _task_lease,
    _task_messages,
    _views as views_module,
)
from tests.fakes import lease_objects

STORE = _model.BlockStore("10.0.0.1:80", "z", 100_000, 1e9, 0.0, is_managed=True)


class StoreClient:
    def __init__(self, works=True):
        self.works = works
        self.freed = []

    def free(self, address, keys, epoch, until_ms):
        if self.works:
            self.freed.append((address, list(keys), epoch))
        return self.works


def make_index(*keys):
    index = _store_index.StoreIndex(STORE)
    events = tuple(
        _store_index.StoreEvent(scope, block, 100, True) for scope, block in keys
    )
    page = _store_index.StoreEvents(7, len(keys), False, events, clock_ms=5000.0)
    # Keep the index current while the test passes times ahead of the clock.
    index.apply_events(page, serving.read_clock() + 3.0)
    return index


@pytest.fixture
def start():
    actors = []

    def make(index, client, host="h1", leases=None, target_age_s=7.0, hosts=()):
        views = views_module.Views()
        views.replace_fields(
            hosts_by_name={name: _model.Host(name, "z", "x:1") for name in hosts}
        )
        seen_s = serving.read_clock() - target_age_s
        views.replace_fields(
            targets_by_model={"m": _target_versions.TargetVersion("m", 2, seen_s)}
        )
        blocks = _blocks.BlockPlanner(client=None)
        blocks._indexes_by_address[STORE.address] = index
        leases = leases or lease_objects.FakeLeaseStore()
        task_lease = _task_lease.TaskLease(
            _retirement.LEASE_NAME, host, views, leases, serving.read_clock, 3.0
        )
        actor = _retirement.Retirement.start(task_lease, views, blocks, client)
        actors.append(actor)
        return actor

    yield make
    for actor in actors:
        actor.stop()


def step(actor, count=4):
    """Run several steps, half a second of the actor's time apart."""
    begun_s = serving.read_clock()
    for number in range(count):
        now = begun_s + number * _retirement.STEP_S
        actor.proxy().step(now).get(timeout=5.0)


def test_only_blocks_of_old_weights_are_freed(start):
    index = make_index(("v1 m", "old"), ("v2 m", "new"), ("v1 other", "p"))
    client = StoreClient()
    step(start(index, client))
    assert client.freed == [(STORE.address, [("v1 m", "old")], 7)]
    assert set(index.list_blocks()) == {("v2 m", "new"), ("v1 other", "p")}


def test_no_block_is_freed_while_imports_may_be_running(start):
    index = make_index(("v1 m", "old"))
    client = StoreClient()
    step(start(index, client, target_age_s=2.0))
    assert client.freed == []


def test_second_host_frees_nothing_while_the_first_holds_the_lease(start):
    leases = lease_objects.FakeLeaseStore()
    first, second = StoreClient(works=False), StoreClient()
    step(start(make_index(("v1 m", "old")), first, "h1", leases))
    step(start(make_index(("v1 m", "old")), second, "h2", leases))
    assert second.freed == []


def test_block_is_eventually_assumed_freed_if_its_event_is_lost(start):
    index = make_index(("v1 m", "old"))
    client = StoreClient(works=False)
    step(start(index, client, target_age_s=20.0))
    assert index.list_blocks() == {}


def test_tick_triggers_a_step(start):
    index = make_index(("v1 m", "old"))
    client = StoreClient()
    actor = start(index, client)
    begun_s = serving.read_clock()
    for number in range(4):
        actor.tell(_task_messages.Tick(begun_s + number))
    actor.proxy().task_lease.get(timeout=5.0)
    assert len(client.freed) == 1


def test_overloaded_store_frees_nothing_before_its_backoff_has_ended(start):
    index = make_index(("v1 m", "old"))
    client = StoreClient()
    statements = _statements.Statements(backoff_s=600.0)
    overloaded = objects.Unavailable("status 503", 503, statements=statements)
    index.record_unavailable(overloaded, serving.read_clock())
    step(start(index, client))
    assert client.freed == []


def test_other_host_frees_blocks_at_once_when_the_holder_stops(start):
    leases = lease_objects.FakeLeaseStore()
    first, second = StoreClient(works=False), StoreClient()
    hosts = ("h1", "h2")
    holder = start(make_index(("v1 m", "old")), first, "h1", leases, hosts=hosts)
    other = start(make_index(("v1 m", "old")), second, "h2", leases, hosts=hosts)
    step(holder)
    now = serving.read_clock()
    holder.ask(_task_messages.Stop(now, now + 5.0), timeout=5.0)
    step(other)
    assert second.freed == [(STORE.address, [("v1 m", "old")], 7)]


def test_stopping_host_frees_blocks_if_no_other_host_is_registered(start):
    client = StoreClient()
    actor = start(make_index(("v1 m", "old")), client)
    now = serving.read_clock()
    actor.ask(_task_messages.Stop(now, now + 5.0), timeout=5.0)
    step(actor)
    assert client.freed == [(STORE.address, [("v1 m", "old")], 7)]
