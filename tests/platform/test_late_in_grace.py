"""Requests whose last bytes come late in the grace period of a planned stop."""

import signal
import socket
import threading
import time

import pytest

from tests.fakes import in_process_gateway, scripted_upstream
from tests.platform import test_endless_bodies, test_program

pytestmark = pytest.mark.processes
GRACE_S = 8.0
BODY = b"ask" * 10
NO_ANSWER = b""
REQUEST_ID = "X-Sycamorespoke-Request-Id"
# How long after the signal the rest of a body is sent, in seconds.
EARLY_S, LATE_TIMES_S = 1.0, (4.0, 5.5, 6.5, 7.2)
KINDS = ("unsafe", "safe", "streaming")


class HalfSentRequest:
    """A request whose head and half of the body have been sent."""

    def __init__(self, gateway, kind, request_id, deadline_ms):
        self.request_id = request_id
        port = gateway.ports["listen"]
        self._connection = socket.create_connection(("127.0.0.1", port), 12.0)
        self._connection.sendall(
            f"POST /s-{kind}/x HTTP/1.1\r\nHost: {in_process_gateway.HOST}\r\n"
            f"{REQUEST_ID}: {request_id}\r\n"
            f"X-Sycamorespoke-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {in_process_gateway.API_KEY}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n".encode()
            + BODY[:9]
        )

    def finish(self):
        """Send the rest; return all that the host answers until it closes."""
        with self._connection as connection:
            connection.sendall(BODY[9:])
            parts = []
            try:
                while part := connection.recv(65536):
                    parts.append(part)
            except ConnectionError:
                pass
            return b"".join(parts)


class Stop:
    """A host that gets SIGTERM, and requests whose rest is sent after it."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.answers_by_id = {}
        self._threads = []
        self._pending = []

    def add(self, kind, after_s, deadline_ms):
        request_id = f"{kind}-{after_s}-{deadline_ms}"
        request = HalfSentRequest(self.gateway, kind, request_id, deadline_ms)
        self._pending.append((after_s, request))
        return request_id

    def play(self):
        self.gateway.process.send_signal(signal.SIGTERM)
        begun_s = time.monotonic()
        for after_s, request in self._pending:
            thread = threading.Thread(
                target=self._finish, args=(begun_s + after_s, request)
            )
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()
        status = self.gateway.process.wait(test_program.TIMEOUT_S)
        assert time.monotonic() - begun_s < GRACE_S
        return status

    def _finish(self, at_s, request):
        time.sleep(max(at_s - time.monotonic(), 0.0))
        self.answers_by_id[request.request_id] = request.finish()


@pytest.fixture
def start_stop(fake_store, tmp_path):
    """Start a host before one upstream that handles requests in some way."""
    started = []

    def start(handle):
        upstream = scripted_upstream.ScriptedUpstream(handle)
        started.append(upstream)
        gateway = test_program.GatewayProcess(fake_store, tmp_path, grace_s=GRACE_S)
        started.append(gateway)
        test_endless_bodies.register(
            fake_store, {"s": upstream}, ("safe", "unsafe", "streaming"), 9000
        )
        assert gateway.wait_ready()
        return Stop(gateway), upstream

    yield start
    for each in started:
        each.close()


def list_arrived(upstream):
    return {request.headers[REQUEST_ID] for request in upstream.requests}


def test_requests_read_late_in_the_grace_are_refused_as_not_run_and_not_cut(start_stop):
    # Report of another operator (issue 47): they were passed on and then cut.
    stop, upstream = start_stop(lambda request: time.sleep(GRACE_S))
    late = [stop.add(kind, at_s, 9000) for kind in KINDS for at_s in LATE_TIMES_S]
    assert stop.play() == 0
    for request_id in late:
        answer = stop.answers_by_id[request_id]
        assert answer.startswith(b"HTTP/1.1 503 draining"), request_id
        assert b"\r\nRetry-After: " in answer, request_id
    assert list_arrived(upstream) == set()


def test_requests_read_early_get_a_response_before_the_process_ends(start_stop):
    stop, upstream = start_stop(lambda request: time.sleep(GRACE_S))
    early = {stop.add(kind, EARLY_S, 9000) for kind in KINDS}
    # Requests that were not all answered by their upstream.
    assert stop.play() == 3
    statuses = {stop.answers_by_id[each][:12] for each in early}
    assert statuses == {b"HTTP/1.1 502"}
    assert list_arrived(upstream) == early


def test_short_requests_are_served_late_in_the_grace(start_stop):
    stop, upstream = start_stop(scripted_upstream.respond)
    # The deadline counts from the arrival of the head, 600 ms remain for the rest.
    times_s = (EARLY_S, 4.0, 5.5, 6.0)
    late = {stop.add("unsafe", at_s, int(at_s * 1000) + 600) for at_s in times_s}
    assert stop.play() == 0
    statuses = {stop.answers_by_id[each][:12] for each in late}
    assert statuses == {b"HTTP/1.1 200"}
    assert list_arrived(upstream) == late


def test_begun_streams_end_as_incomplete_with_the_process(start_stop):
    def send_one_event(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 1)
        time.sleep(GRACE_S)

    stop, _ = start_stop(send_one_event)
    request_id = stop.add("streaming", EARLY_S, 9000)
    assert stop.play() == 3
    answer = stop.answers_by_id[request_id]
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"id: 1\ndata: t1\n\n" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_second_signal_during_the_stop_changes_nothing(start_stop):
    stop, upstream = start_stop(scripted_upstream.respond)
    late = stop.add("unsafe", 5.5, 9000)
    early = stop.add("unsafe", EARLY_S, 9000)

    def signal_again():
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            time.sleep(1.0)
            stop.gateway.process.send_signal(number)

    thread = threading.Thread(target=signal_again)
    thread.start()
    assert stop.play() == 0
    thread.join()
    assert stop.answers_by_id[early].startswith(b"HTTP/1.1 200")
    assert stop.answers_by_id[late].startswith(b"HTTP/1.1 503 draining")
    assert list_arrived(upstream) == {early}
