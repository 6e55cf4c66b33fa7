"""Tests of size limits, incomplete requests, request smuggling and connections."""

import socket
import threading
import time

import pytest

from sycamorespoke import serving
from sycamorespoke.serving import _server

TIMEOUT_S = 10.0
KEEP_ALIVE_REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
LIMITS = serving.CallerLimits(header_bytes=2000, body_bytes=1000, idle_s=1.0)


class RequestRecorder:
    """A server that records the requests that it receives."""

    def __init__(self):
        self.requests = []
        self.server = serving.CallerServer("127.0.0.1:0", self._serve, 4, 50, LIMITS)
        self.server.start()

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.requests.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], body))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.server.port), TIMEOUT_S)

    def send(self, data, shut_down_write=False):
        """Send bytes over a new connection and return the whole response."""
        with self.connect() as connection:
            connection.sendall(data)
            if shut_down_write:
                connection.shutdown(socket.SHUT_WR)
            return read_all(connection)


def read_all(connection):
    received = b""
    while chunk := connection.recv(65536):
        received += chunk
    return received


def make_request(*headers, body=b"", path=b"/x", method=b"POST"):
    first = method + b" " + path + b" HTTP/1.1"
    lines = [first, b"Host: h", b"Connection: close", *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


@pytest.fixture
def recorder():
    made = RequestRecorder()
    yield made
    made.server.close_listener()
    made.server.wait_closed(1.0)


def test_headers_above_size_limit_are_refused(recorder):
    response = recorder.send(make_request(b"X-Long: " + b"a" * 3000))
    assert response.split()[1] == b"431"
    assert recorder.requests == []


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ([b"Content-Length: 1500"], b"a" * 1500),
        ([b"Transfer-Encoding: chunked"], b"5dc\r\n" + b"a" * 1500 + b"\r\n0\r\n\r\n"),
    ],
)
def test_body_above_size_limit_is_refused(recorder, headers, body):
    assert recorder.send(make_request(*headers, body=body)).startswith(b"HTTP/1.1 413 ")
    assert recorder.requests == []


def test_limits_can_be_changed_at_run_time(recorder):
    recorder.server.set_limits(serving.CallerLimits(2000, 2000, 1.0))
    request = make_request(b"Content-Length: 1500", body=b"a" * 1500)
    assert recorder.send(request).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "incomplete_request",
    [
        b"POST /x HT",
        b"POST /x HTTP/1.1\r\nHost: h\r\n",
        make_request(b"Content-Length: 10", body=b"short"),
        make_request(b"Transfer-Encoding: chunked", body=b"5\r\nab"),
    ],
)
def test_incomplete_request_is_not_served(recorder, incomplete_request):
    recorder.send(incomplete_request, shut_down_write=True)
    assert recorder.requests == []


@pytest.mark.parametrize(
    "headers",
    [
        [b"Content-Length: 5", b"Content-Length: 60"],
        [b"Content-Length: +5"],
        [b"Content-Length: 5, 60"],
        [b"Transfer-Encoding: xchunked"],
        [b"Transfer-Encoding: chunked, identity"],
    ],
)
def test_request_of_ambiguous_length_is_refused(recorder, headers):
    embedded = make_request(path=b"/inner", method=b"GET")
    response = recorder.send(make_request(*headers, body=b"0\r\n\r\n" + embedded))
    assert response.startswith((b"HTTP/1.1 400 ", b"HTTP/1.1 501 "))
    assert "/inner" not in [path for _, path, _ in recorder.requests]


def test_request_inside_body_is_not_served(recorder):
    embedded = make_request(path=b"/inner", method=b"GET")
    length = b"Content-Length: %d" % len(embedded)
    assert recorder.send(make_request(length, body=embedded)).count(b"HTTP/1.1 ") == 1
    assert recorder.requests == [("POST", "/x", embedded)]


def test_idle_connection_is_closed_after_idle_time_and_not_before(monkeypatch):
    monkeypatch.setattr(_server, "IDLE_TIMEOUT_MARGIN_S", 0)
    monkeypatch.setattr(_server, "CLEANUP_INTERVAL_S", 1)
    recorder = RequestRecorder()
    with recorder.connect() as connection:
        connection.sendall(KEEP_ALIVE_REQUEST + b"0")
        started_s = time.monotonic()
        response = read_all(connection)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert time.monotonic() - started_s >= LIMITS.idle_s
    recorder.server.close_listener()


def test_pipelined_requests_are_served_in_order(recorder):
    with recorder.connect() as connection:
        for number in range(3):
            connection.sendall(KEEP_ALIVE_REQUEST + b"%d" % number)
        received = b""
        while received.count(b"HTTP/1.1 200") < 3:
            received += connection.recv(65536)
    assert [body for _, _, body in recorder.requests] == [b"0", b"1", b"2"]


def test_connection_above_limit_is_served_after_others_close(recorder):
    connections = [recorder.connect() for _ in range(60)]
    for connection in connections[:20]:
        connection.close()
    last = connections[-1]
    last.sendall(KEEP_ALIVE_REQUEST + b"0")
    done = threading.Event()
    threading.Thread(target=lambda: last.recv(10) and done.set(), daemon=True).start()
    assert done.wait(TIMEOUT_S)
    for connection in connections[20:]:
        connection.close()
