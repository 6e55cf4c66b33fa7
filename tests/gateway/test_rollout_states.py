"""The host that holds the lease writes the state of rollouts."""

import attrs
import pytest

from sycamorespoke import clients, domain, messages, rollouts, serving
from sycamorespoke.gateway import (
    _model,
    _rollout_states,
    _task_lease,
    _task_messages,
    _views as views_module,
)
from tests.fakes import lease_objects

ID = rollouts.RolloutId("s", "v2", 5)
ORDER = rollouts.RolloutOrder("s", ID, 16.0, 5)
RUNNING = rollouts.RolloutState.RUNNING
ROLLED_BACK = rollouts.RolloutState.ROLLED_BACK


class Writer:
    """Store of one order, which may be changed by others or away."""

    def __init__(self):
        self.order = ORDER
        self.is_away = False
        self.states = []

    def write(self, order, state):
        if self.is_away:
            return clients.WriteResult(clients.WriteOutcome.UNKNOWN, reason="away")
        if order.revision != self.order.revision:
            return clients.WriteResult(clients.WriteOutcome.CONFLICT, self.order)
        revision = order.revision + 1
        self.order = attrs.evolve(order, state=state, revision=revision)
        self.states.append(state)
        return clients.WriteResult(clients.WriteOutcome.APPLIED, self.order)


class Task:
    def __init__(self, leases, name="h1", order=ORDER):
        views = views_module.Views()
        hosts = {each: _model.Host(each, "z", "x:1") for each in ("h1", "h2")}
        views.replace_fields(hosts_by_name=hosts)
        self.known = rollouts.Rollouts(name, rollouts.Limits(0.1, 50.0))
        self.known.record_orders([order], serving.read_clock())
        self.writer = Writer()
        lease = _task_lease.TaskLease(
            _rollout_states.LEASE_NAME, name, views, leases, serving.read_clock, 3.0
        )
        self.actor = _rollout_states.RolloutStates.start(lease, self.known, self.writer)
        self.begun_s = serving.read_clock()
        self.steps = 0

    def step(self, count=4):
        for _ in range(count):
            self.steps += 1
            now = self.begun_s + 0.5 * self.steps
            self.actor.proxy().step(now).get(timeout=5.0)

    def decide(self, end):
        message = messages.RolloutReply("s", "v2", 5, "h1", True, end=end.value)
        self.known.apply_reply(message, self.begun_s)


@pytest.fixture
def start():
    tasks = []

    def make(*arguments, **options):
        tasks.append(Task(*arguments, **options))
        return tasks[-1]

    yield make
    for task in tasks:
        task.actor.stop()


def test_state_is_written_once(start):
    task = start(lease_objects.FakeLeaseStore())
    task.step(8)
    assert task.writer.states == [RUNNING]
    task.decide(ROLLED_BACK)
    task.step(8)
    assert task.writer.states == [RUNNING, ROLLED_BACK]
    assert task.known.list_pending() == []


def test_state_is_written_as_soon_as_the_store_is_back(start):
    task = start(lease_objects.FakeLeaseStore())
    task.writer.is_away = True
    task.step()
    task.decide(ROLLED_BACK)
    task.step()
    task.writer.is_away = False
    task.step(1)
    assert task.writer.states == [ROLLED_BACK]


def test_order_that_was_changed_meanwhile_gets_its_state(start):
    task = start(lease_objects.FakeLeaseStore())
    task.writer.order = attrs.evolve(ORDER, revision=7, duration_s=20.0)
    task.decide(ROLLED_BACK)
    task.step()
    assert task.writer.order.state is ROLLED_BACK
    assert task.writer.order.duration_s == 20.0


def test_order_for_another_version_does_not_get_the_state(start):
    task = start(lease_objects.FakeLeaseStore())
    other = attrs.evolve(ID, version="v3")
    task.writer.order = attrs.evolve(ORDER, id=other, revision=7)
    task.decide(ROLLED_BACK)
    task.step()
    assert ROLLED_BACK not in task.writer.states


def test_only_the_holder_of_the_lease_writes(start):
    leases = lease_objects.FakeLeaseStore()
    first, second = start(leases, "h1"), start(leases, "h2")
    first.step()
    second.step()
    assert first.writer.states == [RUNNING]
    assert second.writer.states == []


def test_host_that_stops_hands_the_task_over(start):
    leases = lease_objects.FakeLeaseStore()
    first, second = start(leases, "h1"), start(leases, "h2")
    first.step()
    now = serving.read_clock()
    first.actor.ask(_task_messages.Stop(now, now + 5.0), timeout=5.0)
    second.step()
    assert second.writer.states == [RUNNING]


def test_ended_rollout_needs_no_lease(start):
    leases = lease_objects.FakeLeaseStore()
    task = start(leases, order=attrs.evolve(ORDER, state=ROLLED_BACK))
    task.step()
    assert leases.objects == {}


def test_end_is_written_again_to_an_order_of_a_later_era(start):
    task = start(lease_objects.FakeLeaseStore())
    task.decide(ROLLED_BACK)
    task.step()
    created = domain.make_revision(1, 3)
    again = attrs.evolve(ORDER, id=attrs.evolve(ID, created=created), revision=created)
    task.writer.order = again
    task.known.record_orders([again], serving.read_clock())
    task.step()
    assert task.writer.states == [ROLLED_BACK, ROLLED_BACK]
    assert task.writer.order.id == again.id


def test_state_that_another_order_got_is_not_taken_for_written(start):
    task = start(lease_objects.FakeLeaseStore())
    created = domain.make_revision(1, 5)
    other = attrs.evolve(ORDER, id=attrs.evolve(ID, version="v3", created=created))
    other = attrs.evolve(other, revision=domain.make_revision(1, 6))
    result = clients.WriteResult(clients.WriteOutcome.APPLIED, other)
    task.writer.write = lambda order, state: result
    task.decide(ROLLED_BACK)
    task.step(3)
    assert task.known.list_pending() == [other]
