"""Several gateway processes and a block of prompts that ends upstreams."""

import threading
import time

import pytest

from tests.platform import fleet_hosts, test_program

pytestmark = pytest.mark.processes
# Bounds of the users' platform.
STABILITY_WINDOW_S = 3.0
COUNTED_CRASHES = 5
MAX_ARRIVALS = 3
REQUEST_INTERVAL_S = 0.2
MAX_CRASHING_S = 15.0
SHARED_BLOCK = "aa"
FATAL_BLOCK = "bad0"


def send_both(caller):
    """Send a request with the fatal block and a sound one; return both statuses."""
    statuses = caller.send(SHARED_BLOCK, FATAL_BLOCK), caller.send(SHARED_BLOCK, "cc")
    time.sleep(REQUEST_INTERVAL_S)
    return statuses


def test_block_that_ends_upstreams_stops_reaching_them_from_any_host(
    start_fleet, start_hosts
):
    fleet = start_fleet(fatal_blocks=frozenset({FATAL_BLOCK}))
    caller = fleet_hosts.Caller(start_hosts(fleet))
    deadline_s = time.monotonic() + MAX_CRASHING_S
    while len(fleet.crashes) < COUNTED_CRASHES and time.monotonic() < deadline_s:
        send_both(caller)
    bound_s = fleet.crashes[:COUNTED_CRASHES][-1].at_s + STABILITY_WINDOW_S
    while time.monotonic() < bound_s + STABILITY_WINDOW_S:
        send_both(caller)
    statuses = [send_both(caller) for _ in range(2 * fleet_hosts.HOSTS)]
    assert len(fleet.list_arrivals(FATAL_BLOCK, bound_s)) <= MAX_ARRIVALS
    assert {fatal for fatal, _ in statuses} == {503}
    assert {sound for _, sound in statuses} == {200}


def lose_all_upstreams(fleet, caller, *shared_blocks):
    """Lose every upstream while a request for each host is being answered."""
    arrived = len(fleet.arrivals)
    threads = [
        threading.Thread(target=caller.send, args=shared_blocks)
        for _ in range(fleet_hosts.HOSTS)
    ]
    for thread in threads:
        thread.start()
    assert test_program.wait_until(
        lambda: len(fleet.arrivals) >= arrived + fleet_hosts.HOSTS
    )
    for upstream_id in fleet.list_ids():
        fleet.crash(upstream_id)
    for thread in threads:
        thread.join()


def test_requests_on_upstreams_that_were_lost_for_another_cause_stay_served(
    start_fleet, start_hosts
):
    fleet = start_fleet(answer_s=0.4, restart_s=0.5)
    caller = fleet_hosts.Caller(start_hosts(fleet))
    for _ in range(COUNTED_CRASHES):
        lose_all_upstreams(fleet, caller, SHARED_BLOCK, "dd")
        # A single host sees that the block is sound.
        assert test_program.wait_until(lambda: caller.send(SHARED_BLOCK, "dd") == 200)
    time.sleep(STABILITY_WINDOW_S)
    statuses = [caller.send(SHARED_BLOCK, "dd") for _ in range(2 * fleet_hosts.HOSTS)]
    assert statuses == [200] * (2 * fleet_hosts.HOSTS)
    assert len(fleet.crashes) == COUNTED_CRASHES * fleet_hosts.UPSTREAMS
