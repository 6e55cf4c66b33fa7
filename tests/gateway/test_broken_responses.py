"""Responses that an upstream broke off, as callers see them."""

import http.client
import threading
import time

import pytest

from tests.fakes import in_process_gateway, scripted_upstream

FRAMINGS = ("connection_end", "chunks", "length")
PARTIAL_EVENT = b"id: 3\ndata: t"


@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_that_ended_inside_an_event_does_not_look_complete(harness, framing):
    def stop(request):
        body = scripted_upstream.encode_events(1, 2) + PARTIAL_EVENT
        scripted_upstream.send_stream(request, framing, body)

    upstream = harness.start_upstream(stop)
    gateway = harness.start_gateway([upstream])
    with pytest.raises(http.client.IncompleteRead) as caught:
        gateway.request("/once/x")
    assert caught.value.partial == scripted_upstream.encode_events(1, 2)
    assert len(upstream.requests) == 1


@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_that_ended_inside_an_event_is_resumed_elsewhere(harness, framing):
    last_event_ids = []

    def stop_the_first(request):
        last_event_ids.append(request.headers.get("Last-Event-Id"))
        body = scripted_upstream.encode_events(1, 2) + PARTIAL_EVENT
        if len(last_event_ids) > 1:
            body = scripted_upstream.encode_events(3, 4)
        scripted_upstream.send_stream(request, framing, body)

    names = ("i-1", "i-2")
    upstreams = [harness.start_upstream(stop_the_first, name) for name in names]
    gateway = harness.start_gateway(upstreams)
    status, _, body = gateway.request("/stream/x")
    assert (status, body) == (200, scripted_upstream.encode_events(1, 4))
    assert last_event_ids == [None, "2"]


@pytest.mark.parametrize("body", [b"", b"id: 1\ndata"])
def test_stream_without_framing_that_ended_before_an_event_is_no_success(harness, body):
    def stop(request):
        scripted_upstream.send_stream(request, "connection_end", body)

    gateway = harness.start_gateway([harness.start_upstream(stop)])
    status, headers, _ = gateway.request("/once/x")
    assert status == 502
    assert scripted_upstream.RESPONSE_STAMP not in headers


@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_that_ended_after_an_event_is_complete(harness, framing):
    body = scripted_upstream.encode_events(1, 3)
    upstream = harness.start_upstream(
        lambda request: scripted_upstream.send_stream(request, framing, body)
    )
    gateway = harness.start_gateway([upstream])
    status, headers, received = gateway.request("/once/x")
    assert (status, received) == (200, body)
    assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"


@pytest.mark.parametrize("framing", [*FRAMINGS, "cut_chunks"])
def test_partial_first_event_is_not_joined_to_the_next_response(harness, framing):
    attempts = []

    def stop_the_first(request):
        attempts.append(request)
        if len(attempts) > 1:
            body = scripted_upstream.encode_events(1, 2)
            scripted_upstream.send_stream(request, "chunks", body)
        elif framing == "cut_chunks":
            scripted_upstream.start_stream(request)
            scripted_upstream.send_chunk(request, b"id: 1\ndata: t")
            scripted_upstream.abort(request)
        else:
            scripted_upstream.send_stream(request, framing, b"id: 1\ndata: t")

    names = ("i-1", "i-2")
    upstreams = [harness.start_upstream(stop_the_first, name) for name in names]
    gateway = harness.start_gateway(upstreams)
    status, _, body = gateway.request("/stream/x")
    assert (status, body) == (200, scripted_upstream.encode_events(1, 2))
    assert len(attempts) == 2


def test_events_are_not_appended_to_an_error_response_that_broke_off(harness):
    attempts = []

    def fail_the_first(request):
        attempts.append(request)
        if len(attempts) > 1:
            body = scripted_upstream.encode_events(1, 2)
            scripted_upstream.send_stream(request, "chunks", body)
            return
        headers = {"X-Sycamorespoke-Request-Id": "call-1", "Content-Length": "90"}
        scripted_upstream.send_head(request, 404, headers)
        request.wfile.write(b"no such model\n\n")
        time.sleep(0.1)
        scripted_upstream.abort(request)

    names = ("i-1", "i-2")
    upstreams = [harness.start_upstream(fail_the_first, name) for name in names]
    gateway = harness.start_gateway(upstreams)
    with pytest.raises(http.client.IncompleteRead) as caught:
        gateway.request("/stream/x")
    assert caught.value.partial == b"no such model\n\n"


def encode_head(*lines):
    return b"".join(
        line + b"\r\n"
        for line in (
            b"HTTP/1.1 200 OK",
            b"X-Sycamorespoke-Request-Id: call-1",
            b"X-Sycamorespoke-Response-Stamp: stamp",
            *lines,
            b"",
        )
    )


def start_cutting_gateway(harness, response, lengths):
    """Start a gateway whose upstream sends ever longer beginnings of a response."""
    remaining = list(lengths)

    def cut(request):
        request.wfile.write(response[: remaining.pop(0)])
        request.close_connection = True

    return harness.start_gateway([harness.start_upstream(cut)])


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 4", b"Transfer-Encoding: chunked"]
)
def test_response_with_a_cut_off_head_is_no_success(harness, path, framing):
    head = encode_head(framing, b"Content-Type: text/plain")
    lengths = range(len(head))
    gateway = start_cutting_gateway(harness, head, lengths)
    statuses = [gateway.request(path)[0] for _ in lengths]
    assert statuses == [502] * len(head)


def test_cut_off_chunk_size_does_not_end_a_response(harness):
    head = encode_head(b"Transfer-Encoding: chunked")
    response = head + b"0004\r\ndone\r\n"
    lengths = range(len(head), len(response) + 1)
    gateway = start_cutting_gateway(harness, response, lengths)
    statuses = [gateway.request("/unsafe/x")[0] for _ in lengths]
    assert statuses == [502] * len(lengths)


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
def test_response_that_a_caller_cancelled_is_not_counted_as_complete(
    harness, log_lines, path
):
    begun = threading.Event()

    def stall(request):
        headers = {"X-Sycamorespoke-Request-Id": "call-1"}
        scripted_upstream.send_head(request, 200, headers)
        request.wfile.write(b"id: 1\ndata: t1\n\n")
        begun.set()
        # The socket is readable only once the gateway closes the connection.
        request.connection.recv(1)
        request.close_connection = True

    gateway = harness.start_gateway([harness.start_upstream(stall)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, path)
    assert begun.wait(5.0)
    time.sleep(0.1)
    connection.close()
    fields = log_lines.wait_for("attempt broke")
    assert fields["reason"] == "the caller disconnected"
    assert 'outcome="answered"' not in gateway.metrics.render().decode()


def test_line_of_a_broken_response_names_the_shared_blocks_of_the_prompt(
    harness, log_lines
):
    def break_off(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.abort(request)

    gateway = harness.start_gateway([harness.start_upstream(break_off)])
    gateway.request("/once/x", X_Sycamorespoke_Prompt_Prefix="aa:9,bb:5,cc:1")
    assert log_lines.wait_for("attempt broke")["blocks"] == ["aa", "bb"]
