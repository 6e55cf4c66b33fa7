import contextlib
import http.client
import threading
import time

from sycamorespoke import serving
from sycamorespoke.gateway import _model, _reachability, _views
from tests.fakes import scripted_upstream
from tests.soak import proxy


def make_upstreams(count, service="s"):
    return [
        _model.Upstream(f"{service}-{number}", 1, service, "127.0.0.1:9", "dc-1")
        for number in range(count)
    ]


def make_reachability(*upstreams):
    views = _views.Views()
    views.replace_fields(upstreams_by_id={each.id: each for each in upstreams})
    return _reachability.Reachability(views)


def test_lost_links_are_logged_once_with_their_evidence(log_lines):
    upstreams = make_upstreams(3)
    links = make_reachability(*upstreams)
    links.record_answered(upstreams[2], 9.0)
    for upstream in upstreams:
        links.record_unreachable(upstream, 10.0)
    fields = log_lines.wait_for("links to service lost")
    assert fields["service"] == "s"
    assert fields["answered_s_ago"] == 1.0
    assert len(fields["unreachable"]) == 2
    assert links.list_lost(10.0) == ["s"]
    links.record_connected(upstreams[0], 11.0)
    assert log_lines.wait_for("links to service back")["service"] == "s"
    assert not links.is_lost("s", 11.0)


def test_answers_on_open_connections_do_not_hide_that_new_ones_fail():
    upstreams = make_upstreams(3)
    links = make_reachability(*upstreams)
    for upstream in upstreams[:2]:
        links.record_unreachable(upstream, 10.0)
        links.record_answered(upstreams[2], 10.0)
    assert links.is_lost("s", 10.0)


def test_accepted_connections_do_not_hide_that_no_upstream_answers():
    upstreams = make_upstreams(3)
    links = make_reachability(*upstreams)
    for upstream in upstreams[:2]:
        links.record_connected(upstream, 10.0)
        links.record_unanswered(upstream, 10.0)
    assert links.is_lost("s", 10.0)


def test_links_to_another_service_are_not_lost():
    near, far = make_upstreams(3, "near"), make_upstreams(3, "far")
    links = make_reachability(*near, *far)
    for upstream in far:
        links.record_unreachable(upstream, 10.0)
    links.record_answered(near[0], 10.0)
    assert links.is_lost("far", 10.0)
    assert not links.is_lost("near", 10.0)
    assert links.get_answer_age_s("near", 12.0) == 2.0
    assert links.get_answer_age_s("far", 12.0) is None


def test_requests_show_which_service_is_reached(harness):
    upstream = harness.start_upstream(scripted_upstream.respond)
    gateway = harness.start_gateway([upstream])
    assert gateway.request("/safe/x")[0] == 200
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert gateway.reachability.get_answer_age_s("s", now) < 5.0
    upstream.crash()
    assert gateway.request("/unsafe/x")[0] == 503
    assert gateway.reachability.is_lost("s", now)


def test_host_that_loses_its_links_does_not_take_upstreams_for_ended(harness):
    cut = threading.Event()

    def serve(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        cut.wait(5.0)

    upstreams = [harness.start_upstream(serve, f"i-{n}") for n in range(3)]
    links = [proxy.LoopbackProxy(each.address) for each in upstreams]
    gateway = harness.start_gateway()
    gateway.views.replace_fields(
        upstreams_by_id={
            f"i-{n}": _model.Upstream(f"i-{n}", 1, "s", link.address, "dc-1", slots=8)
            for n, link in enumerate(links)
        }
    )

    def request_stream():
        with contextlib.suppress(OSError, http.client.HTTPException):
            gateway.request("/once/x")

    callers = [threading.Thread(target=request_stream) for _ in range(6)]
    for caller in callers:
        caller.start()
    while sum(len(each.requests) for each in upstreams) < len(callers):
        time.sleep(0.01)
    for link in links:
        link.set_mode(proxy.Mode.REFUSE)
    for caller in callers:
        caller.join()
    cut.set()
    # The check of the upstreams, which run, is refused by the cut.
    assert gateway.crash_monitor.collect(serving.read_clock()) == []
    for link in links:
        link.set_mode(proxy.Mode.PASS)
    assert gateway.crash_monitor.collect(serving.read_clock()) == []
    for link in links:
        link.close()
