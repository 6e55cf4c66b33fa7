"""What callers and upstreams see of a gateway."""

import http.client
import threading
import time

import pytest

from tests.fakes import in_process_gateway, scripted_upstream


def test_an_answer_comes_back_with_its_receipt(harness):
    stub = harness.start_upstream(
        lambda request: scripted_upstream.respond(request, body=b"yes")
    )
    gateway = harness.start_gateway([stub])
    status, headers, body = gateway.request(
        "/safe/x?a=%7e&b=//", method="GET", body=None
    )
    assert (status, body) == (200, b"yes")
    assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"
    assert stub.requests[0].path == "/safe/x?a=%7e&b=//"
    assert stub.requests[0].command == "GET"


def test_what_only_the_system_may_set_is_not_passed_on(harness):
    stub = harness.start_upstream(scripted_upstream.respond)
    gateway = harness.start_gateway([stub])
    forged = {
        "X-Sycamorespoke-Tenant-Id": "other",
        "X-Sycamorespoke-Cache-Salt": "other",
        "X-Sycamorespoke-Kv-Hold": "h",
        "X-Sycamorespoke-Pin-Ms": "9",
        "X-Sycamorespoke-Kv-Backup": "1.2.3.4:5",
        "X-Sycamorespoke-Kv-From": "1.2.3.4:5/6",
        "Kv-From": "1.2.3.4:5/6",
        "X-Sycamorespoke-Expect-Instance": "other",
        "Connection": "x-private",
        "X-Private": "1",
        "X-Kept": "2",
    }
    gateway.request("/unsafe/x", **forged)
    headers = stub.requests[0].headers
    assert headers["X-Sycamorespoke-Tenant-Id"] == "account-1"
    assert headers["X-Sycamorespoke-Expect-Instance"] == "i-1"
    assert headers["X-Kept"] == "2"
    gone = ["Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Cache-Salt"]
    for name in [f"X-Sycamorespoke-{each}" for each in gone]:
        assert name not in headers
    for name in ["Kv-From", "Authorization", "X-Private"]:
        assert name not in headers


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", {}, 404),
        ("/safe", {}, 404),
        ("/safe/x", {"Authorization": "Bearer other"}, 401),
        ("/safe/x", {"Authorization": None}, 401),
    ],
)
def test_what_the_configuration_does_not_allow_reaches_no_upstream(
    harness, path, headers, status
):
    stub = harness.start_upstream(scripted_upstream.respond)
    gateway = harness.start_gateway([stub])
    assert gateway.request(path, **headers)[0] == status
    assert stub.requests == []


def test_without_a_view_the_refusal_says_that_it_did_not_run(harness):
    gateway = harness.start_gateway()
    gateway.views.replace_fields(upstreams_by_id=None)
    status, headers, _ = gateway.request("/unsafe/x")
    assert status == 503
    assert float(headers["Retry-After"]) > 0


def test_an_unsafe_call_whose_answer_is_lost_is_not_sent_again(harness):
    stubs = [
        harness.start_upstream(scripted_upstream.abort, name) for name in ("i-1", "i-2")
    ]
    gateway = harness.start_gateway(stubs)
    assert gateway.request("/unsafe/x")[0] == 502
    assert sum(len(stub.requests) for stub in stubs) == 1


def test_a_safe_call_whose_answer_is_lost_goes_to_another_upstream(harness):
    stubs = [harness.start_upstream(scripted_upstream.abort, "i-1")]
    stubs.append(harness.start_upstream(scripted_upstream.respond, "i-2"))
    gateway = harness.start_gateway(stubs)
    for _ in range(4):
        assert gateway.request("/safe/x", method="GET")[0] == 200


def test_an_unsafe_call_goes_elsewhere_when_no_connection_is_taken(harness):
    gone = harness.start_upstream(scripted_upstream.respond, "i-1")
    sound = harness.start_upstream(scripted_upstream.respond, "i-2")
    gateway = harness.start_gateway([gone, sound])
    gone.close()
    gone.close = lambda: None
    for _ in range(4):
        assert gateway.request("/unsafe/x")[0] == 200


def test_a_refusal_of_the_only_allowed_upstream_is_passed_on_as_not_run(harness):
    def refuse(request):
        scripted_upstream.respond(request, 503, b"", X_Sycamorespoke_Not_Run="1")

    stubs = [harness.start_upstream(refuse, name) for name in ("i-1", "i-2")]
    gateway = harness.start_gateway(stubs)
    status, headers, _ = gateway.request("/unsafe/x")
    assert status == 503
    assert scripted_upstream.RESPONSE_STAMP not in headers
    assert sum(len(stub.requests) for stub in stubs) == 1


def test_another_upstream_at_the_address_is_passed_over(harness):
    def misdirect(request):
        scripted_upstream.respond(request, 421, b"", X_Sycamorespoke_Instance_Id="i-9")

    stubs = [harness.start_upstream(misdirect, "i-1")]
    stubs.append(harness.start_upstream(scripted_upstream.respond, "i-2"))
    gateway = harness.start_gateway(stubs)
    for _ in range(4):
        assert gateway.request("/unsafe/x")[0] == 200


def test_an_answer_of_another_request_reaches_nobody(harness):
    stub = harness.start_upstream(
        lambda request: scripted_upstream.respond(request, body=b"secret", id="call-0")
    )
    gateway = harness.start_gateway([stub])
    status, headers, body = gateway.request("/unsafe/x")
    assert status == 502
    assert b"secret" not in body
    assert scripted_upstream.RESPONSE_STAMP not in headers


def test_an_error_of_the_upstream_is_passed_on_unchanged(harness):
    stub = harness.start_upstream(
        lambda request: scripted_upstream.respond(request, 500, b"broke")
    )
    gateway = harness.start_gateway([stub])
    status, headers, body = gateway.request("/unsafe/x")
    assert (status, body) == (500, b"broke")
    assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"


def test_a_stream_goes_on_elsewhere_without_a_gap_or_a_double(harness):
    def break_off(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.send_chunk(request, b"id: 3\ndata: t")
        time.sleep(0.1)
        scripted_upstream.abort(request)

    def go_on(request):
        scripted_upstream.start_stream(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        scripted_upstream.send_events(request, first, 4)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway(
        [harness.start_upstream(break_off, "i-1"), harness.start_upstream(go_on, "i-2")]
    )
    whole = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5))
    for _ in range(4):
        assert gateway.request("/stream/x")[2] == whole


def test_a_stream_that_may_not_be_resumed_ends_visibly_broken(harness):
    def break_off(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        time.sleep(0.1)
        scripted_upstream.abort(request)

    stub = harness.start_upstream(break_off)
    gateway = harness.start_gateway([stub])
    with pytest.raises(http.client.IncompleteRead) as caught:
        gateway.request("/once/x")
    assert caught.value.partial == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
    assert len(stub.requests) == 1


def test_events_are_passed_on_as_they_arrive(harness):
    passed = threading.Event()

    def wait(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 1)
        passed.wait(5.0)
        scripted_upstream.send_events(request, 2, 2)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(wait)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    response = connection.getresponse()
    assert response.read1() == b"id: 1\ndata: t1\n\n"
    passed.set()
    assert response.read() == b"id: 2\ndata: t2\n\n"


def test_a_caller_that_leaves_frees_the_upstream(harness):
    begun = threading.Event()

    def work(request):
        scripted_upstream.start_stream(request)
        begun.set()
        for number in range(500):
            scripted_upstream.send_events(request, number, number, pause_s=0.01)

    stub = harness.start_upstream(work)
    gateway = harness.start_gateway([stub])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    assert begun.wait(5.0)
    connection.close()
    assert stub.disconnected.wait(5.0)


def test_a_caller_that_leaves_before_the_first_event_frees_the_upstream(harness):
    dropped = threading.Event()
    begun = threading.Event()

    def work(request):
        begun.set()
        # Readable at the end of the connection only.
        request.connection.recv(1)
        dropped.set()

    gateway = harness.start_gateway([harness.start_upstream(work)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    assert begun.wait(5.0)
    connection.close()
    assert dropped.wait(5.0)


def test_the_deadline_ends_an_unanswered_call(harness):
    released = threading.Event()
    stub = harness.start_upstream(lambda request: released.wait(5.0))
    gateway = harness.start_gateway([stub])
    headers = {"X-Sycamorespoke-Deadline-Ms": "200"}
    status, headers, _ = gateway.request("/unsafe/x", **headers)
    released.set()
    assert status == 504
    assert "Retry-After" not in headers
    assert int(stub.requests[0].headers["X-Sycamorespoke-Deadline-Ms"]) <= 200


def test_a_connection_is_kept_after_a_stream(harness):
    def stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 1)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(stream)])
    connection = gateway.connect()
    for _ in range(3):
        _, headers, _ = gateway.request("/once/x", connection=connection)
        assert headers["Connection"] is None
    assert gateway.server.count_connections() == 1


def test_a_channel_whose_answer_began_before_the_shutdown_is_closed_after_it(harness):
    go_on = threading.Event()

    def stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 1)
        go_on.wait(5.0)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(stream)])
    connection = gateway.connect()
    in_process_gateway.send_request(connection, "/once/x")
    response = connection.getresponse()
    gateway.server.close_connections_after_answers()
    go_on.set()
    assert response.read() == b"id: 1\ndata: t1\n\n"
    sock = connection.sock
    sock.settimeout(5.0)
    # Closed by the gateway itself, with no request of it lost.
    assert sock.recv(1) == b""


def test_answers_during_a_shutdown_say_that_the_connection_closes(harness):
    gateway = harness.start_gateway([harness.start_upstream(scripted_upstream.respond)])
    gateway.server.close_connections_after_answers()
    assert gateway.request("/safe/x")[1]["Connection"] == "close"


def test_threads_are_started_as_calls_need_them(harness):
    released = threading.Event()

    def wait(request):
        released.wait(5.0)
        scripted_upstream.respond(request)

    stub = harness.start_upstream(wait)
    gateway = harness.start_gateway([stub], threads=12)
    before = threading.active_count()
    connections = [gateway.connect() for _ in range(12)]
    for connection in connections:
        in_process_gateway.send_request(connection, "/safe/x")
    deadline_s = time.monotonic() + 5.0
    while len(stub.requests) < 12 and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert len(stub.requests) == 12
    # Each call has one thread here and one at the upstream.
    assert threading.active_count() - before >= 12
    released.set()
    assert [each.getresponse().status for each in connections] == [200] * 12


def test_calls_are_counted_and_their_phases_measured(harness):
    def stream(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(stream)])
    gateway.request("/stream/x")
    gateway.request("/none/x")
    page = gateway.metrics.render().decode()
    assert 'calls{outcome="answered",route="stream"} 1' in page
    assert 'calls{outcome="no_route",route=""} 1' in page
    assert 'attempts{outcome="sent",service="s"} 1' in page
    for phase in ("queue", "first_event", "whole"):
        assert f'call_seconds_count{{phase="{phase}",route="stream"}} 1' in page
