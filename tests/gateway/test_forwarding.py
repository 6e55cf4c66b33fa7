"""A host without links forwards requests to another one."""

import base64
import http.client
import re
import threading
import time

import attrs
import pytest

from sycamorespoke import decisions, messages, retries, serving
from sycamorespoke.gateway import _forward_format, _model
from tests.fakes import in_process_gateway, scripted_upstream
from tests.soak import proxy


def serve(request):
    if request.path.startswith("/stream/"):
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, first, 4)
        scripted_upstream.send_chunk(request, b"")
    else:
        scripted_upstream.respond(request, body=b"whole")


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_forwarded_request_is_the_callers_and_its_response_the_upstreams(
    make_pair, path
):
    pair = make_pair(serve, serve)
    pair.lose_links()
    status, headers, body = pair.cut.request(path + "?q=1", X_Own="kept")
    assert status == 200
    assert body == b"whole" or body.count(b"id: ") == 4
    assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"
    assert not [name for name in headers if "Forwarded" in name or "Answered" in name]
    (arrival,) = [each for server in pair.upstreams for each in server.requests]
    assert arrival.path == path + "?q=1"
    assert arrival.body == b"ask"
    assert arrival.headers["X-Own"] == "kept"
    assert arrival.headers["X-Sycamorespoke-Request-Id"] == "call-1"
    assert arrival.headers["X-Sycamorespoke-Tenant-Id"] == "account-1"
    assert 0 < int(arrival.headers["X-Sycamorespoke-Deadline-Ms"]) < 3000
    assert arrival.headers[_forward_format.REQUEST_HEADER] is None
    assert arrival.headers["Authorization"] is None


def test_a_forwarded_request_is_never_forwarded_again(make_pair):
    pair = make_pair(serve, serve)
    pair.lose_links()
    # Both hosts have lost their links and take the other one for a way out.
    for upstream in pair.upstreams:
        upstream.crash()
    now = serving.read_clock()
    for upstream in pair.peer.views.get().list_upstreams("s"):
        pair.peer.reachability.record_unreachable(upstream, now)
    pair.report("host-2", "host-3")
    pair.peer.forwarding.peers._reports_by_host = {
        "host-1": attrs.evolve(
            pair.cut.forwarding.peers._reports_by_host["host-2"],
            host="host-1",
            address=pair.forwarded_of_cut.address,
        )
    }
    begun_s = time.monotonic()
    status, headers, _ = pair.cut.request("/safe/x")
    assert status == 503
    assert headers["Retry-After"]
    assert time.monotonic() - begun_s < 1.0


def test_request_that_may_have_run_at_a_lost_host_is_not_sent_again(make_pair):
    reached = threading.Event()

    def hang(request):
        reached.set()
        time.sleep(1.0)

    pair = make_pair(hang, hang)
    pair.lose_links()
    pair.report("host-2", "host-3")
    results = []
    caller = threading.Thread(
        target=lambda: results.append(pair.cut.request("/unsafe/x"))
    )
    caller.start()
    assert reached.wait(5.0)
    for channel in list(pair.servers[0]._server.active_channels.values()):
        proxy.reset(channel.socket)
    caller.join()
    assert results[0][0] == 502
    assert sum(len(each.requests) for each in pair.upstreams) == 1


def test_host_that_cannot_be_reached_is_left_for_another_one(make_pair):
    pair = make_pair(serve, serve)
    pair.lose_links()
    peers = pair.cut.forwarding.peers
    pair.report("host-2")
    alive = peers._reports_by_host["host-2"]
    gone = attrs.evolve(alive, host="host-0", address="127.0.0.1:9")
    peers._reports_by_host = {"host-0": gone, "host-2": alive}
    assert pair.cut.request("/unsafe/x")[0] == 200
    assert "host-0" not in peers._reports_by_host


def test_without_another_host_a_cut_host_refuses_at_once(make_pair):
    pair = make_pair(serve, serve)
    pair.lose_links(proxy.Mode.HANG)
    pair.report(address="")
    begun_s = time.monotonic()
    status, headers, body = pair.cut.request("/safe/x")
    assert status == 503
    assert b"no host is known that reaches an upstream" in body
    assert headers["Retry-After"]
    assert time.monotonic() - begun_s < 0.5


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_upstreams_that_were_silent_are_tried_again_if_no_other_host_can_help(
    make_pair, path
):
    pair = make_pair(serve, serve)
    pair.report(address="")
    now = serving.read_clock()
    for upstream in pair.cut.views.get().list_upstreams("s"):
        pair.cut.reachability.record_unanswered(upstream, now)
    assert pair.cut.reachability.is_lost("s", now)
    assert [pair.cut.request(path)[0] for _ in range(3)] == [200, 200, 200]


def test_stream_that_a_cut_interrupts_goes_on_through_another_host(make_pair):
    cut = threading.Event()

    def serve_slowly(request):
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        scripted_upstream.start_stream(request)
        if first == 1:
            scripted_upstream.send_events(request, 1, 2)
            cut.wait(5.0)
            return
        scripted_upstream.send_events(request, first, 4)
        scripted_upstream.send_chunk(request, b"")

    pair = make_pair(serve_slowly, serve_slowly)
    # The host that begins a stream has others keep its record.
    origin = decisions.StreamOrigin("s", "v1")
    pair.peer.directory.origins.record("call-1", origin, 60.0, serving.read_clock())
    bodies = []
    caller = threading.Thread(
        target=lambda: bodies.append(pair.cut.request("/stream/x")[2])
    )
    caller.start()
    while not sum(len(each.requests) for each in pair.upstreams):
        time.sleep(0.01)
    time.sleep(0.1)
    pair.lose_links()
    caller.join()
    cut.set()
    ids = re.findall(rb"id: (\d)\n", bodies[0])
    assert ids == [b"1", b"2", b"3", b"4"]


def test_upstream_that_says_it_leaves_through_another_host_gets_no_more(make_pair):
    def leave(request):
        scripted_upstream.respond(request, **{"Server-Leaving": "1"})

    pair = make_pair(leave, leave)
    pair.lose_links()
    assert pair.cut.request("/safe/x")[0] == 200
    states = pair.cut.table.read(pair.cut.views.get().list_upstreams("s"))
    assert sum(state.is_leaving for state in states.values()) == 1


def test_requests_without_the_mark_of_a_host_are_refused(make_pair):
    pair = make_pair(serve, serve)
    port = int(pair.forwarded.address.rpartition(":")[2])
    own_port = pair.peer.server.port
    for text in (None, "", "no base64", base64.b64encode(b"x" * 40).decode()):
        headers = {} if text is None else {_forward_format.REQUEST_HEADER: text}
        pair.peer.connect = lambda: make_connection(port)
        assert pair.peer.request("/safe/x", **headers)[0] == 401
        # Callers cannot make a host take them for another one.
        pair.peer.connect = lambda: make_connection(own_port)
        assert pair.peer.request("/safe/x", **headers)[0] == 200


def make_connection(port):
    return http.client.HTTPConnection("127.0.0.1", port, timeout=10)


def test_attempts_are_counted_over_both_hosts(make_pair):
    def fail(request):
        scripted_upstream.respond(request, 500)

    pair = make_pair(fail, fail, fail)
    route = in_process_gateway.make_route("safe", _model.RouteKind.SAFE, attempts=3)
    for gateway in (pair.cut, pair.peer):
        gateway.configure([route], version=2)
    pair.lose_links()
    pair.cut.request("/safe/x")
    assert sum(len(each.requests) for each in pair.upstreams) == 3


def refuse(request):
    scripted_upstream.respond(request, 503, b"", X_Sycamorespoke_Not_Run="1")


def test_attempts_are_counted_over_hosts_that_refuse_one_after_the_other(make_pair):
    pair = make_pair(refuse, refuse)
    pair.lose_links()
    first, second = (
        pair.start_forwarded(pair.harness.start_gateway(pair.upstreams))
        for _ in range(2)
    )
    # The first host knows that one of the upstreams wants a backoff.
    waiting = first.gateway.views.get().list_upstreams("s")[0]
    first.gateway.table.record_backoff(waiting, serving.read_clock() + 60.0)
    pair.report("host-2", address=first.address)
    reports = pair.cut.forwarding.peers._reports_by_host
    reports["host-3"] = attrs.evolve(
        reports["host-2"], host="host-3", address=second.address
    )
    assert pair.cut.request("/safe/x")[0] == 503
    arrivals = sum(len(upstream.requests) for upstream in pair.upstreams)
    assert arrivals == in_process_gateway.ROUTES[0].attempts
    windows = [
        host.gateway.budgets._windows_by_service.get("s") for host in (first, second)
    ]
    counted = [each._requests_by_interval.total() for each in windows if each]
    assert sum(counted) == 1


@pytest.mark.parametrize(("slack", "arrivals"), [(0.0, 1), (1.0, 2)])
def test_request_refused_by_one_host_is_a_retry_at_the_next(make_pair, slack, arrivals):
    pair = make_pair(refuse, refuse)
    pair.lose_links()
    hosts = [pair.harness.start_gateway([each]) for each in pair.upstreams]
    first, second = (pair.start_forwarded(host) for host in hosts)
    pair.report("host-2", address=first.address)
    reports = pair.cut.forwarding.peers._reports_by_host
    reports["host-3"] = attrs.evolve(
        reports["host-2"], host="host-3", address=second.address
    )
    for host in (pair.cut, *hosts):
        host.gateway.budgets = retries.RetryBudgets(0.0, slack)
    assert pair.cut.request("/safe/x")[0] == 503
    assert sum(len(each.requests) for each in pair.upstreams) == arrivals


def test_reply_names_only_services_that_are_reached(make_pair):
    pair = make_pair(serve, serve)
    assert pair.peer.request("/safe/x")[0] == 200
    now = serving.read_clock()
    question = messages.ReachRequest(["s", "t"])
    reply = pair.forwarded.make_reply(question, now)
    assert reply.address == pair.forwarded.address
    assert list(reply.answer_age_s_by_service) == ["s"]
    pair.lose_links()
    reply = pair.forwarded_of_cut.make_reply(question, now)
    assert reply.answer_age_s_by_service == {}


def test_upstream_cannot_pose_as_a_host_that_refuses(make_pair):
    def pose(request):
        own = {_forward_format.REFUSAL_HEADER: "overloaded"}
        scripted_upstream.respond(request, body=b"whole", **own)

    pair = make_pair(pose, pose)
    pair.lose_links()
    status, _, body = pair.cut.request("/unsafe/x")
    assert (status, body) == (200, b"whole")


@pytest.mark.parametrize("refused_id", ["", "call-1"])
def test_copy_of_a_hosts_refusal_does_not_refuse_a_request_that_runs(
    make_pair, harness, refused_id
):
    def refuse(request):
        own = {_forward_format.REFUSAL_HEADER: "overloaded"}
        scripted_upstream.respond(request, 503, b"", id=refused_id, **own)

    host = harness.start_upstream(refuse)
    pair = make_pair(serve)
    pair.lose_links()
    pair.report(address=host.address)
    first = pair.cut.request("/safe/x", X_Sycamorespoke_Request_Id="call-1")[0]
    assert first == (503 if refused_id else 502)
    pair.report(address=host.address)
    second = pair.cut.request("/once/x", X_Sycamorespoke_Request_Id="call-2")[0]
    assert (second, len(host.requests)) == (502, 2)
