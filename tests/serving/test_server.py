"""What callers may send: bounds, torn requests, and requests inside others."""

import socket
import threading
import time

import pytest

from sycamorespoke import serving
from sycamorespoke.serving import _server

PATIENCE_S = 10.0
KEPT_REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
LIMITS = serving.CallerLimits(header_bytes=2000, body_bytes=1000, idle_s=1.0)


class Site:
    """A server that notes the calls which it gets."""

    def __init__(self):
        self.calls = []
        self.server = serving.CallerServer("127.0.0.1:0", self._serve, 4, 50, LIMITS)
        self.server.start()

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        self.calls.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], body))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.server.port), PATIENCE_S)

    def send(self, data, leaves=False):
        """Send bytes over a connection of their own; return all that comes."""
        with self.connect() as connection:
            connection.sendall(data)
            if leaves:
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
def site():
    made = Site()
    yield made
    made.server.close_listener()
    made.server.wait_closed(1.0)


def test_headers_beyond_the_bound_are_refused(site):
    answer = site.send(make_request(b"X-Long: " + b"a" * 3000))
    assert answer.split()[1] == b"431"
    assert site.calls == []


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ([b"Content-Length: 1500"], b"a" * 1500),
        ([b"Transfer-Encoding: chunked"], b"5dc\r\n" + b"a" * 1500 + b"\r\n0\r\n\r\n"),
    ],
)
def test_a_body_beyond_the_bound_is_refused(site, headers, body):
    assert site.send(make_request(*headers, body=body)).startswith(b"HTTP/1.1 413 ")
    assert site.calls == []


def test_bounds_can_be_changed_while_it_runs(site):
    site.server.set_limits(serving.CallerLimits(2000, 2000, 1.0))
    request = make_request(b"Content-Length: 1500", body=b"a" * 1500)
    assert site.send(request).startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "torn",
    [
        b"POST /x HT",
        b"POST /x HTTP/1.1\r\nHost: h\r\n",
        make_request(b"Content-Length: 10", body=b"short"),
        make_request(b"Transfer-Encoding: chunked", body=b"5\r\nab"),
    ],
)
def test_a_request_that_is_not_whole_is_not_served(site, torn):
    site.send(torn, leaves=True)
    assert site.calls == []


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
def test_a_request_whose_length_is_in_doubt_is_refused(site, headers):
    inner = make_request(path=b"/inner", method=b"GET")
    answer = site.send(make_request(*headers, body=b"0\r\n\r\n" + inner))
    assert answer.startswith((b"HTTP/1.1 400 ", b"HTTP/1.1 501 "))
    assert "/inner" not in [path for _, path, _ in site.calls]


def test_a_body_is_not_taken_for_a_request(site):
    inner = make_request(path=b"/inner", method=b"GET")
    length = b"Content-Length: %d" % len(inner)
    assert site.send(make_request(length, body=inner)).count(b"HTTP/1.1 ") == 1
    assert site.calls == [("POST", "/x", inner)]


def test_an_idle_connection_is_closed_after_its_time_and_not_before(monkeypatch):
    monkeypatch.setattr(_server, "IDLE_EXTRA_S", 0)
    monkeypatch.setattr(_server, "CLEANUP_S", 1)
    site = Site()
    with site.connect() as connection:
        connection.sendall(KEPT_REQUEST + b"0")
        begun_s = time.monotonic()
        answer = read_all(connection)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert time.monotonic() - begun_s >= LIMITS.idle_s
    site.server.close_listener()


def test_requests_on_one_connection_are_answered_in_order(site):
    with site.connect() as connection:
        for number in range(3):
            connection.sendall(KEPT_REQUEST + b"%d" % number)
        received = b""
        while received.count(b"HTTP/1.1 200") < 3:
            received += connection.recv(65536)
    assert [body for _, _, body in site.calls] == [b"0", b"1", b"2"]


def test_more_connections_than_allowed_wait_their_turn(site):
    opened = [site.connect() for _ in range(60)]
    for connection in opened[:20]:
        connection.close()
    last = opened[-1]
    last.sendall(KEPT_REQUEST + b"0")
    done = threading.Event()
    threading.Thread(target=lambda: last.recv(10) and done.set(), daemon=True).start()
    assert done.wait(PATIENCE_S)
    for connection in opened[20:]:
        connection.close()
