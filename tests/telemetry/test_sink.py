"""Logs never make a process wait, and are bounded."""

import threading
import time

from sycamorespoke import telemetry


class StuckStream:
    """A stream that nobody reads until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.text = ""

    def write(self, text):
        self.released.wait(10.0)
        self.text += text

    def flush(self):
        pass


def test_a_stream_that_nobody_reads_holds_up_nobody():
    stream = StuckStream()
    sink = telemetry.BoundedSink(stream, limit=10)
    begun_s = time.monotonic()
    for number in range(1000):
        sink.write(f"{number}\n")
    # Far less than the ten seconds for which the stream is stuck.
    assert time.monotonic() - begun_s < 5.0
    assert sink.dropped > 900
    stream.released.set()
    assert sink.flush(5.0)
    sink.write("after\n")
    assert sink.flush(5.0)
    assert "log lines dropped" in stream.text
    assert "after\n" in stream.text


def test_lines_come_out_in_order():
    stream = StuckStream()
    stream.released.set()
    sink = telemetry.BoundedSink(stream)
    for number in range(100):
        sink.write(f"{number}\n")
    assert sink.flush(5.0)
    assert stream.text.split() == [str(number) for number in range(100)]


def test_failures_are_written_when_successes_are_sampled():
    limit = telemetry.LogRateLimiter(debug_per_s=5.0, other_per_s=100.0)
    plain = sum(limit.admit("DEBUG", number / 100) for number in range(1000))
    assert plain <= 5 + 5 * 10
    assert all(limit.admit("INFO", 20.0 + number / 50) for number in range(500))
    assert limit.take_suppressed_count() == 1000 - plain


def test_failures_are_bounded_too():
    limit = telemetry.LogRateLimiter(debug_per_s=5.0, other_per_s=100.0)
    written = sum(limit.admit("INFO", number / 10000) for number in range(10000))
    assert written <= 200
