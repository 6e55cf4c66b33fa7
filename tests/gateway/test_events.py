"""Errors that upstreams write into the bodies of their streams."""

import pytest

from tests.fakes import scripted_upstream
from tests.gateway import continued_streams

EVENTS = scripted_upstream.encode_events
ERROR_HEAD = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"Content-Type: text/plain\r\n"
    b"Content-Length: 5\r\n\r\nfault"
)
BAD_INSIDES = {
    "head": ERROR_HEAD,
    "head with plain line ends": ERROR_HEAD.replace(b"\r\n", b"\n"),
    "head after an incomplete event": b"id: 3\ndata: t" + ERROR_HEAD,
    "text": continued_streams.ERROR_TEXT,
    "text after an incomplete event, unended": b"id: 3\ndata: tupstream error",
    "error event": b"event: error\ndata: upstream error\n\n",
}
each_bad_inside = pytest.mark.parametrize(
    "inside", BAD_INSIDES.values(), ids=BAD_INSIDES
)
each_framing = pytest.mark.parametrize(
    "framing", ["connection_end", "chunks", "length"]
)


@each_bad_inside
@each_framing
def test_error_that_an_upstream_writes_into_its_stream_is_replaced_by_events(
    harness, inside, framing
):
    broken = continued_streams.send_framed(framing, EVENTS(1, 2) + inside)
    continued = continued_streams.ContinuedStream(
        harness, broken, continued_streams.continue_after_two
    )
    assert continued.request() == (EVENTS(1, 4), True)
    assert continued.last_event_ids == [None, "2"]


@each_bad_inside
@each_framing
def test_error_that_an_upstream_writes_into_its_stream_breaks_it_off(
    harness, inside, framing
):
    broken = continued_streams.send_framed(framing, EVENTS(1, 2) + inside)
    continued = continued_streams.ContinuedStream(harness, broken)
    assert continued.request("/once/x") == (EVENTS(1, 2), False)


@each_bad_inside
def test_error_that_a_continuation_begins_with_does_not_reach_the_caller(
    harness, inside
):
    continued = continued_streams.ContinuedStream(
        harness,
        continued_streams.break_after_two,
        continued_streams.send_chunks(inside),
        continued_streams.continue_after_two,
    )
    assert continued.request() == (EVENTS(1, 4), True)


def test_error_head_between_the_chunks_of_a_stream_does_not_reach_the_caller(harness):
    def write_head(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_chunk(request, EVENTS(1, 2))
        request.wfile.write(ERROR_HEAD)
        request.close_connection = True

    continued = continued_streams.ContinuedStream(
        harness, write_head, continued_streams.continue_after_two
    )
    assert continued.request() == (EVENTS(1, 4), True)


def test_error_after_a_whole_stream_does_not_reach_the_caller(harness):
    def write_head(request):
        scripted_upstream.send_stream(request, "chunks", EVENTS(1, 4))
        request.wfile.write(ERROR_HEAD)

    continued = continued_streams.ContinuedStream(harness, write_head)
    assert continued.request() == (EVENTS(1, 4), True)


def test_generated_text_about_http_is_no_error(harness):
    events = (
        b"x-own: 2\nid: 0\ndata: t\n\n"
        b"id: 1\ndata: HTTP/1.1 500 Internal Server Error\ndata: Content-Length: 5\n\n"
        b": a comment\n\n"
        b"\n\n"
        b"id: 2\nevent: error\ndata: HTTP/1.1 404 Not Found\n\n"
        b"data: [DONE]\n\n"
    )
    continued = continued_streams.ContinuedStream(
        harness, continued_streams.send_chunks(events)
    )
    assert continued.request() == (events, True)
