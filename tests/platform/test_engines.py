"""Client of the model engines."""

import json
import threading

import pytest

from sycamorespoke import gateway
from sycamorespoke.platform import _engines
from tests.fakes import scripted_upstream

# Longer than a host waits for the response to an order, shorter than for a report.
READ_TIMEOUT_S = 0.5
REPORT = {"Seq": 3, "Busy": False, "Models": [{"Name": "m", "Version": 2}]}


@pytest.mark.parametrize("is_leaving", [False, True])
def test_report_says_whether_the_engine_is_leaving(is_leaving):
    headers = {"Server-Leaving": "1"} if is_leaving else {}
    body = json.dumps(REPORT).encode()
    server = scripted_upstream.ScriptedUpstream(
        lambda request: scripted_upstream.respond(request, body=body, **headers)
    )
    upstream = gateway.Upstream("i-1", 1, "s", server.address, "dc-1")
    try:
        report = _engines.EngineClient("h1").read_report(upstream)
    finally:
        server.close()
    statements = gateway.Statements(is_leaving=is_leaving)
    assert report == gateway.EngineReport(3, False, {"m": 2}, statements)


class CopyingEngine:
    """Engine that writes its first response once more on the same connection.

    The copy follows when the next request has been received there.
    """

    def __init__(self, *statuses):
        self.statuses = list(statuses)
        self.first_status = statuses[0]
        self._first_connection = None

    def handle(self, request):
        if self._first_connection is None:
            self._first_connection = request.connection
        elif request.connection is self._first_connection:
            self._respond(request, self.first_status)
        self._respond(request, self.statuses.pop(0))

    def _respond(self, request, status):
        scripted_upstream.respond(request, status, json.dumps(REPORT).encode())


@pytest.fixture
def start_copying():
    servers = []

    def start(*statuses):
        engine = CopyingEngine(*statuses)
        servers.append(scripted_upstream.ScriptedUpstream(engine.handle))
        return gateway.Upstream("i-1", 1, "s", servers[-1].address, "dc-1")

    yield start
    for each in servers:
        each.close()


ACCEPTED, FENCED = gateway.OrderOutcome.ACCEPTED, gateway.OrderOutcome.FENCED
BUSY = gateway.OrderOutcome.BUSY


@pytest.mark.parametrize(
    ("statuses", "outcomes"),
    [
        ((412, 202), [FENCED, ACCEPTED]),
        ((202, 412), [ACCEPTED, FENCED]),
        ((202, 409), [ACCEPTED, BUSY]),
    ],
)
def test_copy_of_an_earlier_response_is_not_taken_for_that_to_an_order(
    start_copying, statuses, outcomes
):
    upstream = start_copying(*statuses)
    client = _engines.EngineClient("h1")
    orders = [gateway.VersionOrder("m", 3, fence, 3) for fence in (7, 8)]
    assert [client.order_version(upstream, each).outcome for each in orders] == outcomes


def test_copy_of_a_report_is_not_taken_for_the_response_to_an_order(start_copying):
    upstream = start_copying(200, 202)
    client = _engines.EngineClient("h1")
    assert client.read_report(upstream).orders == 3
    order = gateway.VersionOrder("m", 3, 7, 3)
    assert client.order_version(upstream, order).outcome is ACCEPTED


def test_late_response_to_an_order_does_not_hold_up_the_next_report():
    reported = threading.Event()

    def serve(request):
        if request.command == "GET":
            reported.set()
            body = json.dumps(REPORT).encode()
            scripted_upstream.respond(request, body=body)
            return
        # The response comes once the host has asked for a report.
        reported.wait(READ_TIMEOUT_S)
        scripted_upstream.respond(request, status=202)

    server = scripted_upstream.ScriptedUpstream(serve)
    upstream = gateway.Upstream("i-1", 1, "s", server.address, "dc-1")
    client = _engines.EngineClient("h1")
    order = gateway.VersionOrder("m", 3, 1, 3)
    try:
        result = client.order_version(upstream, order)
        report = client.read_report(upstream)
    finally:
        server.close()
    assert result.outcome is gateway.OrderOutcome.UNKNOWN
    assert report.orders == REPORT["Seq"]
