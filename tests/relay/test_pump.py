import contextlib
import json
import socket
import threading
import time

import pytest

from sycamorespoke import clients, domain, relay

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/jsonl\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"
IDLE_TIMEOUT_S = 0.4
# A step at which the engine waits until the first line has been read.
WAIT_FOR_FORWARD = object()


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
    """Responds to each connection with the steps of the next of its `scripts`."""

    def __init__(self):
        self.scripts = []
        self.forward_begun = threading.Event()
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

    def answer(self, connection, steps):
        with connection, contextlib.suppress(ConnectionError):
            connection.recv(65536)
            for step in steps:
                if isinstance(step, float):
                    time.sleep(step)
                elif step is WAIT_FOR_FORWARD:
                    self.forward_begun.wait(5.0)
                else:
                    connection.sendall(step)

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
    role = domain.HostRole.UPSTREAM
    host = domain.Host("seeb-scribe-1", "seeb", role, engine.address)
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


def forward(pump, engine, steps, write=None, deadline_s=None, **options):
    engine.scripts.append([HEAD, *steps])
    stream, messages = open_stream(engine, **options)
    engine.forward_begun.set()
    texts = []

    def write_tokens(tokens):
        texts.extend(token.text for token in tokens)

    resolved_deadline_s = time.monotonic() + 5.0 if deadline_s is None else deadline_s
    last_message = pump.forward(
        stream, write or write_tokens, IDLE_TIMEOUT_S, resolved_deadline_s
    )
    messages.close()
    return last_message, texts


SPLIT_CHUNK = chunk(token(1))
CASES = {
    "complete": ([chunk(started()), chunk(token(0)), chunk(done(1)), END], 1, "Done"),
    "all_in_one_packet": (
        [chunk(started()) + chunk(token(0)) + chunk(token(1)) + chunk(done(2)) + END],
        2,
        "Done",
    ),
    "all_in_one_chunk": (
        [chunk(started(), token(0), token(1), done(2)), END],
        2,
        "Done",
    ),
    "line_in_two_packets": (
        [chunk(started(), token(0)), 0.05, SPLIT_CHUNK[:20], 0.05, SPLIT_CHUNK[20:]]
        + [chunk(done(2)), END],
        2,
        "Done",
    ),
    "packets_with_pauses": (
        [chunk(started()), 0.05, chunk(token(0)) + chunk(token(1)), 0.05]
        + [chunk(token(2)), 0.05, chunk(done(3)), END],
        3,
        "Done",
    ),
    "missing_token": (
        [chunk(started(), token(0)), 0.05, chunk(token(2))],
        1,
        "Mismatch",
    ),
    "duplicate_token": (
        [chunk(started(), token(0)), 0.05, chunk(token(0))],
        1,
        "Mismatch",
    ),
    "other_request_id": (
        [chunk(started(), token(0)), 0.05, chunk(token(1, "other"))],
        1,
        "Mismatch",
    ),
    "wrong_count": ([chunk(started(), token(0)), chunk(done(2)), END], 1, "Mismatch"),
    "malformed_line": ([chunk(started(), token(0)), b"5\r\n{xyz\n\r\n"], 1, "Mismatch"),
    "malformed_chunk_size": (
        [chunk(started(), token(0)), 0.05, b"zz\r\n"],
        1,
        "Incomplete",
    ),
    "connection_lost": (
        [chunk(started(), token(0)), 0.05, chunk(token(1))],
        2,
        "Incomplete",
    ),
    "connection_lost_in_line": (
        [chunk(started(), token(0)), 0.05, SPLIT_CHUNK[:20]],
        1,
        "Incomplete",
    ),
    "ended_without_done": ([chunk(started(), token(0)), END], 1, "Incomplete"),
    "ended_without_done_in_one_packet": (
        [chunk(started(), token(0)) + END],
        1,
        "Incomplete",
    ),
    "ended_without_done_after_pause": (
        [chunk(started()), 0.05, chunk(token(0)) + END, 1.0],
        1,
        "Incomplete",
    ),
    "idle": ([chunk(started(), token(0)), 0.8], 1, "IdleTimeout"),
    "idle_in_chunk_size_after_complete_chunk": (
        [chunk(started()) + chunk(token(0)) + SPLIT_CHUNK[:1], 0.8],
        1,
        "IdleTimeout",
    ),
    "idle_in_chunk_data_after_complete_chunk": (
        [chunk(started()) + chunk(token(0)) + SPLIT_CHUNK[:20], 0.8],
        1,
        "IdleTimeout",
    ),
    "idle_in_chunk_size_in_own_packet": (
        [chunk(started()), WAIT_FOR_FORWARD, SPLIT_CHUNK[:1], 0.8],
        0,
        "Incomplete",
    ),
    "connection_lost_after_complete_chunk": (
        [chunk(started()) + chunk(token(0)) + SPLIT_CHUNK[:1]],
        1,
        "Incomplete",
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_forward_writes_tokens_and_returns_last_message(pump, engine, name):
    steps, tokens, ending = CASES[name]
    last_message, texts = forward(pump, engine, steps)
    assert type(last_message).__name__ == ending
    assert texts == [f"t{index}" for index in range(tokens)]


def test_forward_resumed_stream_starts_at_token(pump, engine):
    steps = [chunk(started(), token(4)), chunk(done(5)), END]
    last_message, texts = forward(pump, engine, steps, start_at=4)
    assert (last_message, texts) == (clients.Done("stop"), ["t4"])


def test_forward_reports_disconnected_caller(pump, engine):
    def write(tokens):
        raise ConnectionResetError

    steps = [chunk(started()), 0.05, chunk(token(0)), chunk(done(1)), END]
    last_message, _ = forward(pump, engine, steps, write)
    assert last_message == relay.CallerDisconnected("ConnectionResetError")


def test_forward_stops_at_deadline(pump, engine):
    steps = [chunk(started())] + [chunk(token(0)), 0.2] + [chunk(token(1)), 1.0]
    last_message, _ = forward(pump, engine, steps, deadline_s=time.monotonic() + 0.3)
    assert isinstance(last_message, relay.DeadlineExceeded)


def test_forward_relays_concurrent_streams(pump, engine):
    count = 40
    results_by_id = {}
    streams = []
    for number in range(count):
        request_id = f"r{number}"
        lines = [chunk(token(index, request_id)) for index in range(20)]
        steps = [step for line in lines for step in (line, 0.005)]
        end = [chunk(done(20, request_id)), END]
        engine.scripts.append([HEAD, chunk(started(request_id)), *steps, *end])
        streams.append((request_id, *open_stream(engine, request_id)))

    def run(request_id, stream, messages):
        texts = []
        last_message = pump.forward(stream, texts.extend, 5.0, time.monotonic() + 30)
        results_by_id[request_id] = (last_message, [token.text for token in texts])

    threads = [threading.Thread(target=run, args=each) for each in streams]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    expected = (clients.Done("stop"), [f"t{index}" for index in range(20)])
    assert results_by_id == {f"r{number}": expected for number in range(count)}


def test_stop_ends_running_and_new_transfers(engine):
    pump = relay.Pump()
    pump.start()
    results = []
    steps = [chunk(started()), chunk(token(0)), 1.0]
    thread = threading.Thread(
        target=lambda: results.append(forward(pump, engine, steps))
    )
    thread.start()
    time.sleep(0.2)
    pump.stop()
    thread.join()
    assert isinstance(results[0][0], relay.IdleTimeout)
    assert isinstance(forward(pump, engine, steps)[0], relay.IdleTimeout)
