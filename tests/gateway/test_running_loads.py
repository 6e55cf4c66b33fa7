"""Engines that load at the same time while orders get no response."""

import attrs
import pytest

from sycamorespoke.gateway import _running_loads
from tests.fakes import rollout_fleet

ENGINES = 9
MAX_LOADS = 3
TIMEOUT_S = 20.0


@attrs.define(eq=False)
class Load:
    model: str = "m"
    is_unanswered: bool = False
    may_run: bool = False

    def may_be_running(self, now):
        return self.may_run


@pytest.mark.parametrize("seed", range(3))
def test_no_more_engines_load_than_may_while_orders_are_lost(seed):
    faults = rollout_fleet.EngineFaults(lost_ratio=0.6)
    fleet = rollout_fleet.RolloutFleet(2, ENGINES, faults, seed)
    try:
        fleet.set_target()
        assert fleet.wait_until(fleet.engines.is_rolled_out, TIMEOUT_S)
    finally:
        fleet.close()
    assert fleet.engines.max_loading <= MAX_LOADS


def test_load_without_a_response_counts_again_only_if_fewer_than_may_run():
    loads = _running_loads.RunningLoads()
    loads.set_limits({"m": 1})
    silent, other = Load(), Load()
    loads.add("i1", silent)
    silent.is_unanswered = True
    loads.add("i2", other)
    assert loads.list_counted() == {"i2"}
    assert loads.list_all() == {"i1", "i2"}
    assert not loads.try_count(silent, 0.0)
    loads.remove("i2")
    assert loads.try_count(silent, 0.0)
    assert loads.list_counted() == {"i1"}


def test_load_without_a_response_gets_no_order_while_the_task_is_handed_over():
    loads = _running_loads.RunningLoads()
    loads.set_limits({"m": 1})
    silent = Load(is_unanswered=True)
    loads.add("i1", silent)
    loads.set_ending()
    assert not loads.try_count(silent, 0.0)
    loads.set_limits({"m": 1})
    assert loads.try_count(silent, 0.0)


def test_orders_without_a_response_may_double_the_loads_at_most():
    loads = _running_loads.RunningLoads()
    loads.set_limits({"m": 2})
    recent = [Load(is_unanswered=True, may_run=True) for _ in range(4)]
    older = Load(is_unanswered=True)
    for number, load in enumerate([*recent, older]):
        loads.add(f"i{number}", load)
    assert not loads.try_count(older, 0.0)
    recent[0].may_run = False
    assert loads.try_count(older, 0.0)


@pytest.mark.parametrize("seed", range(3))
def test_engines_that_carry_out_unanswered_orders_load_at_twice_the_limit_at_most(seed):
    faults = rollout_fleet.EngineFaults(lost_ratio=1.0, late_s=(0.0, 0.05))
    fleet = rollout_fleet.RolloutFleet(2, ENGINES, faults, seed)
    try:
        fleet.set_target()
        assert fleet.wait_until(fleet.engines.is_rolled_out, TIMEOUT_S)
    finally:
        fleet.close()
    assert fleet.engines.max_loading <= 2 * MAX_LOADS
