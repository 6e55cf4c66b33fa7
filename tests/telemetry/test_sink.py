"""Logging never blocks the process and has a bounded rate and queue."""

import threading
import time

from sycamorespoke import telemetry


class BlockingStream:
    """Stream whose writes block until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(10.0)
        self.text += text

    def flush(self):
        pass


def test_write_does_not_block_on_a_blocked_stream():
    stream = BlockingStream()
    sink = telemetry.BoundedSink(stream, limit=10)
    start_s = time.monotonic()
    for number in range(1000):
        sink.write(f"{number}\n")
    # Far less than the 10 s for which the stream blocks.
    assert time.monotonic() - start_s < 5.0
    assert sink.dropped > 900
    stream.released.set()
    assert sink.flush(5.0)
    sink.write("after\n")
    assert sink.flush(5.0)
    assert "log lines dropped" in stream.text
    assert "after\n" in stream.text


def test_lines_are_written_in_order():
    stream = BlockingStream()
    stream.released.set()
    sink = telemetry.BoundedSink(stream)
    for number in range(100):
        sink.write(f"{number}\n")
    assert sink.flush(5.0)
    assert stream.text.split() == [str(number) for number in range(100)]


def test_info_lines_are_admitted_while_debug_lines_are_suppressed():
    limit = telemetry.LogRateLimiter(debug_per_s=5.0, other_per_s=100.0)
    admitted = sum(limit.admit("DEBUG", number / 100) for number in range(1000))
    assert admitted <= 5 + 5 * 10
    assert all(limit.admit("INFO", 20.0 + number / 50) for number in range(500))
    assert limit.take_suppressed_count() == 1000 - admitted


def test_info_lines_are_rate_limited():
    limit = telemetry.LogRateLimiter(debug_per_s=5.0, other_per_s=100.0)
    written = sum(limit.admit("INFO", number / 10000) for number in range(10000))
    assert written <= 200
