"""Streams that broke off, by how the next upstream responds."""

import pytest

from tests.fakes import scripted_upstream
from tests.gateway import continued_streams

EVENTS = scripted_upstream.encode_events
EVENT_STREAM = {"Content-Type": "text/event-stream"}
NOT_RUN = {"X-Sycamorespoke-Not-Run": "1"}
ERROR_ANSWERS = {
    "500 text": continued_streams.respond(500),
    "500 event stream": continued_streams.respond(500, EVENTS(3, 4), **EVENT_STREAM),
    "503 that may have run": continued_streams.respond(503),
    "503 not run": continued_streams.respond(503, **NOT_RUN),
    "421": continued_streams.respond(421),
    "429": continued_streams.respond(429),
    "429 not run": continued_streams.respond(429, **NOT_RUN),
    "400": continued_streams.respond(400),
    "404": continued_streams.respond(404),
    "404 event stream": continued_streams.respond(404, EVENTS(3, 4), **EVENT_STREAM),
    "404 without length": continued_streams.respond_unframed(
        404, continued_streams.ERROR_TEXT
    ),
    "302": continued_streams.respond(302, Location="/other"),
    "206 event stream": continued_streams.respond(206, EVENTS(3, 4), **EVENT_STREAM),
    "204": continued_streams.respond(204, b""),
    "200 text": continued_streams.respond(200, Content_Type="text/plain"),
    "200 json": continued_streams.respond(
        200, b'{"error": "fault"}', Content_Type="application/json"
    ),
    "200 text without length": continued_streams.respond_unframed(
        200, continued_streams.ERROR_TEXT, Content_Type="text/plain"
    ),
    "200 without type": continued_streams.respond(200),
    "200 events of another type": continued_streams.respond(
        200, EVENTS(3, 4), Content_Type="text/plain"
    ),
    "200 coded": continued_streams.respond(
        200, EVENTS(3, 4), Content_Encoding="gzip", **EVENT_STREAM
    ),
    "200 unframed and empty": continued_streams.send_framed("connection_end", b""),
    "200 event stream cut before an event": continued_streams.send_chunks(
        is_whole=False
    ),
    "200 event stream cut in an event": continued_streams.send_chunks(
        b"id: 3\ndata: x", is_whole=False
    ),
}
each_error_answer = pytest.mark.parametrize(
    "answer", ERROR_ANSWERS.values(), ids=ERROR_ANSWERS
)


@each_error_answer
def test_stream_goes_on_at_a_third_upstream_after_an_error_of_the_second(
    harness, answer
):
    continued = continued_streams.ContinuedStream(
        harness,
        continued_streams.break_after_two,
        answer,
        continued_streams.continue_after_two,
    )
    assert continued.request() == (EVENTS(1, 4), True)
    assert continued.last_event_ids == [None, "2", "2"]


@each_error_answer
def test_error_of_the_last_upstream_does_not_reach_a_begun_stream(harness, answer):
    continued = continued_streams.ContinuedStream(
        harness, continued_streams.break_after_two, answer
    )
    assert continued.request("/twice/x") == (EVENTS(1, 2), False)
    assert continued.last_event_ids == [None, "2"]


@each_error_answer
def test_begun_stream_that_may_not_be_resumed_is_not_continued(harness, answer):
    continued = continued_streams.ContinuedStream(
        harness, continued_streams.break_after_two, answer
    )
    assert continued.request("/once/x") == (EVENTS(1, 2), False)
    assert continued.last_event_ids == [None]


@pytest.mark.parametrize(
    "content_type", ["Text/Event-Stream", "text/event-stream; charset=utf-8"]
)
def test_spelling_of_the_content_type_does_not_matter(harness, content_type):
    answer = continued_streams.respond(200, EVENTS(3, 4), Content_Type=content_type)
    continued = continued_streams.ContinuedStream(
        harness, continued_streams.break_after_two, answer
    )
    assert continued.request() == (EVENTS(1, 4), True)


@pytest.mark.parametrize("framing", ["connection_end", "chunks", "length"])
def test_continuation_may_have_another_framing_and_repeat_events(harness, framing):
    answer = continued_streams.send_framed(framing, EVENTS(1, 4))
    continued = continued_streams.ContinuedStream(
        harness, continued_streams.break_after_two, answer
    )
    assert continued.request() == (EVENTS(1, 4), True)


@pytest.mark.parametrize("framing", ["chunks", "length"])
def test_framed_continuation_without_events_completes_the_stream(harness, framing):
    continued = continued_streams.ContinuedStream(
        harness,
        continued_streams.break_after_two,
        continued_streams.send_framed(framing, b""),
    )
    assert continued.request() == (EVENTS(1, 2), True)


def test_response_that_is_no_event_stream_is_not_continued(harness):
    def break_text(request):
        headers = {"X-Sycamorespoke-Request-Id": "call-1", "Content-Length": "90"}
        scripted_upstream.send_head(request, 200, headers)
        request.wfile.write(b"a text\n\nwith a gap")
        scripted_upstream.abort(request)

    continued = continued_streams.ContinuedStream(
        harness, break_text, continued_streams.send_chunks(EVENTS(1, 2))
    )
    assert continued.request() == (b"a text\n\n", False)


def test_error_response_as_event_stream_is_forwarded_unchanged(harness):
    continued = continued_streams.ContinuedStream(
        harness,
        continued_streams.respond(404, continued_streams.ERROR_TEXT, **EVENT_STREAM),
    )
    status, _, body = continued.gateway.request("/stream/x")
    assert (status, body) == (404, continued_streams.ERROR_TEXT)


def test_log_tells_why_a_response_does_not_continue_a_stream(harness, log_lines):
    begun = continued_streams.send_chunks(EVENTS(1, 2))
    answer = continued_streams.respond(404)
    reasons = []

    def end(request):
        begun(request)
        reasons.append(log_lines.list_fields("attempt broke")[-1]["reason"])

    continued = continued_streams.ContinuedStream(
        harness, continued_streams.break_after_two, answer, end
    )
    assert continued.request() == (EVENTS(1, 2), True)
    assert reasons == ["the upstream responded with status 404 instead of events"]


@pytest.mark.parametrize("first", [b"", EVENTS(1, 1)], ids=["none", "later ones"])
def test_events_without_ids_are_not_sent_a_second_time(harness, first):
    begun = continued_streams.send_chunks(first + b"data: a\n\n", is_whole=False)
    again = continued_streams.send_chunks(b"data: a\n\ndata: b\n\n")
    continued = continued_streams.ContinuedStream(harness, begun, again)
    assert continued.request() == (first + b"data: a\n\n", False)


def test_comments_and_later_ids_let_a_stream_go_on(harness):
    events = b"data: a\n\n" + EVENTS(1, 2) + b": comment\n\n"
    begun = continued_streams.send_chunks(events, is_whole=False)
    continued = continued_streams.ContinuedStream(
        harness, begun, continued_streams.continue_after_two
    )
    assert continued.request() == (events + EVENTS(3, 4), True)
