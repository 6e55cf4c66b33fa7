"""Requests that are sent to engines whose weights are older than the target."""

import select
import threading
import time

import attrs

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import _connections, _target_versions
from tests.fakes import in_process_gateway, scripted_upstream

MODEL = "m"
PROMPT_HEADERS = {
    "X_Sycamorespoke_Model": MODEL,
    "X_Sycamorespoke_Token_Count": "100,5",
    "X_Sycamorespoke_Prompt_Prefix": "aa:90,bb:10",
}


def answer_stream(request):
    body = scripted_upstream.encode_events(1, 2)
    scripted_upstream.send_stream(request, "length", body)


def hold_version(gateway, version):
    """Have all upstreams of a gateway hold a weight version."""
    upstreams_by_id = gateway.views.get().upstreams_by_id
    changed_by_id = {
        name: attrs.evolve(upstream, versions_by_model={MODEL: version})
        for name, upstream in upstreams_by_id.items()
    }
    gateway.views.replace_fields(upstreams_by_id=changed_by_id)


def name_target(gateway, version, age_s):
    named_s = serving.read_clock() - age_s
    named = decisions.NamingTime(named_s, named_s)
    target = _target_versions.TargetVersion(MODEL, version, named_s, named)
    gateway.views.replace_fields(targets_by_model={MODEL: target})


def test_older_weights_are_logged_when_chosen_and_when_used(harness, log_lines):
    gateway = harness.start_gateway([harness.start_upstream(answer_stream)])
    hold_version(gateway, 1)
    name_target(gateway, 2, age_s=1.0)
    status, _, _ = gateway.request("/stream/x", **PROMPT_HEADERS)
    assert status == 200
    chosen = log_lines.wait_for("older weights chosen")
    assert (chosen["weight_version"], chosen["target_version"]) == (1, 2)
    assert 1000 <= chosen["target_age_ms"] < 3000
    assert log_lines.wait_for("older weights used")["waited_ms"] >= 0


class WaitingEngine:
    """Engine at which requests wait until it is released or they disconnect."""

    def __init__(self):
        self.begun = []
        self.released = threading.Event()

    def __call__(self, request):
        deadline_s = time.monotonic() + 5.0
        while not self.released.is_set() and time.monotonic() < deadline_s:
            ready, _, _ = select.select([request.connection], [], [], 0.02)
            if ready:
                # Its connection has been closed.
                raise ConnectionResetError
        self.begun.append(request.headers["X-Sycamorespoke-Request-Id"])
        answer_stream(request)


def serve_in_thread(gateway, path):
    results = []

    def send():
        results.append(gateway.request(path, **PROMPT_HEADERS))

    thread = threading.Thread(target=send)
    thread.start()
    return thread, results


def wait_until(is_done):
    deadline_s = time.monotonic() + 5.0
    while not is_done() and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert is_done()


def test_request_that_waits_beyond_the_grace_does_not_begin_on_older_weights(harness):
    engine = WaitingEngine()
    upstream = harness.start_upstream(engine)
    gateway = harness.start_gateway([upstream])
    hold_version(gateway, 1)
    name_target(gateway, 2, age_s=3.0)
    thread, results = serve_in_thread(gateway, "/stream/x")
    wait_until(lambda: upstream.requests)
    name_target(gateway, 2, age_s=5.9)
    gateway.gateway.version_grace.withdraw_late(serving.read_clock())
    thread.join()
    engine.released.set()
    assert engine.begun == []
    [(status, _, _)] = results
    assert status == 502


def test_request_taken_back_from_older_weights_is_served_by_newer_ones(harness):
    engine = WaitingEngine()
    old = harness.start_upstream(engine, "i-1")
    new = harness.start_upstream(answer_stream, "i-2")
    gateway = harness.start_gateway([old])
    hold_version(gateway, 1)
    name_target(gateway, 2, age_s=3.0)
    thread, results = serve_in_thread(gateway, "/stream/x")
    wait_until(lambda: old.requests)
    gateway.register([old, new])
    hold_version(gateway, 1)
    gateway.table.record_version(find_upstream(gateway, "i-2"), MODEL, 2)
    name_target(gateway, 2, age_s=5.9)
    gateway.gateway.version_grace.withdraw_late(serving.read_clock())
    thread.join()
    [(status, _, body)] = results
    assert (status, body) == (200, scripted_upstream.encode_events(1, 2))
    assert engine.begun == []
    failures = gateway.table.read([find_upstream(gateway, "i-1")])["i-1@1"].failures
    assert failures.failure_rate == 0.0


def test_stream_that_has_begun_on_older_weights_is_not_taken_back(harness):
    released = threading.Event()

    def send_in_two_parts(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_chunk(request, scripted_upstream.encode_events(1, 1))
        released.wait(5.0)
        scripted_upstream.send_chunk(request, scripted_upstream.encode_events(2, 2))
        scripted_upstream.send_chunk(request, b"")

    upstream = harness.start_upstream(send_in_two_parts)
    gateway = harness.start_gateway([upstream])
    hold_version(gateway, 1)
    name_target(gateway, 2, age_s=3.0)
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/stream/x", **PROMPT_HEADERS)
    response = connection.getresponse()
    name_target(gateway, 2, age_s=5.9)
    gateway.gateway.version_grace.withdraw_late(serving.read_clock())
    released.set()
    assert response.read() == scripted_upstream.encode_events(1, 2)
    connection.close()


def test_request_does_not_go_where_it_would_wait_beyond_the_grace(harness):
    slow = harness.start_upstream(answer_stream, "i-1")
    gateway = harness.start_gateway([slow])
    hold_version(gateway, 1)
    name_target(gateway, 2, age_s=3.0)
    upstream = find_upstream(gateway, "i-1")
    now = serving.read_clock()
    gateway.table.expect_first_event(upstream, "a request", now - 3.5)
    status, _, _ = gateway.request("/stream/x", **PROMPT_HEADERS)
    assert status == 503
    assert not slow.requests


def test_request_held_up_before_it_is_sent_does_not_go_to_older_weights(
    harness, monkeypatch
):
    upstream = harness.start_upstream(answer_stream)
    gateway = harness.start_gateway([upstream])
    hold_version(gateway, 1)
    name_target(gateway, 2, age_s=1.0)
    connect = _connections.Connection.connect

    def connect_late(connection):
        connect(connection)
        # As if the host had been suspended since the choice.
        name_target(gateway, 2, age_s=6.5)

    monkeypatch.setattr(_connections.Connection, "connect", connect_late)
    status, _, _ = gateway.request("/stream/x", **PROMPT_HEADERS)
    assert not upstream.requests
    assert status == 503


def test_engine_that_holds_an_older_version_than_known_is_not_asked_again_and_again(
    harness,
):
    def refuse(request):
        headers = {"X-Sycamorespoke-Weight-Versions": "1"}
        scripted_upstream.respond(request, 421, b"", **headers)

    upstream = harness.start_upstream(refuse)
    gateway = harness.start_gateway([upstream])
    hold_version(gateway, 2)
    gateway.request("/stream/x", **PROMPT_HEADERS)
    assert len(upstream.requests) <= 2


def find_upstream(gateway, name):
    return gateway.views.get().upstreams_by_id[name]
