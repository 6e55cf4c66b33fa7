"""A server whose callers send or read too slowly, or too much at once."""

import socket
import threading
import time

import pytest

from sycamorespoke import serving
from sycamorespoke.serving import _channel, _eviction, _parser

TIMEOUT_S = 10.0
PLACES = 8
LIMITS = serving.CallerLimits(header_bytes=65_536, body_bytes=900_000)
BUDGET_BYTES = 1_000_000
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
LONG_ANSWER = b"y" * 12_000_000


def make_post(size):
    return b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size


class SlowServer:
    """Server whose requests of ``/wait`` last until it is told so."""

    def __init__(self):
        self.budget = serving.ByteBudget(BUDGET_BYTES)
        self.paths = []
        self.arrived_s = []
        self.may_end = threading.Event()
        self.connections = []
        self.server = serving.CallerServer(
            "127.0.0.1:0", self._serve, 8, PLACES, LIMITS, self.budget
        )
        self.server.start()

    def _serve(self, environ, start_response):
        self.paths.append(environ["PATH_INFO"])
        self.arrived_s.append(environ["caller.arrived_s"])
        if environ["PATH_INFO"] == "/wait":
            self.may_end.wait(TIMEOUT_S)
        body = LONG_ANSWER if environ["QUERY_STRING"] == "long" else b"ok"
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return (body[at : at + 65_536] for at in range(0, len(body), 65_536))

    def connect(self, data=b""):
        connection = socket.socket()
        # So that answers stay with the server.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        connection.settimeout(TIMEOUT_S)
        connection.connect(("127.0.0.1", int(self.server.port)))
        connection.sendall(data)
        self.connections.append(connection)
        return connection

    def wait_until(self, is_done):
        until_s = time.monotonic() + TIMEOUT_S
        while not is_done():
            assert time.monotonic() < until_s
            time.sleep(0.01)

    def close(self):
        self.may_end.set()
        for connection in self.connections:
            connection.close()
        self.server.close_listener()
        assert self.server.wait_closed(TIMEOUT_S)


@pytest.fixture
def slow_server():
    server = SlowServer()
    yield server
    server.close()


def read_all(connection):
    parts = []
    try:
        while part := connection.recv(65536):
            parts.append(part)
    except ConnectionError:
        pass
    return b"".join(parts)


def test_new_callers_take_the_places_of_those_that_send_nothing(slow_server):
    for _ in range(3 * PLACES):
        slow_server.connect()
    assert slow_server.connect(GET).recv(12) == b"HTTP/1.1 200"
    assert slow_server.server.count_connections() <= PLACES
    assert slow_server.server.count_closed()["places"] >= 2 * PLACES


def test_unfinished_requests_that_lose_their_place_get_the_promise_that_none_ran(
    slow_server,
):
    half = slow_server.connect(make_post(10) + b"x")
    kind = serving.ByteKind.REQUEST_BODIES
    slow_server.wait_until(lambda: slow_server.budget.count_held()[kind])
    for _ in range(PLACES):
        slow_server.connect()
    assert read_all(half).startswith(b"HTTP/1.1 408 ")
    assert slow_server.paths == []


def test_running_requests_keep_their_places(slow_server):
    running = [
        slow_server.connect(GET.replace(b"/ ", b"/wait ")) for _ in range(PLACES)
    ]
    slow_server.wait_until(lambda: len(slow_server.paths) == PLACES)
    assert read_all(slow_server.connect(GET)) == b""
    slow_server.may_end.set()
    assert [each.recv(12) for each in running] == [b"HTTP/1.1 200"] * PLACES


def test_short_bodies_count_and_those_without_progress_make_room(
    slow_server, monkeypatch
):
    # Measured: 1,500 of them took the memory of a process, each was free.
    monkeypatch.setattr(slow_server.budget, "limit_bytes", 200_000)
    for _ in range(PLACES):
        slow_server.connect(make_post(60_000) + b"x" * 59_999)
    time.sleep(2 * _eviction.RECENT_S)
    last = slow_server.connect(make_post(60_000))
    last.sendall(b"x" * 60_000)
    assert last.recv(12) == b"HTTP/1.1 200"
    held = slow_server.budget.count_held()
    assert sum(held.values()) <= 200_000
    assert slow_server.server.count_closed()["bytes"] > 0


def test_requests_ahead_wait_until_answers_are_read(slow_server):
    connection = slow_server.connect(GET.replace(b"/ ", b"/long?long ") + GET * 400)
    slow_server.wait_until(
        lambda: slow_server.budget.count_held()[serving.ByteKind.CALLER_BUFFERS]
    )
    time.sleep(0.2)
    assert slow_server.paths == ["/long"]
    received = b""
    while received.count(b"HTTP/1.1 200") < 401:
        received += connection.recv(1 << 20).replace(b"y", b"")
    assert len(slow_server.paths) == 401


def test_request_sent_ahead_arrives_when_it_is_sent(slow_server):
    connection = slow_server.connect(GET.replace(b"/ ", b"/wait "))
    slow_server.wait_until(lambda: slow_server.paths)
    sent_s = serving.read_clock()
    connection.sendall(GET)
    time.sleep(0.3)
    slow_server.may_end.set()
    slow_server.wait_until(lambda: len(slow_server.paths) == 2)
    assert slow_server.arrived_s[1] - sent_s < 0.25


def test_answers_that_are_not_read_are_given_up_when_the_budget_is_used_up(
    slow_server, monkeypatch
):
    monkeypatch.setattr(_channel, "WRITE_WAIT_S", 0.3)
    slow = slow_server.connect(GET.replace(b"/ ", b"/long?long "))
    kind = serving.ByteKind.CALLER_BUFFERS
    slow_server.wait_until(lambda: slow_server.paths)
    slow_server.wait_until(lambda: slow_server.server.count_connections() == 0)
    assert slow_server.budget.count_held()[kind] == 0
    assert len(read_all(slow)) < len(LONG_ANSWER)
    assert slow_server.connect(GET).recv(12) == b"HTTP/1.1 200"


def test_answer_that_begins_late_is_not_taken_for_one_that_nobody_reads(monkeypatch):
    monkeypatch.setattr("sycamorespoke.serving._server.CLEANUP_INTERVAL_S", 0)
    monkeypatch.setattr(_eviction, "MAX_STILL_S", 0.5)
    monkeypatch.setattr("tests.serving.test_slow_callers.BUDGET_BYTES", 100_000_000)
    server = SlowServer()
    connection = server.connect(GET.replace(b"/ ", b"/wait?long "))
    time.sleep(1.0)
    server.may_end.set()
    received = 0
    while received < len(LONG_ANSWER):
        part = connection.recv(1 << 20)
        assert part
        received += len(part)
    server.close()


def test_head_that_is_not_complete_in_time_is_refused_as_not_run(monkeypatch):
    monkeypatch.setattr("sycamorespoke.serving._server.CLEANUP_INTERVAL_S", 1)
    server = SlowServer()
    server.server.set_limits(serving.CallerLimits(header_s=0.1))
    half = server.connect(GET[:-2])
    assert read_all(half).startswith(b"HTTP/1.1 408 ")
    assert server.server.count_closed()["head_timeout"] == 1
    server.close()


@pytest.mark.parametrize("line", ["{:x}:\r\n", "a:\r\n"])
def test_heads_of_very_many_fields_are_served_one_after_the_other(
    slow_server, monkeypatch, line
):
    monkeypatch.setattr(slow_server.budget, "limit_bytes", 10 * BUDGET_BYTES)
    fields = "".join(line.format(number) for number in range(8_000)).encode()
    data = GET[:-2] + b"Connection: close\r\n" + fields + b"\r\n"
    assert slow_server.connect(data).recv(12) == b"HTTP/1.1 200"
    answers = [read_all(slow_server.connect(data))[:12] for _ in range(3)]
    # Waitress answers with 1.0 where it has not parsed the head.
    assert b"HTTP/1.0 503" in answers


@pytest.mark.parametrize("data", [b"0" * 200_000, b"0\r\n" + b"a: b\r\n" * 40_000])
def test_what_is_not_body_in_chunks_is_bounded(slow_server, data):
    # Each piece is searched together with all before it.
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection = slow_server.connect(head)
    piece_bytes = 4_096
    try:
        for start in range(0, len(data), piece_bytes):
            connection.sendall(data[start : start + piece_bytes])
            time.sleep(0.002)
    except ConnectionError:
        pass
    slow_server.wait_until(lambda: slow_server.server.count_connections() == 0)
    assert slow_server.paths == []


def test_many_fields_count_as_more_than_their_bytes():
    budget = serving.ByteBudget(BUDGET_BYTES)
    hold = budget.open(serving.ByteKind.REQUEST_HEADS, "callers", free_bytes=0)
    assert hold.resize(_parser.FIELD_BYTES * 2_000)
    assert hold.count_missing(_parser.FIELD_BYTES * 5_000) > 0
