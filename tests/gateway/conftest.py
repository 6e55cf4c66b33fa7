import contextlib
import time

import loguru
import pytest

from tests.fakes import forwarding_pair, in_process_gateway, scripted_upstream


@pytest.fixture
def harness():
    """Start gateways and upstreams; close them after the test."""
    started = []

    class Harness:
        def start_upstream(self, handle, name="i-1"):
            started.append(scripted_upstream.ScriptedUpstream(handle, name))
            return started[-1]

        def start_gateway(self, upstreams=(), **options):
            started.append(in_process_gateway.InProcessGateway(upstreams, **options))
            return started[-1]

    yield Harness()
    for server in reversed(started):
        server.close()


@pytest.fixture
def make_pair(harness):
    """Start a pair of gateways with an upstream for each of some scripts."""
    with contextlib.ExitStack() as stack:

        def make(*handles):
            upstreams = [
                harness.start_upstream(handle, f"i-{number}")
                for number, handle in enumerate(handles)
            ]
            pair = forwarding_pair.Pair(harness, *upstreams)
            stack.callback(pair.close)
            return pair

        yield make


@pytest.fixture
def log_lines():
    """Collect the log lines that are written during the test."""
    records = []

    class LogLines:
        def wait_for(self, event):
            """Return the fields of the first line of an event."""
            deadline_s = time.monotonic() + 5.0
            while time.monotonic() < deadline_s:
                for record in list(records):
                    if record["message"] == event:
                        return record["extra"]
                time.sleep(0.01)
            raise AssertionError(f"no line {event!r}")

        def list_fields(self, event):
            """Return the fields of the lines of an event so far."""
            return [each["extra"] for each in records if each["message"] == event]

    handler = loguru.logger.add(lambda message: records.append(message.record))
    yield LogLines()
    loguru.logger.remove(handler)
