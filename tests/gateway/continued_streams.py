"""Upstreams that break a stream off and answer its continuation in given ways."""

import http.client

from sycamorespoke.gateway import _model
from tests.fakes import in_process_gateway, scripted_upstream

ERROR_TEXT = b"upstream error\n\n"
ROUTES = (
    in_process_gateway.make_route(
        "stream", _model.RouteKind.STREAM, attempts=3, is_resumable=True
    ),
    in_process_gateway.make_route(
        "twice", _model.RouteKind.STREAM, attempts=2, is_resumable=True
    ),
    in_process_gateway.make_route("once", _model.RouteKind.STREAM, attempts=1),
)


class ContinuedStream:
    """A gateway before upstreams, each of which handles one request, in their order.

    Attributes
    ----------
    last_event_ids : list of str or None
        ``Last-Event-Id`` of each request that has reached an upstream.
    """

    def __init__(self, harness, *handles):
        self.last_event_ids = []
        remaining = list(handles)

        def handle(request):
            self.last_event_ids.append(request.headers.get("Last-Event-Id"))
            remaining.pop(0)(request)

        upstreams = [
            harness.start_upstream(handle, f"i-{number}")
            for number in range(len(handles))
        ]
        self.gateway = harness.start_gateway(upstreams, routes=ROUTES)

    def request(self, path="/stream/x"):
        """Return the received body, and whether it ended as a complete one."""
        try:
            status, _, body = self.gateway.request(path)
        except http.client.IncompleteRead as error:
            return error.partial, False
        assert status == 200
        return body, True


def send_chunks(*chunks, is_whole=True):
    """Return a function that sends an event stream of given chunks."""

    def send(request):
        scripted_upstream.start_stream(request)
        for chunk in chunks:
            scripted_upstream.send_chunk(request, chunk)
        if not is_whole:
            scripted_upstream.abort(request)
        scripted_upstream.send_chunk(request, b"")

    return send


def send_framed(framing, body):
    """Return a function that sends an event stream with a framing."""
    return lambda request: scripted_upstream.send_stream(request, framing, body)


def respond(status, body=ERROR_TEXT, **headers):
    """Return a function that sends a complete response."""
    return lambda request: scripted_upstream.respond(request, status, body, **headers)


def respond_unframed(status, body, **headers):
    """Return a function that sends a response which ends with its connection."""

    def send(request):
        request_id = request.headers["X-Sycamorespoke-Request-Id"]
        own = {"X-Sycamorespoke-Request-Id": request_id, **headers}
        scripted_upstream.send_head(request, status, own)
        request.wfile.write(body)
        request.close_connection = True

    return send


break_after_two = send_chunks(
    scripted_upstream.encode_events(1, 2), b"id: 3\ndata: t", is_whole=False
)
continue_after_two = send_chunks(scripted_upstream.encode_events(3, 4))
