"""Requests through a gateway, as callers and upstreams see them."""

import contextlib
import http.client
import threading
import time

import pytest

from tests.fakes import in_process_gateway, scripted_upstream


def test_response_is_forwarded_with_its_response_stamp(harness):
    upstream = harness.start_upstream(
        lambda request: scripted_upstream.respond(request, body=b"yes")
    )
    gateway = harness.start_gateway([upstream])
    status, headers, body = gateway.request(
        "/safe/x?a=%7e&b=//", method="GET", body=None
    )
    assert (status, body) == (200, b"yes")
    assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"
    assert upstream.requests[0].path == "/safe/x?a=%7e&b=//"
    assert upstream.requests[0].command == "GET"


def test_reserved_and_hop_by_hop_headers_of_callers_are_not_forwarded(harness):
    upstream = harness.start_upstream(scripted_upstream.respond)
    gateway = harness.start_gateway([upstream])
    forged = {
        "X-Sycamorespoke-Tenant-Id": "other",
        "X-Sycamorespoke-Cache-Salt": "other",
        "X-Sycamorespoke-Kv-Hold": "h",
        "X-Sycamorespoke-Pin-Ms": "9",
        "X-Sycamorespoke-Kv-Backup": "1.2.3.4:5",
        "X-Sycamorespoke-Kv-From": "1.2.3.4:5/6",
        "Kv-From": "1.2.3.4:5/6",
        "X-Sycamorespoke-Expect-Instance": "other",
        "Connection": "x-private",
        "X-Private": "1",
        "X-Kept": "2",
    }
    gateway.request("/unsafe/x", **forged)
    headers = upstream.requests[0].headers
    assert headers["X-Sycamorespoke-Tenant-Id"] == "account-1"
    assert headers["X-Sycamorespoke-Expect-Instance"] == "i-1"
    assert headers["X-Kept"] == "2"
    dropped = ["Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Cache-Salt"]
    for name in [f"X-Sycamorespoke-{each}" for each in dropped]:
        assert name not in headers
    for name in ["Kv-From", "Authorization", "X-Private"]:
        assert name not in headers


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", {}, 404),
        ("/safe", {}, 404),
        ("/safe/x", {"Authorization": "Bearer other"}, 401),
        ("/safe/x", {"Authorization": None}, 401),
    ],
)
def test_request_without_route_or_valid_key_is_rejected_and_not_sent(
    harness, path, headers, status
):
    upstream = harness.start_upstream(scripted_upstream.respond)
    gateway = harness.start_gateway([upstream])
    assert gateway.request(path, **headers)[0] == status
    assert upstream.requests == []


def test_request_before_the_view_is_complete_gets_503_with_retry_after(harness):
    gateway = harness.start_gateway()
    gateway.views.replace_fields(upstreams_by_id=None)
    status, headers, _ = gateway.request("/unsafe/x")
    assert status == 503
    assert float(headers["Retry-After"]) > 0


def test_unsafe_request_is_not_retried_when_its_response_is_lost(harness):
    upstreams = [
        harness.start_upstream(scripted_upstream.abort, name) for name in ("i-1", "i-2")
    ]
    gateway = harness.start_gateway(upstreams)
    assert gateway.request("/unsafe/x")[0] == 502
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


def test_safe_request_is_retried_elsewhere_when_its_response_is_lost(harness):
    upstreams = [harness.start_upstream(scripted_upstream.abort, "i-1")]
    upstreams.append(harness.start_upstream(scripted_upstream.respond, "i-2"))
    gateway = harness.start_gateway(upstreams)
    for _ in range(4):
        assert gateway.request("/safe/x", method="GET")[0] == 200


def test_unsafe_request_is_retried_elsewhere_after_connection_refused(harness):
    stopped = harness.start_upstream(scripted_upstream.respond, "i-1")
    running = harness.start_upstream(scripted_upstream.respond, "i-2")
    gateway = harness.start_gateway([stopped, running])
    stopped.close()
    stopped.close = lambda: None
    for _ in range(4):
        assert gateway.request("/unsafe/x")[0] == 200


def test_not_run_refusal_is_returned_as_503_when_no_attempt_is_left(harness):
    def refuse(request):
        scripted_upstream.respond(request, 503, b"", X_Sycamorespoke_Not_Run="1")

    upstreams = [harness.start_upstream(refuse, name) for name in ("i-1", "i-2")]
    gateway = harness.start_gateway(upstreams)
    status, headers, _ = gateway.request("/unsafe/x")
    assert status == 503
    assert scripted_upstream.RESPONSE_STAMP not in headers
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


def test_request_is_retried_when_another_upstream_has_the_address(harness):
    def misdirect(request):
        scripted_upstream.respond(request, 421, b"", X_Sycamorespoke_Instance_Id="i-9")

    upstreams = [harness.start_upstream(misdirect, "i-1")]
    upstreams.append(harness.start_upstream(scripted_upstream.respond, "i-2"))
    gateway = harness.start_gateway(upstreams)
    for _ in range(4):
        assert gateway.request("/unsafe/x")[0] == 200


def test_response_with_another_request_id_is_not_forwarded(harness):
    upstream = harness.start_upstream(
        lambda request: scripted_upstream.respond(request, body=b"secret", id="call-0")
    )
    gateway = harness.start_gateway([upstream])
    status, headers, body = gateway.request("/unsafe/x")
    assert status == 502
    assert b"secret" not in body
    assert scripted_upstream.RESPONSE_STAMP not in headers


def test_server_error_of_the_upstream_is_forwarded_unchanged(harness):
    upstream = harness.start_upstream(
        lambda request: scripted_upstream.respond(request, 500, b"broke")
    )
    gateway = harness.start_gateway([upstream])
    status, headers, body = gateway.request("/unsafe/x")
    assert (status, body) == (500, b"broke")
    assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"


def test_stream_resumes_elsewhere_without_missing_or_duplicate_events(harness):
    def break_stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.send_chunk(request, b"id: 3\ndata: t")
        time.sleep(0.1)
        scripted_upstream.abort(request)

    def resume_stream(request):
        scripted_upstream.start_stream(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        scripted_upstream.send_events(request, first, 4)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway(
        [
            harness.start_upstream(break_stream, "i-1"),
            harness.start_upstream(resume_stream, "i-2"),
        ]
    )
    expected = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5))
    for _ in range(4):
        assert gateway.request("/stream/x")[2] == expected


def test_broken_stream_that_is_not_resumable_ends_incomplete(harness):
    def break_stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        time.sleep(0.1)
        scripted_upstream.abort(request)

    upstream = harness.start_upstream(break_stream)
    gateway = harness.start_gateway([upstream])
    with pytest.raises(http.client.IncompleteRead) as caught:
        gateway.request("/once/x")
    assert caught.value.partial == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
    assert len(upstream.requests) == 1


def test_events_are_forwarded_as_they_arrive(harness):
    first_event_read = threading.Event()

    def wait(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 1)
        first_event_read.wait(5.0)
        scripted_upstream.send_events(request, 2, 2)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(wait)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    response = connection.getresponse()
    assert response.read1() == b"id: 1\ndata: t1\n\n"
    first_event_read.set()
    assert response.read() == b"id: 2\ndata: t2\n\n"


def test_caller_disconnect_during_a_stream_closes_the_upstream_connection(harness):
    begun = threading.Event()

    def work(request):
        scripted_upstream.start_stream(request)
        begun.set()
        for number in range(500):
            scripted_upstream.send_events(request, number, number, pause_s=0.01)

    upstream = harness.start_upstream(work)
    gateway = harness.start_gateway([upstream])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    assert begun.wait(5.0)
    connection.close()
    assert upstream.disconnected.wait(5.0)


def test_caller_disconnect_before_the_first_event_closes_the_upstream_connection(
    harness,
):
    dropped = threading.Event()
    begun = threading.Event()

    def work(request):
        begun.set()
        # The socket is readable only once the gateway closes the connection.
        request.connection.recv(1)
        dropped.set()

    gateway = harness.start_gateway([harness.start_upstream(work)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    assert begun.wait(5.0)
    connection.close()
    assert dropped.wait(5.0)


def test_request_without_response_gets_504_at_its_deadline(harness):
    released = threading.Event()
    upstream = harness.start_upstream(lambda request: released.wait(5.0))
    gateway = harness.start_gateway([upstream])
    headers = {"X-Sycamorespoke-Deadline-Ms": "200"}
    status, headers, _ = gateway.request("/unsafe/x", **headers)
    released.set()
    assert status == 504
    assert "Retry-After" not in headers
    assert int(upstream.requests[0].headers["X-Sycamorespoke-Deadline-Ms"]) <= 200


def test_caller_connection_is_reused_after_a_stream(harness):
    def stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 1)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(stream)])
    connection = gateway.connect()
    for _ in range(3):
        _, headers, _ = gateway.request("/once/x", connection=connection)
        assert headers["Connection"] is None
    assert gateway.server.count_connections() == 1


def test_connection_with_a_response_in_progress_at_shutdown_is_closed_after_it(harness):
    shutdown_begun = threading.Event()

    def stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 1)
        shutdown_begun.wait(5.0)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(stream)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    response = connection.getresponse()
    gateway.server.close_connections_after_responses()
    shutdown_begun.set()
    assert response.read() == b"id: 1\ndata: t1\n\n"
    sock = connection.sock
    sock.settimeout(5.0)
    # The gateway closes the connection by itself, so no request on it is lost.
    assert sock.recv(1) == b""


def test_responses_during_shutdown_have_connection_close(harness):
    gateway = harness.start_gateway([harness.start_upstream(scripted_upstream.respond)])
    gateway.server.close_connections_after_responses()
    assert gateway.request("/safe/x")[1]["Connection"] == "close"


def test_threads_are_started_for_concurrent_requests(harness):
    released = threading.Event()

    def wait(request):
        released.wait(5.0)
        scripted_upstream.respond(request)

    upstream = harness.start_upstream(wait)
    gateway = harness.start_gateway([upstream], threads=12)
    before = threading.active_count()
    connections = [gateway.connect() for _ in range(12)]
    for connection in connections:
        in_process_gateway.send_request(connection, "/safe/x")
    deadline_s = time.monotonic() + 5.0
    while len(upstream.requests) < 12 and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert len(upstream.requests) == 12
    # Each request has one thread here and one at the upstream.
    assert threading.active_count() - before >= 12
    released.set()
    assert [each.getresponse().status for each in connections] == [200] * 12


def test_requests_are_counted_and_their_phases_measured(harness):
    def stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(stream)])
    gateway.request("/stream/x")
    gateway.request("/none/x")
    metrics = gateway.metrics.render().decode()
    assert 'calls{outcome="answered",route="stream"} 1' in metrics
    assert 'calls{outcome="no_route",route=""} 1' in metrics
    assert 'attempts{outcome="sent",service="s"} 1' in metrics
    for phase in ("queue", "first_event", "whole"):
        assert f'call_seconds_count{{phase="{phase}",route="stream"}} 1' in metrics
    assert 'responses{end="whole",framing="chunks"} 1' in metrics


def test_end_of_a_response_inside_an_event_is_logged(harness, log_lines):
    def end_inside_an_event(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.send_chunk(request, b"id: 3\nda")
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(end_inside_an_event)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    with contextlib.suppress(http.client.HTTPException):
        connection.getresponse().read()
    fields = log_lines.wait_for("response ended inside an event")
    assert fields["framing"] == "chunks"
    assert (fields["last_event_id"], fields["partial_event_bytes"]) == (2, 8)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_whole_response_of_an_upstream_that_closes_reaches_the_caller(harness, path):
    def handle(request):
        if path == "/stream/x":
            scripted_upstream.start_stream(request, Connection="close")
            scripted_upstream.send_events(request, 1, 2)
            scripted_upstream.send_chunk(request, b"")
        else:
            scripted_upstream.respond(request, body=b"whole", Connection="close")
        request.close_connection = True

    gateway = harness.start_gateway([harness.start_upstream(handle)])
    for _ in range(5):
        status, headers, body = gateway.request(path)
        assert status == 200
        assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"
        assert body == b"whole" or body.count(b"id: ") == 2
