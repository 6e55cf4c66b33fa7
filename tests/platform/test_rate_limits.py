"""Several gateway processes before an upstream that states a rate limit."""

import bisect
import concurrent.futures
import itertools
import time

import pytest

from tests.platform import fleet_hosts, test_program

pytestmark = pytest.mark.processes
LIMITED = "i-1"
LIMIT_PER_S = 2.0
# Bounds of the users' platform.
STABILITY_WINDOW_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
REQUEST_INTERVAL_S = 0.02
BLOCK_NUMBERS = itertools.count()


def send_for(caller, seconds):
    """Send requests with ever new prompts for a time; return their statuses."""
    ends_s = time.monotonic() + seconds
    futures = []
    with concurrent.futures.ThreadPoolExecutor(16) as executor:
        while time.monotonic() < ends_s:
            block = f"d{next(BLOCK_NUMBERS):04x}"
            futures.append(executor.submit(caller.send, "aa", block))
            time.sleep(REQUEST_INTERVAL_S)
    return [future.result() for future in futures]


def count_most_in_window(times):
    times = sorted(times)
    return max(
        (
            bisect.bisect_left(times, start_s + WINDOW_S) - number
            for number, start_s in enumerate(times)
        ),
        default=0,
    )


def test_upstream_gets_no_more_than_its_stated_rate_limit_from_all_hosts(
    start_fleet, start_hosts
):
    fleet = start_fleet()
    fleet.rate_limits_by_id[LIMITED] = str(LIMIT_PER_S)
    caller = fleet_hosts.Caller(start_hosts(fleet))
    begun_s = time.monotonic()
    statuses = send_for(caller, STABILITY_WINDOW_S + 2 * WINDOW_S)
    times = fleet.list_arrival_times(LIMITED, begun_s + STABILITY_WINDOW_S)
    max_requests = TOLERANCE * LIMIT_PER_S * WINDOW_S + SLACK
    assert count_most_in_window(times) <= max_requests
    # It still gets work, and the other upstreams serve the rest.
    assert len(times) >= LIMIT_PER_S * WINDOW_S / 2
    assert set(statuses) == {200}
    # Once it states no limit any more, it gets its share again.
    del fleet.rate_limits_by_id[LIMITED]
    ended_s = time.monotonic()
    assert test_program.wait_until(
        lambda: (
            send_for(caller, 1.0)
            and count_most_in_window(fleet.list_arrival_times(LIMITED, ended_s))
            > max_requests
        )
    )
