"""Several gateway processes and a request that ends upstreams, sent again and again."""

import itertools
import time

import pytest

from tests.fakes import upstream_fleet
from tests.platform import fleet_hosts

pytestmark = pytest.mark.processes
# Bounds of the users' platform.
STABILITY_WINDOW_S = 3.0
COUNTED_CRASHES = 3
MAX_ARRIVALS = 3
REQUEST_INTERVAL_S = 0.1
MAX_CRASHING_S = 15.0
FATAL_BODY = b"bad"
SOUND_NUMBERS = itertools.count()


def send_both(caller, route):
    """Send the fatal request and a sound one; return both statuses."""
    sound_body = f"sound {next(SOUND_NUMBERS)}".encode()
    statuses = (
        caller.send_plain(route, FATAL_BODY),
        caller.send_plain(route, sound_body),
    )
    time.sleep(REQUEST_INTERVAL_S)
    return statuses


@pytest.mark.parametrize(
    "route", [upstream_fleet.SAFE_ROUTE, upstream_fleet.UNSAFE_ROUTE]
)
def test_request_that_ends_upstreams_before_they_respond_stops_reaching_them(
    start_fleet, start_hosts, route
):
    fleet = start_fleet(fatal_bodies=frozenset({FATAL_BODY}))
    caller = fleet_hosts.Caller(start_hosts(fleet))
    deadline_s = time.monotonic() + MAX_CRASHING_S
    while len(fleet.crashes) < COUNTED_CRASHES and time.monotonic() < deadline_s:
        send_both(caller, route)
    bound_s = fleet.crashes[:COUNTED_CRASHES][-1].at_s + STABILITY_WINDOW_S
    while time.monotonic() < bound_s + STABILITY_WINDOW_S:
        send_both(caller, route)
    statuses = [send_both(caller, route) for _ in range(2 * fleet_hosts.HOSTS)]
    assert len(fleet.list_body_arrivals(FATAL_BODY, bound_s)) <= MAX_ARRIVALS
    assert {fatal for fatal, _ in statuses} == {503}
    assert {sound for _, sound in statuses} == {200}
