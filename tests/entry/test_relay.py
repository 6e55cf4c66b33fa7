"""Completions whose engine breaks off and whose next engine answers with an error."""

import contextlib
import json
import time
from unittest import mock

import pytest

from sycamorespoke import clients, domain, relay
from sycamorespoke.entry import _relay
from tests.fakes import scripted_upstream

ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nfault"


def make_lines(request, first, last, *, is_whole=True):
    """Return the lines of an engine with the tokens ``first`` to ``last``."""
    request_id = json.loads(request.body)["request_id"]
    lines = [{"boot_id": "b", "version": "v1", "software_version": "1"}]
    lines += [{"index": n, "text": f"t{n}"} for n in range(first, last + 1)]
    if is_whole:
        lines.append({"done": True, "count": last + 1, "reason": "stop"})
    return b"".join(
        json.dumps({"request_id": request_id, **line}).encode() + b"\n"
        for line in lines
    )


def start_lines(request):
    scripted_upstream.send_head(request, 200, {"Transfer-Encoding": "chunked"})


def send_lines(first, last):
    def send(request):
        start_lines(request)
        scripted_upstream.send_chunk(request, make_lines(request, first, last))
        scripted_upstream.send_chunk(request, b"")

    return send


def break_after_two(rest=b"", raw=b""):
    """Return a function that sends two tokens, then given bytes, and closes."""

    def send(request):
        start_lines(request)
        lines = make_lines(request, 0, 1, is_whole=False)
        scripted_upstream.send_chunk(request, lines + rest)
        request.wfile.write(raw)
        request.close_connection = True

    return send


def respond(status, body=b"fault\n", **headers):
    return lambda request: scripted_upstream.respond(request, status, body, **headers)


def send_chunked(body):
    def send(request):
        start_lines(request)
        if body:
            scripted_upstream.send_chunk(request, body)
        scripted_upstream.send_chunk(request, b"")

    return send


ERROR_ANSWERS = {
    "500 text": respond(500),
    "503": respond(503),
    "429": respond(429),
    "409": respond(409),
    "400": respond(400),
    "404": respond(404),
    "302": respond(302, Location="/other"),
    "206": respond(206),
    "204": respond(204, b""),
    "200 text": respond(200),
    "200 json": respond(200, b'{"error": "fault"}\n'),
    "200 coded": respond(200, Content_Encoding="gzip"),
    "200 text in chunks": send_chunked(b"fault\n"),
    "200 empty": send_chunked(b""),
    "200 that repeats a token": send_lines(1, 3),
    "200 with a gap": send_lines(3, 3),
}
BROKEN_STREAMS = {
    "cut": break_after_two(),
    "head in a line": break_after_two(b'{"request_id": "' + ERROR_HEAD + b"\n"),
    "head in a chunk": break_after_two(ERROR_HEAD),
    "head between chunks": break_after_two(raw=ERROR_HEAD),
    "text in a chunk": break_after_two(b"fault\n"),
}


@pytest.fixture
def make_relay():
    """Make relays of a completion to engines, each of which handles one request."""
    with contextlib.ExitStack() as stack:

        def make(*handles):
            engines = [scripted_upstream.ScriptedUpstream(each) for each in handles]
            for engine in engines:
                stack.callback(engine.close)
            pump = relay.Pump()
            pump.start()
            stack.callback(pump.stop)
            return _make_relay(engines, pump)

        yield make


def _make_choice(number, engine):
    role = domain.HostRole.UPSTREAM
    host = domain.Host(f"engine-{number}", "dc-1", role, engine.address)
    group = mock.MagicMock(prefill_tokens_per_s=1000.0)
    return mock.MagicMock(boot_id="", candidate=mock.MagicMock(host=host, group=group))


def _make_relay(engines, pump):
    choices = [_make_choice(number, engine) for number, engine in enumerate(engines)]
    no_engine = domain.Refusal(domain.ErrorKind.NO_UPSTREAM, "no engine is left")
    chooser = mock.MagicMock()
    chooser.choose.side_effect = [*choices, no_engine]
    chooser.get_target_version.return_value = "v1"
    chooser.blocks.import_blocks.return_value = 0
    crash_watch = mock.MagicMock()
    crash_watch.find_refusal.return_value = None
    table = mock.MagicMock()
    table.list_other_software.return_value = set()

    def build_request(version):
        return clients.GenerationRequest(
            request_id="r",
            account="clubs",
            model="scribe",
            version=version,
            prompt="x",
            block_keys=(),
            max_tokens=9,
            priority=5,
        )

    return _relay.CompletionRelay(
        clients.EngineClient(),
        pump,
        chooser,
        table,
        build_request,
        mock.MagicMock(retries=3),
        time.monotonic() + 5.0,
        mock.MagicMock(),
        0.0,
        crash_watch,
    )


def run(completion):
    """Return the texts of the tokens and how the completion ended."""
    opened = completion.open()
    assert isinstance(opened, clients.Started)
    texts = []
    outcome = completion.run(lambda tokens: texts.extend(each.text for each in tokens))
    completion.close()
    return texts, outcome


@pytest.mark.parametrize("answer", ERROR_ANSWERS.values(), ids=ERROR_ANSWERS)
def test_completion_goes_on_at_a_third_engine_after_an_error_of_the_second(
    make_relay, answer
):
    completion = make_relay(break_after_two(), answer, send_lines(2, 3))
    texts, outcome = run(completion)
    assert texts == ["t0", "t1", "t2", "t3"]
    assert outcome == clients.Done("stop")


@pytest.mark.parametrize("answer", ERROR_ANSWERS.values(), ids=ERROR_ANSWERS)
def test_error_of_the_last_engine_does_not_reach_a_begun_completion(make_relay, answer):
    texts, outcome = run(make_relay(break_after_two(), answer))
    assert texts == ["t0", "t1"]
    assert isinstance(outcome, domain.Refusal)


@pytest.mark.parametrize("broken", BROKEN_STREAMS.values(), ids=BROKEN_STREAMS)
def test_error_that_an_engine_writes_into_its_stream_is_replaced_by_tokens(
    make_relay, broken
):
    texts, outcome = run(make_relay(broken, send_lines(2, 3)))
    assert texts == ["t0", "t1", "t2", "t3"]
    assert outcome == clients.Done("stop")
