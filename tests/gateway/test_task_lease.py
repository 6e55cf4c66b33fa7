"""Lease of a task that a stopping host hands over."""

import loguru
import pytest

from sycamorespoke.gateway import _model, _orders, _task_lease, _views
from tests.fakes import lease_objects

LEASE_S = 3.0
# Longer than any host waits before it acquires a free lease.
ACQUIRE_S = 1.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def store():
    return lease_objects.FakeLeaseStore()


@pytest.fixture
def make_lease(clock, store):
    def make(host, hosts=("a", "b", "c")):
        views = _views.Views()
        views.replace_fields(
            hosts_by_name={name: _model.Host(name, "z", "x:1") for name in hosts}
        )
        return _task_lease.TaskLease("weights", host, views, store, clock, LEASE_S)

    return make


@pytest.fixture
def logged():
    """Log events with their fields, in order."""
    events = []
    handle = loguru.logger.add(
        lambda message: events.append(
            (message.record["message"], message.record["extra"])
        )
    )
    yield events
    loguru.logger.remove(handle)


def acquire(task_lease, clock):
    """Step for as long as a free lease is waited for; return whether it is held."""
    end_s = clock.now + ACQUIRE_S
    while clock.now < end_s and not task_lease.try_acquire("work", clock.now):
        clock.now += 0.125
    return task_lease.is_held()


def observe(task_lease, store):
    task_lease.observe(_orders.LeaseUpdate("weights", *store.objects["leases/weights"]))


def test_host_whose_first_sight_of_the_lease_is_a_release_acquires_it(
    make_lease, clock
):
    first = make_lease("a")
    assert acquire(first, clock)
    first.release({}, clock.now)
    assert not first.is_held()
    second = make_lease("b")
    assert acquire(second, clock)
    assert second.fencing_number == 2


def test_engine_of_the_last_holder_is_barred_for_the_rest_of_a_lease(
    make_lease, clock, store
):
    first = make_lease("a")
    second = make_lease("b")
    assert acquire(first, clock)
    acted_s = clock.now
    clock.now += 0.5
    first.release({"i1": acted_s, "i2": acted_s - LEASE_S}, clock.now)
    observe(second, store)
    assert acquire(second, clock)
    clock.now = acted_s + LEASE_S - 0.01
    assert second.list_barred(clock.now) == {"i1"}
    clock.now = acted_s + LEASE_S
    assert second.list_barred(clock.now) == set()


def test_bar_passes_through_a_second_release(make_lease, clock, store):
    first, second, third = map(make_lease, "abc")
    assert acquire(first, clock)
    acted_s = clock.now
    first.release({"i1": acted_s}, clock.now)
    observe(second, store)
    assert acquire(second, clock)
    second.release({}, clock.now)
    observe(third, store)
    assert acquire(third, clock)
    assert third.fencing_number == 3
    assert third.list_barred(acted_s + LEASE_S - 0.01) == {"i1"}


def test_lease_whose_release_failed_is_not_held_until_it_has_ended(
    make_lease, clock, store
):
    first = make_lease("a")
    assert acquire(first, clock)
    number = first.fencing_number
    store.is_unavailable = True
    first.release({}, clock.now)
    released_s = clock.now
    assert not first.is_held()
    store.is_unavailable = False
    while not first.try_acquire("work", clock.now):
        clock.now += 0.125
    assert clock.now - released_s >= LEASE_S
    assert first.fencing_number == number + 1


def test_hosts_wait_for_different_times_after_a_release(make_lease, clock, store):
    first = make_lease("a")
    others = [make_lease("b"), make_lease("c")]
    assert acquire(first, clock)
    observe(others[0], store)
    observe(others[1], store)
    for other in others:
        assert not other.try_acquire("work", clock.now)
    clock.now += 10 * LEASE_S / 4
    first.keeper.step()
    first.release({}, clock.now)
    observe(others[0], store)
    observe(others[1], store)
    assert not any(other.try_acquire("work", clock.now) for other in others)


@pytest.mark.parametrize(
    ("hosts", "after_s", "expected"),
    [(("a", "b"), 0.0, True), (("a",), 0.0, False), ((), 0.0, False), ((), 5.0, True)],
)
def test_stopping_host_hands_over_if_another_is_registered_or_the_end_is_near(
    make_lease, clock, hosts, after_s, expected
):
    task_lease = make_lease("a", hosts)
    assert not task_lease.must_hand_over(clock.now)
    task_lease.set_stopping(clock.now + 5.0)
    assert task_lease.must_hand_over(clock.now + after_s) is expected


def test_work_that_no_host_performs_is_logged_with_the_holder(
    make_lease, clock, store, logged
):
    holder = make_lease("a")
    other = make_lease("b")
    assert acquire(holder, clock)
    observe(other, store)
    assert not other.try_acquire("work", clock.now)
    logged.clear()
    clock.now += LEASE_S / 2
    assert not other.try_acquire("work", clock.now)
    assert not other.try_acquire("work", clock.now + 0.25)
    ((event, fields),) = logged
    assert event == "waiting for the lease"
    assert fields["holder"] == "a"
    assert fields["idle_ms"] == LEASE_S / 2 * 1000


def test_nothing_is_logged_while_the_holder_renews_the_lease(
    make_lease, clock, store, logged
):
    holder = make_lease("a")
    other = make_lease("b")
    assert acquire(holder, clock)
    logged.clear()
    for _ in range(40):
        assert holder.try_acquire("work", clock.now)
        observe(other, store)
        assert not other.try_acquire("work", clock.now)
        clock.now += 0.25
    assert logged == []
