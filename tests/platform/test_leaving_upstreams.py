"""Several gateway processes before an upstream that says that it is leaving."""

import itertools
import time

import pytest

from tests.fakes import upstream_fleet
from tests.platform import fleet_hosts

pytestmark = pytest.mark.processes
LEAVING = "i-1"
# Bound of the users' platform.
DRAIN_S = 2.0
MAX_TELLING_S = 10.0
BLOCK_NUMBERS = itertools.count()


def list_arrivals_by_port(fleet, caller):
    """Return when requests reached the leaving upstream, by the port of the host."""
    times_by_port = {}
    for each in list(fleet.arrivals):
        if each.upstream == LEAVING:
            port = caller.ports_by_request[each.request_id]
            times_by_port.setdefault(port, []).append(each.at_s)
    return times_by_port


def send_with_new_block(caller):
    return caller.send("aa", f"d{next(BLOCK_NUMBERS):04x}")


def test_host_sends_nothing_to_an_upstream_after_a_response_said_that_it_leaves(
    start_fleet, start_hosts
):
    fleet = start_fleet()
    fleet.leaving_ids.add(LEAVING)
    caller = fleet_hosts.Caller(start_hosts(fleet))
    # Every host passes a response of the leaving upstream on.
    deadline_s = time.monotonic() + MAX_TELLING_S
    while time.monotonic() < deadline_s:
        send_with_new_block(caller)
        if len(list_arrivals_by_port(fleet, caller)) == fleet_hosts.HOSTS:
            break
    told_s_by_port = {
        port: min(times) + upstream_fleet.ANSWER_S
        for port, times in list_arrivals_by_port(fleet, caller).items()
    }
    assert len(told_s_by_port) == fleet_hosts.HOSTS
    ends_s = max(told_s_by_port.values()) + 2 * DRAIN_S
    statuses = []
    while time.monotonic() < ends_s:
        statuses.append(send_with_new_block(caller))
    late = {
        port: sum(at_s > told_s_by_port[port] + DRAIN_S for at_s in times)
        for port, times in list_arrivals_by_port(fleet, caller).items()
    }
    assert sum(late.values()) == 0
    assert set(statuses) == {200}
