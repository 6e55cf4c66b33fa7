"""Responses that are cut off or do not end, read through checked connections."""

import contextlib
import socket
import threading
import time

import pytest
import urllib3

from sycamorespoke import clients, domain
from sycamorespoke.clients import _checked_http
from tests.fakes import scripted_upstream

WHOLE = b'HTTP/1.1 200 OK\r\nETag: "123"\r\nContent-Length: 4\r\n\r\ndone'
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0004\r\ndone\r\n0\r\n\r\n"
)
LAST_CHUNK = b"0\r\n"


@contextlib.contextmanager
def serve_once(response):
    """Send bytes to the first connection and close it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(response)

        thread = threading.Thread(target=serve)
        thread.start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}/"
        thread.join()


def read(response):
    with serve_once(response) as url:
        pool = clients.CheckedPoolManager(retries=False)
        return pool.request("GET", url, timeout=5.0)


@pytest.mark.parametrize("response", [WHOLE, CHUNKED])
def test_whole_response_is_read(response):
    assert read(response).data == b"done"


@pytest.mark.parametrize("length", range(len(WHOLE)))
def test_response_with_a_length_that_is_cut_off_raises(length):
    with pytest.raises(urllib3.exceptions.HTTPError):
        read(WHOLE[:length])


@pytest.mark.parametrize("length", range(CHUNKED.index(LAST_CHUNK) + 1))
def test_chunked_response_that_is_cut_off_raises(length):
    with pytest.raises(urllib3.exceptions.HTTPError):
        read(CHUNKED[:length])


@pytest.mark.parametrize("limit", ["MAX_BODY_BYTES", "MAX_BODY_S"])
def test_whole_body_without_end_is_given_up(monkeypatch, limit):
    monkeypatch.setattr(_checked_http, limit, 0.1 if limit == "MAX_BODY_S" else 9000)

    def send(request):
        request.close_connection = True
        request.wfile.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            request.wfile.write(b"x" * 100)
            time.sleep(0.002)

    upstream = scripted_upstream.ScriptedUpstream(send)
    host, _, port = upstream.address.rpartition(":")
    try:
        pool = clients.CheckedPool(host, int(port), retries=False, timeout=5.0)
        with pytest.raises(urllib3.exceptions.ProtocolError, match="too long"):
            pool.request("GET", "/")
        assert upstream.disconnected.wait(5.0)
    finally:
        upstream.close()


def test_whole_body_that_is_read_as_a_whole_is_unchanged():
    body = bytes(range(256)) * 1000
    upstream = scripted_upstream.ScriptedUpstream(
        lambda request: scripted_upstream.respond(request, body=body)
    )
    host, _, port = upstream.address.rpartition(":")
    try:
        pool = clients.CheckedPool(host, int(port), retries=False, timeout=5.0)
        assert [pool.request("GET", "/").data for _ in range(3)] == [body] * 3
        assert pool.num_connections == 1
    finally:
        upstream.close()


def test_response_after_an_interim_one_is_not_taken_for_that_of_the_next_request():
    def respond(request):
        request.wfile.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        time.sleep(0.05)
        scripted_upstream.respond(request, body=request.path.encode())

    upstream = scripted_upstream.ScriptedUpstream(respond)
    host = domain.Host("host-1", "dc-1", domain.HostRole.UPSTREAM, upstream.address)
    client = clients.ServiceClient()
    paths = [f"/{number}" for number in range(4)]
    try:
        responses = [
            client.send(
                host, "GET", path, [], b"", 5.0, path, True, echoes_request_id=False
            )
            for path in paths
        ]
    finally:
        upstream.close()
    assert [each.body.decode() for each in responses] == paths


def test_switch_to_another_protocol_raises():
    with pytest.raises(urllib3.exceptions.ProtocolError):
        read(b"HTTP/1.1 101 Switching Protocols\r\n\r\n")
