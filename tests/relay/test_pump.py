import contextlib
import json
import socket
import threading
import time

import pytest

from sycamorespoke import clients, relay, world

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/jsonl\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"
SILENCE_S = 0.4
# The engine goes on only when the first line has been read.
HAND_OVER = object()


def chunk(*lines):
    data = b"".join(json.dumps(line).encode() + b"\n" for line in lines)
    return b"%x\r\n%b\r\n" % (len(data), data)


def started(request_id="r"):
    value = {"boot_id": "b", "version": "v1", "cached_tokens": 0, "prompt_tokens": 1}
    return {"request_id": request_id} | value


def token(index, request_id="r"):
    return {"request_id": request_id, "index": index, "text": f"t{index}"}


def done(count, request_id="r"):
    return {"request_id": request_id, "done": True, "count": count, "reason": "stop"}


class FakeEngine:
    """Serves connection after connection the parts in `scripts`."""

    def __init__(self):
        self.scripts = []
        self.handed_over = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.threads = [threading.Thread(target=self.serve)]
        self.threads[0].start()

    def serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            script = self.scripts.pop(0)
            thread = threading.Thread(target=self.answer, args=[connection, script])
            self.threads.append(thread)
            thread.start()

    def answer(self, connection, parts):
        with connection, contextlib.suppress(ConnectionError):
            connection.recv(65536)
            for part in parts:
                if isinstance(part, float):
                    time.sleep(part)
                elif part is HAND_OVER:
                    self.handed_over.wait(5.0)
                else:
                    connection.sendall(part)

    def stop(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        for thread in self.threads:
            thread.join()
        self.listener.close()


@pytest.fixture
def engine():
    engine = FakeEngine()
    try:
        yield engine
    finally:
        engine.stop()


@pytest.fixture
def pump():
    pump = relay.Pump()
    pump.start()
    try:
        yield pump
    finally:
        pump.stop()


def open_stream(engine, request_id="r", start_at=0):
    role = world.HostRole.UPSTREAM
    host = world.Host("seeb-scribe-1", "seeb", role, engine.address)
    request = clients.GenerationRequest(
        request_id=request_id,
        account="clubs",
        model="scribe",
        version="v1",
        prompt="x",
        block_keys=(),
        max_tokens=9,
        priority=5,
        start_at=start_at,
    )
    stream = clients.EngineClient().generate(host, request, timeout_s=5.0)
    messages = stream.messages()
    assert isinstance(next(messages), clients.Started)
    return stream, messages


def forward(pump, engine, parts, write=None, deadline_s=None, **options):
    engine.scripts.append([HEAD, *parts])
    stream, messages = open_stream(engine, **options)
    engine.handed_over.set()
    texts = []

    def write_tokens(tokens):
        texts.extend(token.text for token in tokens)

    ends_s = time.monotonic() + 5.0 if deadline_s is None else deadline_s
    last = pump.forward(stream, write or write_tokens, SILENCE_S, ends_s)
    messages.close()
    return last, texts


SPLIT = chunk(token(1))
CASES = {
    "whole": ([chunk(started()), chunk(token(0)), chunk(done(1)), END], 1, "Done"),
    "one_packet": (
        [chunk(started()) + chunk(token(0)) + chunk(token(1)) + chunk(done(2)) + END],
        2,
        "Done",
    ),
    "one_chunk": ([chunk(started(), token(0), token(1), done(2)), END], 2, "Done"),
    "line_in_two_packets": (
        [chunk(started(), token(0)), 0.05, SPLIT[:20], 0.05, SPLIT[20:]]
        + [chunk(done(2)), END],
        2,
        "Done",
    ),
    "late_packets": (
        [chunk(started()), 0.05, chunk(token(0)) + chunk(token(1)), 0.05]
        + [chunk(token(2)), 0.05, chunk(done(3)), END],
        3,
        "Done",
    ),
    "gap": ([chunk(started(), token(0)), 0.05, chunk(token(2))], 1, "Mismatch"),
    "duplicate": ([chunk(started(), token(0)), 0.05, chunk(token(0))], 1, "Mismatch"),
    "crossed": (
        [chunk(started(), token(0)), 0.05, chunk(token(1, "other"))],
        1,
        "Mismatch",
    ),
    "wrong_count": ([chunk(started(), token(0)), chunk(done(2)), END], 1, "Mismatch"),
    "malformed": ([chunk(started(), token(0)), b"5\r\n{xyz\n\r\n"], 1, "Mismatch"),
    "no_chunk": ([chunk(started(), token(0)), 0.05, b"zz\r\n"], 1, "Incomplete"),
    "cut": ([chunk(started(), token(0)), 0.05, chunk(token(1))], 2, "Incomplete"),
    "cut_in_line": ([chunk(started(), token(0)), 0.05, SPLIT[:20]], 1, "Incomplete"),
    "ended_without_count": ([chunk(started(), token(0)), END], 1, "Incomplete"),
    "ended_in_one_packet": ([chunk(started(), token(0)) + END], 1, "Incomplete"),
    "ended_late": (
        [chunk(started()), 0.05, chunk(token(0)) + END, 1.0],
        1,
        "Incomplete",
    ),
    "silent": ([chunk(started(), token(0)), 0.8], 1, "IdleTimeout"),
    "part_of_chunk_behind_whole": (
        [chunk(started()) + chunk(token(0)) + SPLIT[:1], 0.8],
        1,
        "IdleTimeout",
    ),
    "part_of_data_behind_whole": (
        [chunk(started()) + chunk(token(0)) + SPLIT[:20], 0.8],
        1,
        "IdleTimeout",
    ),
    "part_of_chunk_alone": (
        [chunk(started()), HAND_OVER, SPLIT[:1], 0.8],
        0,
        "Incomplete",
    ),
    "cut_behind_whole": (
        [chunk(started()) + chunk(token(0)) + SPLIT[:1]],
        1,
        "Incomplete",
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_forward_ends(pump, engine, name):
    parts, tokens, ending = CASES[name]
    last, texts = forward(pump, engine, parts)
    assert type(last).__name__ == ending
    assert texts == [f"t{index}" for index in range(tokens)]


def test_forward_starts_at_token(pump, engine):
    parts = [chunk(started(), token(4)), chunk(done(5)), END]
    last, texts = forward(pump, engine, parts, start_at=4)
    assert (last, texts) == (clients.Done("stop"), ["t4"])


def test_forward_caller_gone(pump, engine):
    def write(tokens):
        raise ConnectionResetError

    parts = [chunk(started()), 0.05, chunk(token(0)), chunk(done(1)), END]
    last, _ = forward(pump, engine, parts, write)
    assert last == relay.CallerDisconnected("ConnectionResetError")


def test_forward_deadline(pump, engine):
    parts = [chunk(started())] + [chunk(token(0)), 0.2] + [chunk(token(1)), 1.0]
    last, _ = forward(pump, engine, parts, deadline_s=time.monotonic() + 0.3)
    assert isinstance(last, relay.DeadlineExceeded)


def test_forward_many_at_once(pump, engine):
    count = 40
    results_by_id = {}
    streams = []
    for number in range(count):
        request_id = f"r{number}"
        lines = [chunk(token(index, request_id)) for index in range(20)]
        parts = [part for line in lines for part in (line, 0.005)]
        end = [chunk(done(20, request_id)), END]
        engine.scripts.append([HEAD, chunk(started(request_id)), *parts, *end])
        streams.append((request_id, *open_stream(engine, request_id)))

    def run(request_id, stream, messages):
        texts = []
        last = pump.forward(stream, texts.extend, 5.0, time.monotonic() + 30)
        results_by_id[request_id] = (last, [token.text for token in texts])

    threads = [threading.Thread(target=run, args=each) for each in streams]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    whole = (clients.Done("stop"), [f"t{index}" for index in range(20)])
    assert results_by_id == {f"r{number}": whole for number in range(count)}


def test_stop_ends_transfers(engine):
    pump = relay.Pump()
    pump.start()
    results = []
    parts = [chunk(started()), chunk(token(0)), 1.0]
    thread = threading.Thread(
        target=lambda: results.append(forward(pump, engine, parts))
    )
    thread.start()
    time.sleep(0.2)
    pump.stop()
    thread.join()
    assert isinstance(results[0][0], relay.IdleTimeout)
    assert isinstance(forward(pump, engine, parts)[0], relay.IdleTimeout)
