"""Streams that the application breaks off, as callers see them."""

import http.client
import socket

import pytest

from sycamorespoke import serving

TIMEOUT_S = 10.0


def make_application(error):
    """Return an application whose responses break off with an error."""

    def break_off(environ, start_response):
        environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        yield b"id: 1\ndata: a\n\n"
        raise error

    return break_off


def read_all(connection):
    while connection.recv(65536):
        pass


@pytest.fixture(
    params=[
        serving.BrokenStreamError("the upstream is gone"),
        ValueError("a fault of the application"),
        OSError("a file is gone"),
    ],
    ids=["broken stream", "fault", "system error"],
)
def port(request):
    """Port of a server that breaks off each response, by the error that ends it."""
    limits = serving.CallerLimits()
    application = make_application(request.param)
    server = serving.CallerServer("127.0.0.1:0", application, 4, 50, limits)
    server.start()
    yield server.port
    server.close_listener()
    server.wait_closed(1.0)


def test_broken_stream_ends_without_its_last_chunk(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    connection.request("GET", "/")
    with pytest.raises(http.client.IncompleteRead):
        connection.getresponse().read()


def test_broken_stream_without_chunks_does_not_end_like_a_complete_one(port):
    with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as connection:
        connection.sendall(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            read_all(connection)


def test_broken_stream_holds_nothing_but_the_events_before_the_error(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    connection.request("GET", "/")
    with pytest.raises(http.client.IncompleteRead) as caught:
        connection.getresponse().read()
    assert caught.value.partial == b"id: 1\ndata: a\n\n"
