import socket
import threading

import pytest

from sycamorespoke import clients, standins, world

ROLE = world.HostRole.UPSTREAM
DEADLINE_S = 5.0
ID = "request-1"


def host_at(address):
    return world.Host("agenda-1", "stgo-a", ROLE, address)


def send(client, host, remaining_s=DEADLINE_S, request_id=ID, **parameters):
    parameters = {"method": "POST", "path": "/bookings", "body": b"{}"} | parameters
    headers = parameters.pop("headers", [("Idempotency-Key", "key-1")])
    return client.send(
        host,
        headers=headers,
        remaining_s=remaining_s,
        request_id=request_id,
        **parameters,
    )


@pytest.fixture
def service():
    handle = standins.run_in_thread(standins.ServiceStandin())
    yield handle
    handle.close()


@pytest.fixture
def scripted():
    """Return a starter of a server that answers with the given bytes, in turn."""
    listener = socket.create_server(("127.0.0.1", 0))
    opened = [listener]
    requests = []

    def serve(connection, parts):
        for part in parts:
            request = receive(connection)
            if not request:
                break
            requests.append(request)
            connection.sendall(part)
        connection.close()

    def accept(answers):
        for parts in answers:
            connection, _ = listener.accept()
            opened.append(connection)
            start_thread(serve, connection, parts)

    def start(*answers):
        start_thread(accept, answers)
        host, port = listener.getsockname()
        return host_at(f"{host}:{port}"), requests

    yield start
    for one in opened:
        one.close()


def start_thread(function, *args):
    threading.Thread(target=function, args=args, daemon=True).start()


def receive(connection):
    with connection.makefile("rb") as file:
        lines = []
        while (line := file.readline()) not in (b"", b"\r\n"):
            lines.append(line)
        lengths = [int(line[15:]) for line in lines if line.startswith(b"Content-Len")]
        return b"".join(lines) + file.read(sum(lengths))


def reply(body, request_id=ID, length=None):
    length = len(body) if length is None else length
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {request_id}"
    return head.encode() + b"\r\n\r\n" + body


def test_send_answers_in_full(service):
    answer = send(clients.ServiceClient(), host_at(service.address))
    assert (answer.status, answer.body) == (201, b'{"booking": 1}')
    assert ("Location", "/bookings/1") in answer.headers


@pytest.mark.parametrize(
    ("faults", "deadline_s", "kind", "runs"),
    [
        ({"full": True}, DEADLINE_S, world.ErrorKind.UPSTREAM_REFUSED, 0),
        ({"lose_answers": 1}, DEADLINE_S, world.ErrorKind.UPSTREAM_LOST, 1),
        ({"cross_answers": 1}, DEADLINE_S, world.ErrorKind.ANSWER_MISMATCH, 1),
        ({"work_s": 0.5}, 0.1, world.ErrorKind.DEADLINE_AFTER_SEND, 1),
        ({}, 0.0, world.ErrorKind.DEADLINE_BEFORE_SEND, 0),
    ],
)
def test_send_says_whether_it_ran(service, faults, deadline_s, kind, runs):
    service.standin.set_faults(faults)
    result = send(clients.ServiceClient(), host_at(service.address), deadline_s)
    assert result.kind is kind
    assert sum(service.standin.count()["runs_by_key"].values()) == runs


def test_send_unreachable():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host = host_at("{}:{}".format(*listener.getsockname()))
    result = send(clients.ServiceClient(), host)
    assert result.kind is world.ErrorKind.UPSTREAM_UNREACHABLE


@pytest.mark.parametrize(
    "malformed",
    [
        {"path": "/a b"},
        {"path": "/a\r\nX: 1"},
        {"method": "PO ST"},
        {"headers": [("X-A", "1\r\nX-B: 2")]},
        {"headers": [("X A", "1")]},
    ],
)
def test_send_malformed_is_not_sent(service, malformed):
    result = send(clients.ServiceClient(), host_at(service.address), **malformed)
    assert result.kind is world.ErrorKind.BAD_REQUEST
    assert service.standin.count()["runs_by_key"] == {}


def test_send_cut_answer(scripted):
    host, _ = scripted([reply(b"part", length=100)])
    result = send(clients.ServiceClient(), host)
    assert result.kind is world.ErrorKind.UPSTREAM_LOST


def test_send_after_timeout_uses_another_connection(scripted):
    # The first connection carries the late answer to the first request.
    host, _ = scripted([b"", reply(b"late")], [reply(b"mine", "request-2")])
    client = clients.ServiceClient()
    first = send(client, host, 0.1, method="GET", is_idempotent=True)
    assert first.kind is world.ErrorKind.DEADLINE_AFTER_SEND
    second = send(client, host, request_id="request-2", method="GET")
    assert second.body == b"mine"


def test_send_mismatch_closes_the_connection(scripted):
    host, _ = scripted(
        [reply(b"other", "request-0"), reply(b"crossed")], [reply(b"mine")]
    )
    client = clients.ServiceClient()
    first = send(client, host, method="GET", is_idempotent=True)
    assert first.kind is world.ErrorKind.ANSWER_MISMATCH
    assert send(client, host, method="GET", is_idempotent=True).body == b"mine"


def test_send_non_idempotent_leaves_kept_connections_alone(scripted):
    # A kept connection may take the request and break: it may have run there.
    host, requests = scripted([reply(b"one"), b""], [reply(b"two")])
    client = clients.ServiceClient()
    assert send(client, host, method="GET", is_idempotent=True).body == b"one"
    assert send(client, host).body == b"two"
    assert [request.split()[0] for request in requests] == [b"GET", b"POST"]
