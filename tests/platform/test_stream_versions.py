"""Several gateway processes before upstreams of two software versions."""

import http.client
import itertools
import json
import re
import time

import pytest

from tests.fakes import in_process_gateway, upstream_fleet
from tests.platform import fleet_hosts, test_program

pytestmark = pytest.mark.processes
STREAMS = 24
VERSIONS = ("v1", "v2")
NUMBERS = itertools.count()
# Streams that began so long before a loss of all hosts may go on.
WRITTEN_S = 1.0


def send(gateway, route, **headers):
    """Send a request for a stream.

    Returns
    -------
    tuple of (str, int or None, list of int)
        ID of the request, status and IDs of the events that arrived.
    """
    request_id = f"try-{next(NUMBERS)}"
    port = gateway.ports["listen"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    status, body = None, b""
    try:
        in_process_gateway.send_request(
            connection,
            f"/{route}/x",
            X_Sycamorespoke_Request_Id=request_id,
            **headers,
        )
        response = connection.getresponse()
        status = response.status
        while chunk := response.read1(4096):
            body += chunk
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return request_id, status, [int(each) for each in re.findall(rb"id: (\d+)\n", body)]


def resume(gateway, first_id, last_event_id):
    return send(
        gateway,
        upstream_fleet.BROKEN_ROUTE,
        Resumes=first_id,
        Last_Event_Id=str(last_event_id),
    )


def start_acquainted(start_hosts, fleet):
    """Start hosts and wait until each knows the others."""
    gateways = start_hosts(fleet)

    def count_hosts(gateway):
        return len(json.loads(gateway.get("operators", "/dump")[1])["hosts"])

    for gateway in gateways:
        assert test_program.wait_until(
            lambda each=gateway: count_hosts(each) == len(gateways)
        )
    return gateways


def list_versions(fleet, request_id):
    """Return the versions of the upstreams that a request reached."""
    return {
        fleet.versions_by_id[each.upstream]
        for each in list(fleet.arrivals)
        if each.request_id == request_id
    }


def begin_streams(fleet, gateways):
    """Begin streams that break off; return the first tries and their hosts."""
    firsts = []
    for number in range(STREAMS):
        gateway = gateways[number % len(gateways)]
        request_id, _, events = send(gateway, upstream_fleet.BROKEN_ROUTE)
        assert events == [1, 2]
        firsts.append((request_id, gateway))
    began = {version for each, _ in firsts for version in list_versions(fleet, each)}
    assert began == set(VERSIONS)
    return firsts


def check_resumed(fleet, firsts, choose_host):
    """Resume each stream at another host; count those that go on and those mixed."""
    mixed, completed = 0, 0
    for first_id, first_host in firsts:
        request_id, status, events = resume(choose_host(first_host), first_id, 2)
        versions = list_versions(fleet, first_id) | list_versions(fleet, request_id)
        mixed += len(versions) > 1
        completed += (status, events) == (200, [3, 4])
    return mixed, completed


def test_stream_goes_on_at_the_software_version_that_began_it(start_fleet, start_hosts):
    fleet = start_fleet(software_versions=VERSIONS)
    gateways = start_hosts(fleet)
    mixed, completed = 0, 0
    for number in range(STREAMS):
        gateway = gateways[number % len(gateways)]
        request_id, status, events = send(gateway, upstream_fleet.RESUMABLE_ROUTE)
        mixed += len(list_versions(fleet, request_id)) > 1
        completed += (status, events) == (200, [1, 2, 3, 4])
    assert mixed == 0
    # The retry budget does not cover all of them; by the contract half must go on.
    assert completed >= STREAMS / 2


def test_caller_resumes_a_stream_of_another_host_at_its_software_version(
    start_fleet, start_hosts
):
    fleet = start_fleet(software_versions=VERSIONS)
    gateways = start_acquainted(start_hosts, fleet)

    def choose_next(host):
        return gateways[(gateways.index(host) + 1) % len(gateways)]

    firsts = begin_streams(fleet, gateways)
    assert check_resumed(fleet, firsts, choose_next) == (0, STREAMS)


def test_caller_resumes_a_stream_of_a_killed_host_while_the_store_is_away(
    start_fleet, start_hosts
):
    fleet = start_fleet(software_versions=VERSIONS)
    gateways = start_acquainted(start_hosts, fleet)
    firsts = begin_streams(fleet, gateways[:1])
    fleet.store.is_unavailable = True
    gateways[0].process.kill()
    gateways[0].process.wait()
    others = itertools.cycle(gateways[1:])
    assert check_resumed(fleet, firsts, lambda _: next(others)) == (0, STREAMS)


def lose_all_hosts(fleet, gateways, folder):
    """Kill all hosts at once and start them again; return the new processes."""
    for gateway in gateways:
        gateway.process.kill()
    for gateway in gateways:
        gateway.process.wait()
    folder.mkdir()
    started = []
    try:
        fleet_hosts.start_hosts(fleet, folder, started)
    finally:
        # The fixture ends these too.
        gateways += started
    return started


def test_streams_go_on_at_their_software_version_after_all_hosts_were_lost(
    start_fleet, start_hosts, tmp_path
):
    fleet = start_fleet(software_versions=VERSIONS)
    gateways = start_acquainted(start_hosts, fleet)
    firsts = begin_streams(fleet, gateways)
    time.sleep(WRITTEN_S)
    others = itertools.cycle(lose_all_hosts(fleet, gateways, tmp_path / "again"))
    mixed, completed = check_resumed(fleet, firsts, lambda _: next(others))
    assert mixed == 0
    # Of the contract, as if every new stream began.
    assert completed >= STREAMS / 2


def test_stream_that_no_host_knows_is_refused(start_fleet, start_hosts):
    fleet = start_fleet(software_versions=VERSIONS)
    gateways = start_hosts(fleet)
    begun_s = time.monotonic()
    for first_id in ("never", ""):
        _, status, _ = resume(gateways[0], first_id, 2)
        assert status == 503
    assert time.monotonic() - begun_s < 2.0
    assert fleet.arrivals == []
