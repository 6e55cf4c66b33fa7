"""What callers and upstreams see of a gateway."""

import http.client
import threading
import time

import pytest

from tests.fakes import path_gateway, path_upstream


def test_an_answer_comes_back_with_its_receipt(world):
    stub = world.upstream(lambda request: path_upstream.answer(request, body=b"yes"))
    gateway = world.gateway([stub])
    status, headers, body = gateway.call("/safe/x?a=%7e&b=//", method="GET", body=None)
    assert (status, body) == (200, b"yes")
    assert headers[path_upstream.RECEIPT] == "stamp"
    assert stub.requests[0].path == "/safe/x?a=%7e&b=//"
    assert stub.requests[0].command == "GET"


def test_what_only_the_system_may_set_is_not_passed_on(world):
    stub = world.upstream(path_upstream.answer)
    gateway = world.gateway([stub])
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
    gateway.call("/unsafe/x", **forged)
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
    world, path, headers, status
):
    stub = world.upstream(path_upstream.answer)
    gateway = world.gateway([stub])
    assert gateway.call(path, **headers)[0] == status
    assert stub.requests == []


def test_without_a_view_the_refusal_says_that_it_did_not_run(world):
    gateway = world.gateway()
    gateway.views.replace_fields(upstreams_by_id=None)
    status, headers, _ = gateway.call("/unsafe/x")
    assert status == 503
    assert float(headers["Retry-After"]) > 0


def test_an_unsafe_call_whose_answer_is_lost_is_not_sent_again(world):
    stubs = [world.upstream(path_upstream.cut, name) for name in ("i-1", "i-2")]
    gateway = world.gateway(stubs)
    assert gateway.call("/unsafe/x")[0] == 502
    assert sum(len(stub.requests) for stub in stubs) == 1


def test_a_safe_call_whose_answer_is_lost_goes_to_another_upstream(world):
    stubs = [world.upstream(path_upstream.cut, "i-1")]
    stubs.append(world.upstream(path_upstream.answer, "i-2"))
    gateway = world.gateway(stubs)
    for _ in range(4):
        assert gateway.call("/safe/x", method="GET")[0] == 200


def test_an_unsafe_call_goes_elsewhere_when_no_connection_is_taken(world):
    gone = world.upstream(path_upstream.answer, "i-1")
    sound = world.upstream(path_upstream.answer, "i-2")
    gateway = world.gateway([gone, sound])
    gone.close()
    gone.close = lambda: None
    for _ in range(4):
        assert gateway.call("/unsafe/x")[0] == 200


def test_a_refusal_of_the_only_allowed_upstream_is_passed_on_as_not_run(world):
    def refuse(request):
        path_upstream.answer(request, 503, b"", X_Sycamorespoke_Not_Run="1")

    stubs = [world.upstream(refuse, name) for name in ("i-1", "i-2")]
    gateway = world.gateway(stubs)
    status, headers, _ = gateway.call("/unsafe/x")
    assert status == 503
    assert path_upstream.RECEIPT not in headers
    assert sum(len(stub.requests) for stub in stubs) == 1


def test_another_upstream_at_the_address_is_passed_over(world):
    def misdirect(request):
        path_upstream.answer(request, 421, b"", X_Sycamorespoke_Instance_Id="i-9")

    stubs = [world.upstream(misdirect, "i-1")]
    stubs.append(world.upstream(path_upstream.answer, "i-2"))
    gateway = world.gateway(stubs)
    for _ in range(4):
        assert gateway.call("/unsafe/x")[0] == 200


def test_an_answer_of_another_request_reaches_nobody(world):
    stub = world.upstream(
        lambda request: path_upstream.answer(request, body=b"secret", id="call-0")
    )
    gateway = world.gateway([stub])
    status, headers, body = gateway.call("/unsafe/x")
    assert status == 502
    assert b"secret" not in body
    assert path_upstream.RECEIPT not in headers


def test_an_error_of_the_upstream_is_passed_on_unchanged(world):
    stub = world.upstream(lambda request: path_upstream.answer(request, 500, b"broke"))
    gateway = world.gateway([stub])
    status, headers, body = gateway.call("/unsafe/x")
    assert (status, body) == (500, b"broke")
    assert headers[path_upstream.RECEIPT] == "stamp"


def test_a_stream_goes_on_elsewhere_without_a_gap_or_a_double(world):
    def break_off(request):
        path_upstream.begin_stream(request)
        path_upstream.send_events(request, 1, 2)
        path_upstream.send_chunk(request, b"id: 3\ndata: t")
        time.sleep(0.1)
        path_upstream.cut(request)

    def go_on(request):
        path_upstream.begin_stream(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        path_upstream.send_events(request, first, 4)
        path_upstream.send_chunk(request, b"")

    gateway = world.gateway(
        [world.upstream(break_off, "i-1"), world.upstream(go_on, "i-2")]
    )
    whole = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5))
    for _ in range(4):
        assert gateway.call("/stream/x")[2] == whole


def test_a_stream_that_may_not_be_resumed_ends_visibly_broken(world):
    def break_off(request):
        path_upstream.begin_stream(request)
        path_upstream.send_events(request, 1, 2)
        time.sleep(0.1)
        path_upstream.cut(request)

    stub = world.upstream(break_off)
    gateway = world.gateway([stub])
    with pytest.raises(http.client.IncompleteRead) as caught:
        gateway.call("/once/x")
    assert caught.value.partial == b"id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
    assert len(stub.requests) == 1


def test_events_are_passed_on_as_they_arrive(world):
    passed = threading.Event()

    def wait(request):
        path_upstream.begin_stream(request)
        path_upstream.send_events(request, 1, 1)
        passed.wait(5.0)
        path_upstream.send_events(request, 2, 2)
        path_upstream.send_chunk(request, b"")

    gateway = world.gateway([world.upstream(wait)])
    connection = gateway.connect()
    path_gateway.send(connection, "/once/x")
    response = connection.getresponse()
    assert response.read1() == b"id: 1\ndata: t1\n\n"
    passed.set()
    assert response.read() == b"id: 2\ndata: t2\n\n"


def test_a_caller_that_leaves_frees_the_upstream(world):
    begun = threading.Event()

    def work(request):
        path_upstream.begin_stream(request)
        begun.set()
        for number in range(500):
            path_upstream.send_events(request, number, number, pause_s=0.01)

    stub = world.upstream(work)
    gateway = world.gateway([stub])
    connection = gateway.connect()
    path_gateway.send(connection, "/once/x")
    assert begun.wait(5.0)
    connection.close()
    assert stub.dropped.wait(5.0)


def test_a_caller_that_leaves_before_the_first_event_frees_the_upstream(world):
    dropped = threading.Event()
    begun = threading.Event()

    def work(request):
        begun.set()
        # Readable at the end of the connection only.
        request.connection.recv(1)
        dropped.set()

    gateway = world.gateway([world.upstream(work)])
    connection = gateway.connect()
    path_gateway.send(connection, "/once/x")
    assert begun.wait(5.0)
    connection.close()
    assert dropped.wait(5.0)


def test_the_deadline_ends_an_unanswered_call(world):
    released = threading.Event()
    stub = world.upstream(lambda request: released.wait(5.0))
    gateway = world.gateway([stub])
    headers = {"X-Sycamorespoke-Deadline-Ms": "200"}
    status, headers, _ = gateway.call("/unsafe/x", **headers)
    released.set()
    assert status == 504
    assert "Retry-After" not in headers
    assert int(stub.requests[0].headers["X-Sycamorespoke-Deadline-Ms"]) <= 200


def test_a_connection_is_kept_after_a_stream(world):
    def stream(request):
        path_upstream.begin_stream(request)
        path_upstream.send_events(request, 1, 1)
        path_upstream.send_chunk(request, b"")

    gateway = world.gateway([world.upstream(stream)])
    connection = gateway.connect()
    for _ in range(3):
        _, headers, _ = gateway.call("/once/x", connection=connection)
        assert headers["Connection"] is None
    assert gateway.server.count_connections() == 1


def test_a_channel_whose_answer_began_before_the_shutdown_is_closed_after_it(world):
    go_on = threading.Event()

    def stream(request):
        path_upstream.begin_stream(request)
        path_upstream.send_events(request, 1, 1)
        go_on.wait(5.0)
        path_upstream.send_chunk(request, b"")

    gateway = world.gateway([world.upstream(stream)])
    connection = gateway.connect()
    path_gateway.send(connection, "/once/x")
    response = connection.getresponse()
    gateway.server.close_connections_after_answers()
    go_on.set()
    assert response.read() == b"id: 1\ndata: t1\n\n"
    sock = connection.sock
    sock.settimeout(5.0)
    # Closed by the gateway itself, with no request of it lost.
    assert sock.recv(1) == b""


def test_answers_during_a_shutdown_say_that_the_connection_closes(world):
    gateway = world.gateway([world.upstream(path_upstream.answer)])
    gateway.server.close_connections_after_answers()
    assert gateway.call("/safe/x")[1]["Connection"] == "close"


def test_threads_are_started_as_calls_need_them(world):
    released = threading.Event()

    def wait(request):
        released.wait(5.0)
        path_upstream.answer(request)

    stub = world.upstream(wait)
    gateway = world.gateway([stub], threads=12)
    before = threading.active_count()
    connections = [gateway.connect() for _ in range(12)]
    for connection in connections:
        path_gateway.send(connection, "/safe/x")
    deadline_s = time.monotonic() + 5.0
    while len(stub.requests) < 12 and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert len(stub.requests) == 12
    # Each call has one thread here and one at the upstream.
    assert threading.active_count() - before >= 12
    released.set()
    assert [each.getresponse().status for each in connections] == [200] * 12


def test_calls_are_counted_and_their_phases_measured(world):
    def stream(request):
        path_upstream.begin_stream(request)
        path_upstream.send_events(request, 1, 2)
        path_upstream.send_chunk(request, b"")

    gateway = world.gateway([world.upstream(stream)])
    gateway.call("/stream/x")
    gateway.call("/none/x")
    page = gateway.metrics.render().decode()
    assert 'calls{outcome="answered",route="stream"} 1' in page
    assert 'calls{outcome="no_route",route=""} 1' in page
    assert 'attempts{outcome="sent",service="s"} 1' in page
    for phase in ("queue", "first_event", "whole"):
        assert f'call_seconds_count{{phase="{phase}",route="stream"}} 1' in page
