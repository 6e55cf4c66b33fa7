"""Streams whose callers do not read them, so that the upstream cuts them."""

import threading
import time

import pytest

from sycamorespoke import serving
from sycamorespoke.gateway import _stream_body
from tests.fakes import in_process_gateway, scripted_upstream

CHUNK_BYTES = 65536
STREAM_CHUNKS = 640
CUT_TIMEOUT_S = 8.0


def stream_until_unread(patience_s, is_cut):
    """Make an upstream that cuts a long stream once nobody has read for some time."""

    def stream(request):
        request.connection.settimeout(patience_s)
        scripted_upstream.start_stream(request)
        number = 0
        try:
            for _ in range(STREAM_CHUNKS):
                events = scripted_upstream.encode_events(number + 1, number + 200)
                number += 200
                scripted_upstream.send_chunk(request, events.ljust(CHUNK_BYTES, b":"))
        except TimeoutError:
            is_cut.set()
            raise
        request.connection.close()

    return stream


@pytest.fixture
def make_gateway(harness, monkeypatch):
    monkeypatch.setattr(_stream_body, "UNREAD_S", 0.3)

    def make(patience_s, is_cut):
        upstreams = [
            harness.start_upstream(
                stream_until_unread(patience_s, is_cut), f"i-{number}"
            )
            for number in range(2)
        ]
        gateway = harness.start_gateway(upstreams)
        # What is held for one caller, before the relay waits for it.
        gateway.server._server.adj.outbuf_high_watermark = CHUNK_BYTES
        return gateway, upstreams

    return make


def read_failure_rates(gateway):
    upstreams = gateway.views.get().upstreams_by_id.values()
    states = gateway.table.read(upstreams).values()
    return {state.failures.failure_rate for state in states}


def begin_stream(gateway):
    connection = gateway.connect()
    headers = {"X_Sycamorespoke_Deadline_Ms": "9000"}
    in_process_gateway.send_request(connection, "/stream/x", **headers)
    return connection


def test_cut_of_an_unread_response_is_not_a_failure_of_the_upstream(
    make_gateway, log_lines
):
    is_cut = threading.Event()
    gateway, upstreams = make_gateway(patience_s=0.5, is_cut=is_cut)
    connection = begin_stream(gateway)
    assert is_cut.wait(CUT_TIMEOUT_S)
    with pytest.raises(Exception, match=r"Incomplete|reset"):
        connection.getresponse().read()
    line = log_lines.wait_for("response left unread")
    assert line["unread_ms"] >= 300
    assert read_failure_rates(gateway) == {0.0}
    assert sum(len(each.requests) for each in upstreams) == 1


def test_relay_holds_a_bounded_part_of_an_unread_response(make_gateway):
    gateway, _ = make_gateway(patience_s=3.0, is_cut=threading.Event())
    connection = begin_stream(gateway)
    held = []
    for _ in range(150):
        time.sleep(0.02)
        held_by_kind = gateway.byte_budget.count_held()
        held.append(held_by_kind[serving.ByteKind.CALLER_BUFFERS])
    connection.close()
    assert 0 < max(held) <= 4 * CHUNK_BYTES
