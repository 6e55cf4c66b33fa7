"""Rollouts by a fleet of hosts in simulated time: bounds, verdicts, failing hosts."""

import pytest

from sycamorespoke import rollouts
from sycamorespoke.rollouts import _share
from tests.fakes import software_fleet

COMPLETED = rollouts.RolloutState.COMPLETED
ROLLED_BACK = rollouts.RolloutState.ROLLED_BACK


def fail(fleet, upstream, route):
    return "errors"


def slow(fleet, upstream, route):
    return "slow"


def fail_one_route(fleet, upstream, route):
    return "errors" if route == "long" else None


def fail_late(fleet, upstream, route):
    return "errors" if fleet.now > fleet.ordered_s + 5.0 else None


def fail_while_moving(fleet, upstream, route):
    is_moving = any(
        host.rollouts.dump(fleet.now)["s"]["fraction"] > 0.3
        for host in fleet.hosts_by_name.values()
    )
    return "errors" if is_moving else None


BADNESSES = [fail, slow, fail_one_route, fail_late, fail_while_moving]


def start(**options):
    fleet = software_fleet.SoftwareFleet(**options)
    fleet.run(2.0)
    fleet.order()
    return fleet


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "sizes",
    [
        {"host_count": 9, "requests_per_s": 200.0},
        {"host_count": 90, "requests_per_s": 170.0, "upstream_count": 4},
        {"host_count": 60, "requests_per_s": 650.0, "upstream_count": 45},
    ],
)
def test_good_version_is_completed_in_time(sizes, seed):
    fleet = start(seed=seed, **sizes)
    fleet.run(fleet.duration_s - 0.3)
    assert fleet.stored.state is COMPLETED


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("badness", BADNESSES)
@pytest.mark.parametrize(
    "sizes",
    [
        {"host_count": 9, "requests_per_s": 200.0},
        {"host_count": 90, "requests_per_s": 170.0, "upstream_count": 4},
        {"host_count": 60, "requests_per_s": 650.0, "upstream_count": 45},
    ],
)
def test_bad_version_is_rolled_back_within_its_bounds(sizes, badness, seed):
    fleet = start(find_badness=badness, seed=seed, **sizes)
    fleet.run(fleet.duration_s)
    assert fleet.stored.state is ROLLED_BACK
    assert fleet.is_within_bounds()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("badness", BADNESSES)
def test_bounds_hold_while_holders_die_and_hosts_restart(badness, seed):
    fleet = start(find_badness=badness, seed=seed, host_count=30)
    for number in range(8):
        fleet.run(1.5)
        names = {fleet.holder, f"h{number}", f"h{number + 9}"} & fleet.alive
        for name in names:
            fleet.kill_host(name)
        fleet.run(0.5)
        for name in names:
            fleet.start_host(name)
    # The lease of the last holder lapses, and the next one waits for reports.
    fleet.run(8.0)
    assert fleet.is_within_bounds()
    assert fleet.stored.state is ROLLED_BACK


@pytest.mark.parametrize("badness", BADNESSES)
def test_bounds_hold_while_the_store_is_away(badness):
    fleet = start(find_badness=badness, host_count=30)
    fleet.run(1.0)
    fleet.is_store_away = True
    fleet.run(6.0)
    fleet.is_store_away = False
    fleet.run(12.0)
    assert fleet.is_within_bounds()
    assert fleet.stored.state is ROLLED_BACK


@pytest.mark.parametrize("badness", BADNESSES)
def test_bounds_hold_while_hosts_are_cut_from_the_others(badness):
    fleet = start(find_badness=badness, host_count=30)
    fleet.run(4.0)
    fleet.cut = {f"h{number}" for number in range(10)}
    fleet.run(14.0)
    assert fleet.is_within_bounds()
    assert fleet.stored.state is ROLLED_BACK


def test_host_that_is_cut_off_while_its_version_is_bad_sends_it_nothing_more():
    fleet = start(find_badness=fail_late, host_count=10)
    fleet.run(4.0)
    fleet.cut = {"h3"}
    fleet.run(2.5)
    known = fleet.hosts_by_name["h3"].rollouts
    tried = known.dump(fleet.now)["s"]["tried"]
    fleet.run(3.0)
    assert known.dump(fleet.now)["s"]["tried"] == tried


def test_uneven_traffic_and_hosts_that_join_keep_the_share():
    fleet = start(host_count=40, requests_per_s=300.0)
    for number in range(40):
        fleet.weights_by_host[f"h{number}"] = 1.0 / (number + 1)
    fleet.run(3.0)
    for number in range(40, 60):
        fleet.start_host(f"h{number}")
    fleet.set_registered(sorted(fleet.alive))
    fleet.run(5.0)
    assert 20 <= fleet.exposed <= fleet.share * fleet.requests + fleet.slack


def test_good_version_is_completed_while_the_holder_dies():
    fleet = start(host_count=9)
    fleet.run(3.0)
    fleet.kill_host(fleet.holder)
    fleet.set_registered(sorted(fleet.alive))
    fleet.run(12.5)
    assert fleet.stored.state is COMPLETED


@pytest.mark.parametrize("seed", range(4))
def test_good_version_is_completed_while_requests_fail_at_both(seed):
    fleet = start(host_count=30, seed=seed, failing_share=0.08)
    fleet.run(fleet.duration_s - 0.3)
    assert fleet.stored.state is COMPLETED


def test_no_request_runs_at_the_old_version_when_it_ends():
    fleet = start(host_count=20)
    while fleet.stored.state is not COMPLETED:
        fleet.run(software_fleet.STEP_S)
    versions = {item[3].upstream.software_version for item in fleet.running}
    assert versions == {software_fleet.NEW}
    fleet.run(1.0)
    versions = {item[3].upstream.software_version for item in fleet.running}
    assert versions == {software_fleet.NEW}


def test_without_a_judge_the_version_gets_no_request():
    fleet = start(find_badness=fail)
    fleet._free_since_s = float("inf")
    fleet.run(fleet.duration_s)
    assert fleet.exposed == 0


def test_without_the_share_the_bound_is_broken(monkeypatch):
    monkeypatch.setattr(_share, "may_try", lambda *arguments: True)
    monkeypatch.setattr(rollouts.Judge, "step", lambda *arguments: None)
    fleet = start(find_badness=fail_late, host_count=30)
    fleet.run(4.0)
    assert not fleet.is_within_bounds()


def test_version_that_was_rolled_back_stays_so_after_an_older_copy():
    fleet = start(find_badness=fail)
    fleet.run(8.0)
    assert fleet.stored.state is ROLLED_BACK
    known = fleet.hosts_by_name["h1"].rollouts
    older = rollouts.RolloutOrder("s", fleet.stored.id, 16.0, 5)
    known.record_orders([older], fleet.now)
    assert known.get_end(fleet.stored.id) is ROLLED_BACK


def test_host_that_starts_after_the_end_follows_the_stored_state():
    fleet = start(find_badness=fail)
    fleet.run(8.0)
    fleet.start_host("h99")
    exposed = fleet.exposed
    fleet.weights_by_host = dict.fromkeys(fleet.hosts_by_name, 0.0) | {"h99": 1.0}
    fleet.run(2.0)
    assert fleet.exposed == exposed
