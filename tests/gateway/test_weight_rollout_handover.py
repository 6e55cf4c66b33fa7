"""A host that stops hands the rollout over without orders of two hosts at once."""

import random

import pytest

from sycamorespoke import serving
from sycamorespoke.gateway import _task_messages
from tests.fakes import rollout_fleet

TIMEOUT_S = 15.0
# The grace period of a shutdown, less the margins.
GRACE_S = 8.0


@pytest.fixture
def start_fleet():
    fleets = []

    def start(*arguments, **options):
        fleets.append(rollout_fleet.RolloutFleet(*arguments, **options))
        return fleets[-1]

    yield start
    for fleet in fleets:
        fleet.close()


def stop_host(host):
    host.stop(serving.read_clock() + GRACE_S)


def start_rollout(fleet):
    """Name the version; return the host that first orders a load."""
    fleet.set_target()
    assert fleet.wait_until(lambda: fleet.engines.sent_orders, TIMEOUT_S)
    return fleet.hosts_by_name[fleet.engines.sent_orders[0].host]


def list_senders(fleet):
    return {order.host for order in fleet.engines.sent_orders}


def test_other_host_goes_on_before_the_lease_of_a_stopping_one_would_end(start_fleet):
    faults = rollout_fleet.EngineFaults(lost_ratio=0.3)
    fleet = start_fleet(4, 9, faults)
    first = start_rollout(fleet)
    stopped_s = serving.read_clock()
    stop_host(first)
    assert fleet.wait_until(lambda: len(list_senders(fleet)) > 1, TIMEOUT_S)
    other_s = min(
        order.received_s
        for order in fleet.engines.sent_orders
        if order.host != first.name
    )
    assert other_s - stopped_s < rollout_fleet.LEASE_S
    assert fleet.wait_until(fleet.engines.is_rolled_out, TIMEOUT_S)
    assert fleet.list_fence_breaches() == []
    assert fleet.list_turns() == []


def test_host_sends_no_order_after_it_released_the_lease(start_fleet):
    faults = rollout_fleet.EngineFaults(lost_ratio=1.0)
    fleet = start_fleet(3, 5, faults)
    first = start_rollout(fleet)
    stop_host(first)
    assert fleet.wait_until(lambda: fleet.store.holders[-1][1] == "", TIMEOUT_S)
    released_s = fleet.store.holders[-1][0]
    assert fleet.wait_until(lambda: len(list_senders(fleet)) > 1, TIMEOUT_S)
    assert not first.task_lease.is_held()
    last_s = max(
        order.received_s
        for order in fleet.engines.sent_orders
        if order.host == first.name
    )
    # The last order had timed out, too.
    assert last_s < released_s


def test_engine_that_the_last_holder_ordered_gets_no_order_of_the_next_too_soon(
    start_fleet,
):
    faults = rollout_fleet.EngineFaults(lost_ratio=1.0)
    fleet = start_fleet(3, 4, faults)
    first = start_rollout(fleet)
    stop_host(first)

    def is_ordered_twice():
        return any(
            {order.engine for order in fleet.engines.sent_orders if order.host == name}
            & {
                order.engine
                for order in fleet.engines.sent_orders
                if order.host == first.name
            }
            for name in list_senders(fleet) - {first.name}
        )

    assert fleet.wait_until(is_ordered_twice, TIMEOUT_S)
    assert fleet.list_fence_breaches() == []
    assert fleet.list_turns() == []


def test_stopping_hosts_acquire_the_lease_if_no_other_host_is_registered(start_fleet):
    faults = rollout_fleet.EngineFaults(lost_ratio=0.5)
    fleet = start_fleet(3, 9, faults)
    start_rollout(fleet)
    for host in fleet.hosts_by_name.values():
        stop_host(host)
    assert fleet.wait_until(fleet.engines.is_rolled_out, GRACE_S)
    assert fleet.list_fence_breaches() == []
    assert fleet.list_turns() == []


def test_lease_is_released_at_the_end_of_the_grace_period_if_no_host_is_left(
    start_fleet,
):
    faults = rollout_fleet.EngineFaults(lost_ratio=1.0)
    fleet = start_fleet(1, 3, faults)
    host = start_rollout(fleet)
    release_at_s = serving.read_clock() + 1.0
    host.stop(release_at_s)
    assert fleet.wait_until(lambda: fleet.store.holders[-1][1] == "", TIMEOUT_S)
    assert fleet.store.holders[-1][0] >= release_at_s
    # A host that starts then does not wait for the lease to end.
    fleet.start_host("h9")
    started_s = serving.read_clock()
    assert fleet.wait_until(lambda: fleet.store.holders[-1][1] == "h9", TIMEOUT_S)
    assert fleet.store.holders[-1][0] - started_s < rollout_fleet.LEASE_S


def test_release_that_the_store_does_not_confirm_ends_the_orders_all_the_same(
    start_fleet,
):
    faults = rollout_fleet.EngineFaults(lost_ratio=1.0)
    fleet = start_fleet(2, 3, faults)
    first = start_rollout(fleet)
    first.is_cut = True
    stop_host(first)
    assert fleet.wait_until(lambda: not first.task_lease.is_held(), TIMEOUT_S)
    count = sum(order.host == first.name for order in fleet.engines.sent_orders)
    # The other host waits for the lease to end, and then orders.
    assert fleet.wait_until(lambda: len(list_senders(fleet)) > 1, TIMEOUT_S)
    assert count == sum(order.host == first.name for order in fleet.engines.sent_orders)
    assert fleet.list_fence_breaches() == []


@pytest.mark.parametrize("seed", range(4))
def test_no_engine_gets_orders_of_two_holders_while_holders_stop_in_turn(
    start_fleet, seed
):
    generator = random.Random(seed)
    faults = rollout_fleet.EngineFaults(lost_ratio=0.6, late_s=(0.2, 4.0))
    fleet = start_fleet(5, 9, faults, seed)
    start_rollout(fleet)
    for _ in range(3):
        if not fleet.wait_until(fleet.find_holder, TIMEOUT_S):
            break
        fleet.wait_until(lambda: False, generator.uniform(0.0, 0.8))
        holder = fleet.find_holder()
        if holder is not None and not holder.is_stopping:
            stop_host(holder)
        if fleet.engines.is_rolled_out():
            break
    assert fleet.wait_until(fleet.engines.is_rolled_out, 2 * TIMEOUT_S)
    assert fleet.list_fence_breaches() == []
    assert fleet.list_turns() == []


def test_stop_is_handled_while_there_is_no_work(start_fleet):
    fleet = start_fleet(2, 3)
    host = fleet.hosts_by_name["h0"]
    host.actor.ask(_task_messages.Stop(0.0, GRACE_S), timeout=TIMEOUT_S)
    assert fleet.store.objects == {}
