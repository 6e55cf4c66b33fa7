"""Refusals that an upstream writes once more on a kept connection."""

import json

import pytest

from sycamorespoke import clients, domain
from tests.fakes import scripted_upstream

ROLE = domain.HostRole.UPSTREAM


class RefusingServer:
    """Server that refuses its first request and writes the refusal once more.

    The copy follows when the next request has been received on the same connection.
    """

    def __init__(self, status, headers, serve):
        self.status = status
        self.headers = {**headers, "Content-Length": "0"}
        self.serve = serve
        self.runs = 0
        self._refused_connection = None
        self.server = scripted_upstream.ScriptedUpstream(self._handle)
        self.host = domain.Host("upstream-1", "stgo-a", ROLE, self.server.address)

    def _handle(self, request):
        if self._refused_connection is None:
            self._refused_connection = request.connection
            scripted_upstream.send_head(request, self.status, self.headers)
            return
        self.runs += 1
        if request.connection is self._refused_connection:
            scripted_upstream.send_head(request, self.status, self.headers)
        self.serve(request)


@pytest.fixture
def start_server():
    servers = []

    def start(status, headers, serve):
        servers.append(RefusingServer(status, headers, serve))
        return servers[-1]

    yield start
    for each in servers:
        each.server.close()


def generate(client, host, request_id):
    request = clients.GenerationRequest(
        request_id=request_id,
        account="clubs",
        model="scribe",
        version="v1",
        prompt="x",
        block_keys=(),
        max_tokens=2,
        priority=5,
    )
    return client.generate(host, request, 2.0)


def send_completion(request):
    request_id = json.loads(request.body)["request_id"]
    lines = [
        {"request_id": request_id, "version": "v1"},
        {"request_id": request_id, "done": True, "count": 0, "reason": "stop"},
    ]
    body = b"".join(json.dumps(each).encode() + b"\n" for each in lines)
    headers = {"Content-Length": str(len(body))}
    scripted_upstream.send_head(request, 200, headers)
    request.wfile.write(body)


@pytest.mark.parametrize("headers", [{}, {"X-Request-Id": "request-1"}])
@pytest.mark.parametrize("status", [409, 429, 503])
def test_copy_of_a_refusal_does_not_refuse_a_completion_that_runs(
    start_server, status, headers
):
    server = start_server(status, headers, send_completion)
    client = clients.EngineClient()
    first = generate(client, server.host, "request-1")
    assert first.kind is domain.ErrorKind.UPSTREAM_REFUSED
    second = generate(client, server.host, "request-2")
    assert second.error_response().execution is domain.Execution.UNKNOWN
    assert server.runs == 1
    # The connection with the copy is not used again.
    third = generate(client, server.host, "request-3")
    assert isinstance(list(third.messages())[-1], clients.Done)


def test_refusal_that_names_its_completion_is_believed_on_a_kept_connection(
    start_server,
):
    def refuse(request):
        headers = {
            "X-Request-Id": json.loads(request.body)["request_id"],
            "Content-Length": "0",
        }
        connections.append(request.connection)
        scripted_upstream.send_head(request, 429, headers)

    connections = []
    server = scripted_upstream.ScriptedUpstream(refuse)
    host = domain.Host("upstream-1", "stgo-a", ROLE, server.address)
    client = clients.EngineClient()
    try:
        kinds = {generate(client, host, f"request-{n}").kind for n in range(3)}
    finally:
        server.close()
    assert kinds == {domain.ErrorKind.UPSTREAM_REFUSED}
    assert len(set(connections)) == 1


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("echoes_request_id", [True, False])
def test_copy_of_a_refusal_does_not_refuse_a_service_request_that_runs(
    start_server, is_idempotent, echoes_request_id
):
    def serve(request):
        headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        scripted_upstream.send_head(request, 200, {**headers, "Content-Length": "0"})

    refusal = {"X-Not-Run": "1"}
    if echoes_request_id:
        refusal["X-Request-Id"] = "request-1"
    server = start_server(503, refusal, serve)
    client = clients.ServiceClient()

    def send(request_id, is_idempotent):
        return client.send(
            server.host,
            "POST",
            "/bookings",
            [],
            b"{}",
            2.0,
            request_id,
            is_idempotent=is_idempotent,
            echoes_request_id=echoes_request_id,
        )

    first = send("request-1", is_idempotent=True)
    assert first.kind is domain.ErrorKind.UPSTREAM_REFUSED
    second = send("request-2", is_idempotent)
    assert server.runs == 1
    if isinstance(second, domain.Refusal):
        assert second.kind is domain.ErrorKind.ANSWER_MISMATCH
    else:
        assert second.status == 200


def test_copy_of_a_refusal_is_not_taken_for_the_response_to_an_order(start_server):
    def accept(request):
        scripted_upstream.send_head(request, 202, {"Content-Length": "0"})

    server = start_server(409, {}, accept)
    client = clients.OrderClient()
    first = client.order_load(server.host, "scribe", "v2", 1)
    assert isinstance(first, clients.Conflict)
    second = client.order_load(server.host, "scribe", "v2", 2)
    assert isinstance(second, clients.OrderAccepted)
