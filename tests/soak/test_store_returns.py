"""Tests of returns of the soak's store from an older copy, and of their checks."""

import attrs
import pytest

from tests.fakes import object_store
from tests.soak import (
    configuration_guarantees,
    faults,
    host_entry_guarantees,
    order_guarantees,
    probes,
    return_plans,
    run,
    run_log,
    store_copies,
    store_returns,
    weight_guarantees,
)

ORDER = run_log.Order("i-4-1", 10.0, "h0", 1)
OTHER = attrs.evolve(ORDER, at_s=11.0, holder="h1", fence=2)
PROBE = probes.Probe("h0", 1, 3, 22.6, 22.7, False)
ACK = probes.Ack(3, 20.0)
RETURN = store_returns.StoreReturn(20.1, 20.2)


@pytest.fixture
def store():
    store = object_store.FakeObjectStore(era=1)
    yield store
    store.close()


def test_runs_begin_with_a_rollout_in_which_the_store_comes_back():
    for seed in range(20):
        planned = return_plans.plan_returns(seed, 15.0, 3)
        assert planned == return_plans.plan_returns(seed, 15.0, 3)
        assert run.plan(seed, 5.0)[: len(planned)] == planned
        returns = [each for each in planned if each.fault is faults.Fault.STORE_RETURNS]
        assert 1 <= len(returns) <= 2
        assert all(0.3 <= each.duration_s <= 1.5 for each in returns)
        assert all(0.0 <= each.at_s <= each.ends_s <= 15.0 for each in planned)


def test_store_returns_alone_twice_and_beside_disturbed_hosts():
    kinds = set()
    for seed in range(20):
        planned = return_plans.plan_returns(seed, 15.0, 3)
        kinds.add(
            tuple(
                each.fault
                for each in planned
                if each.fault.value.startswith(("host", "holder"))
                or each.fault is faults.Fault.STORE_RETURNS
            )
        )
    store_return = faults.Fault.STORE_RETURNS
    assert kinds == {
        (store_return,),
        (store_return, store_return),
        (store_return, faults.Fault.HOST_PAUSE),
        (store_return, faults.Fault.HOST_KILL),
        (store_return, faults.Fault.HOLDER_STOP),
    }


def test_copies_are_found_by_their_age(store):
    keeper = store_copies.CopyKeeper(store)
    first = keeper.find(0.0)
    store.put("config", "main", {})
    keeper.start()
    while keeper.find(0.0) == first:
        pass
    keeper.stop_requested.set()
    keeper.join()
    assert keeper.find(60.0) == first
    assert keeper.find(0.0).revision == store.revision


def test_revision_is_given_out_to_the_next_change(store):
    store.advance(17)
    assert store.put("config", "main", {})["Metadata"]["Revision"] == 18
    store.advance(3)
    assert store.put("config", "main", {})["Metadata"]["Revision"] == 19


@pytest.mark.parametrize(
    ("orders", "count"),
    [
        ([ORDER, OTHER], 0),
        ([ORDER, attrs.evolve(ORDER, upstream="i-5-1", at_s=9.0, fence=2)], 0),
        ([ORDER, attrs.evolve(ORDER, holder="h1", upstream="i-5-1")], 1),
        ([ORDER, attrs.evolve(OTHER, at_s=9.0)], 1),
        ([ORDER, attrs.evolve(OTHER, at_s=9.0, upstream="i-4-2")], 0),
    ],
)
def test_shared_or_falling_fencing_number_is_reported(orders, count):
    assert len(order_guarantees.check_fences(orders)) == count


def test_holders_that_take_turns_are_reported():
    back = attrs.evolve(ORDER, at_s=15.9, fence=3)
    assert len(order_guarantees.check_turns([ORDER, OTHER, back], {})) == 1
    late = attrs.evolve(back, at_s=16.0)
    assert order_guarantees.check_turns([ORDER, OTHER, late], {}) == []
    assert order_guarantees.check_turns([ORDER, back], {}) == []
    # One that stops releases its lease, a third one does not excuse them.
    orders = [ORDER, OTHER, back]
    assert order_guarantees.check_turns(orders, {"h1": [12.0]}) == []
    assert order_guarantees.check_turns(orders, {"h1": [9.0], "h2": [12.0]})


def check_routes(probe, returns=(), **disturbances):
    return configuration_guarantees.check_added_routes(
        [probe], [ACK], returns, weight_guarantees.Disturbances(**disturbances)
    )


def test_added_route_that_is_unknown_is_reported():
    assert len(check_routes(PROBE)) == 1
    assert check_routes(attrs.evolve(PROBE, sent_s=22.4)) == []
    assert check_routes(attrs.evolve(PROBE, version=4)) == []
    assert check_routes(attrs.evolve(PROBE, is_in_force=True)) == []
    assert len(check_routes(attrs.evolve(PROBE, version=2))) == 1


@pytest.mark.parametrize(
    ("excused", "reported"),
    [
        (
            {"processes_s_by_host": {"h0": [17.2]}},
            {"processes_s_by_host": {"h0": [17.0]}},
        ),
        ({"links_s_by_host": {"h0": [22.0]}}, {"links_s_by_host": {"h1": [22.0]}}),
        # A store that was back before the write is no reason.
        ({"store_s": [20.2]}, {"store_s": [19.9]}),
        ({"returns": [RETURN]}, {"returns": [attrs.evolve(RETURN, away_s=19.0)]}),
    ],
)
def test_only_disturbances_since_the_write_excuse_an_unknown_route(excused, reported):
    assert check_routes(PROBE, **excused) == []
    assert len(check_routes(PROBE, **reported)) == 1


def test_version_that_is_taken_back_is_reported():
    served = attrs.evolve(PROBE, sent_s=20.0, ended_s=20.1, is_in_force=True)
    assert len(configuration_guarantees.check_versions_kept([served, PROBE])) == 1
    older = attrs.evolve(PROBE, version=2)
    assert len(configuration_guarantees.check_versions_kept([served, older])) == 1
    for other in (
        attrs.evolve(PROBE, version=4),
        attrs.evolve(PROBE, start=2),
        attrs.evolve(PROBE, host="h1"),
        attrs.evolve(PROBE, sent_s=20.05),
    ):
        assert configuration_guarantees.check_versions_kept([served, other]) == []


def check_entries(names, at_s=25.3, **disturbances):
    return host_entry_guarantees.check_entries(
        [RETURN],
        [store_copies.HostList(at_s, frozenset(names))],
        {"h0", "h1"},
        weight_guarantees.Disturbances(**disturbances),
    )


def test_host_without_an_entry_after_a_return_is_reported():
    assert check_entries({"h0", "h1"}) == []
    assert len(check_entries({"h0"})) == 1
    assert check_entries({"h0"}, at_s=25.1) == []
    assert check_entries({"h0"}, processes_s_by_host={"h1": [17.3]}) == []
    assert check_entries({"h0"}, links_s_by_host={"h1": [25.0]}) == []
    assert check_entries({"h0"}, store_s=[25.0]) == []
    # Its own return, and another host, excuse nothing.
    assert check_entries({"h0"}, store_s=[20.1, 20.2])
    assert check_entries({"h0"}, processes_s_by_host={"h0": [22.0], "h1": [17.1]})
