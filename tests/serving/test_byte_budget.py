"""Bounds on what a process holds for others, all requests together."""

import socket
import threading

import pytest

from sycamorespoke import serving
from sycamorespoke.serving import _byte_budget

LIMIT = 1_000_000
RESPONSES = serving.ByteKind.RESPONSE_BODIES


@pytest.fixture
def budget():
    return serving.ByteBudget(LIMIT)


def test_one_upstream_cannot_take_the_room_of_the_others(budget):
    holds = [budget.open(RESPONSES, "endless") for _ in range(10)]
    granted = [hold.resize(100_000) for hold in holds]
    assert granted == [True] * 7 + [False] * 3
    assert holds[-1].is_owner_over
    sound = budget.open(RESPONSES, "sound")
    assert sound.resize(250_000)
    assert budget.count_refused()[RESPONSES] == 3


def test_short_bodies_are_held_when_the_budget_is_used_up(budget):
    for owner in ("a", "b"):
        assert budget.open(RESPONSES, owner).resize(LIMIT // 2)
    late = budget.open(RESPONSES, "c")
    assert late.resize(_byte_budget.FREE_BYTES)
    assert not late.resize(_byte_budget.FREE_BYTES + 1)
    assert not late.is_owner_over


def test_released_bytes_can_be_held_again(budget):
    hold = budget.open(RESPONSES, "a")
    assert hold.resize(LIMIT // 2)
    hold.release()
    hold.release()
    assert not any(budget.count_held().values())
    assert budget.open(RESPONSES, "a").resize(LIMIT // 2)


def test_unread_buffers_of_callers_count(budget):
    budget.add_buffers(lambda: LIMIT - 100_000)
    assert not budget.open(RESPONSES, "a").resize(200_000)
    held = budget.count_held()
    assert held[serving.ByteKind.CALLER_BUFFERS] == LIMIT - 100_000


class BodyServer:
    """Server with a budget of 1 MB whose requests wait until they may end."""

    def __init__(self):
        self.budget = serving.ByteBudget(LIMIT)
        self.may_end = threading.Event()
        self.bodies = []
        limits = serving.CallerLimits()
        self.server = serving.CallerServer(
            "127.0.0.1:0", self._serve, 8, 50, limits, self.budget
        )
        self.server.start()

    def _serve(self, environ, start_response):
        self.bodies.append(environ["wsgi.input"].read())
        self.may_end.wait(10.0)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def send(self, body, framing=None):
        connection = socket.create_connection(("127.0.0.1", self.server.port), 10.0)
        framing = framing or b"Content-Length: %d" % len(body)
        connection.sendall(b"POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n" % framing)
        return connection

    def close(self):
        self.may_end.set()
        self.server.close_listener()
        self.server.wait_closed(5.0)


@pytest.fixture
def body_server():
    server = BodyServer()
    yield server
    server.close()


def read_all(connection):
    with connection:
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
        return b"".join(parts)


def test_bodies_of_requests_are_refused_beyond_the_budget_before_they_are_read(
    body_server,
):
    # Review, case 4: nothing bounded the sum of the bodies that callers send.
    body = b"x" * 400_000
    first = body_server.send(body)
    first.sendall(body)
    answer = read_all(body_server.send(body))
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 1\r\n" in answer
    body_server.may_end.set()
    assert first.recv(12) == b"HTTP/1.1 200"
    first.close()
    assert body_server.bodies == [body]


def test_bytes_of_a_caller_that_disconnects_inside_its_body_are_released(body_server):
    body = b"x" * 400_000
    for _ in range(4):
        connection = body_server.send(body)
        connection.sendall(body[:100])
        connection.close()
        kind = serving.ByteKind.REQUEST_BODIES
        while body_server.budget.count_held()[kind]:
            threading.Event().wait(0.01)


def test_body_in_chunks_without_end_is_refused_beyond_the_budget(body_server):
    connection = body_server.send(b"", framing=b"Transfer-Encoding: chunked")
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    with pytest.raises(OSError):  # noqa: PT011, PT012
        for _ in range(200):
            connection.sendall(chunk)
        raise AssertionError("the whole body was read")
    connection.close()
    assert body_server.bodies == []
