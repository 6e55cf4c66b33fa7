"""Several gateway processes before upstreams that ask them to back off."""

import itertools
import time

import pytest

from tests.fakes import upstream_fleet
from tests.platform import fleet_hosts, test_program

pytestmark = pytest.mark.processes
OVERLOADED = "i-1"
BACKOFF_S = 6.0
# Bounds of the users' platform.
UNBOUND_S = 0.5
MAX_REQUESTS = 2
MAX_TELLING_S = 10.0
BLOCK_NUMBERS = itertools.count()


def send_one(caller):
    """Send a request of the next kind: a stream, a lookup or a booking."""
    number = next(BLOCK_NUMBERS)
    if number % 3 == 0:
        return caller.send_plain(upstream_fleet.SAFE_ROUTE, b"ask")
    if number % 3 == 1:
        return caller.send_plain(upstream_fleet.UNSAFE_ROUTE, b"ask")
    return caller.send("aa", f"d{number:04x}")


def list_arrivals_by_port(fleet, caller):
    """Return when requests reached the overloaded upstream, by the port of the host."""
    times_by_port = {}
    for each in list(fleet.arrivals):
        if each.upstream == OVERLOADED:
            port = caller.ports_by_request[each.request_id]
            times_by_port.setdefault(port, []).append(each.at_s)
    return times_by_port


def tell_every_host(fleet, caller):
    """Send requests until each host has been refused by the overloaded upstream.

    Returns
    -------
    dict of int to float
        When each host was refused, by its port.
    """
    deadline_s = time.monotonic() + MAX_TELLING_S
    while time.monotonic() < deadline_s:
        send_one(caller)
        if len(list_arrivals_by_port(fleet, caller)) == fleet_hosts.HOSTS:
            break
    arrivals_by_port = list_arrivals_by_port(fleet, caller)
    assert len(arrivals_by_port) == fleet_hosts.HOSTS
    return {port: min(times) for port, times in arrivals_by_port.items()}


def test_upstream_gets_no_requests_of_a_host_before_its_retry_after_has_passed(
    start_fleet, start_hosts
):
    fleet = start_fleet()
    fleet.backoffs_by_id[OVERLOADED] = str(BACKOFF_S)
    caller = fleet_hosts.Caller(start_hosts(fleet))
    told_s_by_port = tell_every_host(fleet, caller)
    ends_s = min(told_s_by_port.values()) + BACKOFF_S
    statuses = []
    while time.monotonic() < ends_s:
        statuses.append(send_one(caller))
    # Those of each host between half a second after the refusal and the end.
    counts_by_port = {
        port: sum(
            told_s_by_port[port] + UNBOUND_S < at_s < told_s_by_port[port] + BACKOFF_S
            for at_s in times
        )
        for port, times in list_arrivals_by_port(fleet, caller).items()
    }
    assert max(counts_by_port.values()) <= MAX_REQUESTS
    assert set(statuses) == {200}
    # It is used again once the time has passed.
    del fleet.backoffs_by_id[OVERLOADED]
    ended_s = time.monotonic()
    assert test_program.wait_until(
        lambda: send_one(caller) and fleet.list_arrival_times(OVERLOADED, ended_s)
    )


def test_callers_are_refused_at_once_while_every_upstream_wants_a_backoff(
    start_fleet, start_hosts
):
    fleet = start_fleet()
    for upstream_id in fleet.list_ids():
        fleet.backoffs_by_id[upstream_id] = str(BACKOFF_S)
    caller = fleet_hosts.Caller(start_hosts(fleet))
    begun_s = time.monotonic()
    statuses = []
    while time.monotonic() < begun_s + BACKOFF_S:
        statuses.append(send_one(caller))
    assert set(statuses) == {503}
    first_s_by_pair, late_by_pair = {}, {}
    for each in list(fleet.arrivals):
        pair = (each.upstream, caller.ports_by_request[each.request_id])
        told_s = first_s_by_pair.setdefault(pair, each.at_s)
        is_late = told_s + UNBOUND_S < each.at_s < told_s + BACKOFF_S
        late_by_pair[pair] = late_by_pair.get(pair, 0) + is_late
    assert max(late_by_pair.values()) <= MAX_REQUESTS
