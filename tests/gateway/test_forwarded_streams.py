"""Streams that go on through another host, which gets no more events of them."""

import http.client
import threading

import pytest

from sycamorespoke import decisions, serving
from tests.fakes import in_process_gateway, scripted_upstream
from tests.gateway import continued_streams


@pytest.mark.parametrize(
    "answer",
    [
        continued_streams.respond(500),
        continued_streams.respond(404),
        continued_streams.respond(200, Content_Type="text/plain"),
        continued_streams.send_chunks(is_whole=False),
        continued_streams.send_chunks(b"id: 3\ndata: t", is_whole=False),
    ],
    ids=["500", "404", "200 text", "cut before an event", "cut in an event"],
)
def test_error_at_another_host_does_not_reach_a_stream_that_a_cut_interrupted(
    make_pair, answer
):
    begun = threading.Event()
    cut = threading.Event()

    def serve_until_cut(request):
        if request.headers.get("Last-Event-Id"):
            answer(request)
            return
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        begun.set()
        cut.wait(5.0)

    pair = make_pair(serve_until_cut, serve_until_cut)
    origin = decisions.StreamOrigin("s", "v1")
    pair.peer.directory.origins.record("call-1", origin, 60.0, serving.read_clock())
    connection = pair.cut.connect()
    in_process_gateway.send_request(connection, "/stream/x")
    response = connection.getresponse()
    assert begun.wait(5.0)
    events = scripted_upstream.encode_events(1, 2)
    received = response.read(len(events))
    pair.lose_links()
    with pytest.raises(http.client.IncompleteRead) as caught:
        response.read()
    cut.set()
    connection.close()
    assert received + caught.value.partial == events
    resumed = [
        request
        for upstream in pair.upstreams
        for request in upstream.requests
        if request.headers.get("Last-Event-Id") == "2"
    ]
    assert resumed
