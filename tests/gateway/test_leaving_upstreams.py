"""Upstreams that say in their responses that they are leaving."""

import http.client

import attrs
import pytest

from sycamorespoke import serving
from sycamorespoke.gateway import (
    _model,
    _table,
    _upstream_counts,
    _upstream_state,
    _views,
)
from tests.fakes import scripted_upstream

UPSTREAM = _model.Upstream("i-1", 1, "s", "127.0.0.1:1", "dc-1")
LEAVING = {"Server-Leaving": "1"}


def respond_leaving(request):
    scripted_upstream.respond(request, **LEAVING)


def test_leaving_upstream_is_logged(harness, log_lines):
    gateway = harness.start_gateway([harness.start_upstream(respond_leaving)])
    gateway.request("/safe/x")
    line = log_lines.wait_for("upstream leaving")
    assert (line["upstream"], line["listed"]) == ("i-1", True)
    assert gateway.table.dump(0.0)["i-1@1"]["leaving"]


@pytest.mark.parametrize("text", ["", "0", "yes", "11"])
def test_other_value_does_not_say_that_the_upstream_leaves(harness, text):
    def respond(request):
        scripted_upstream.respond(request, **{"Server-Leaving": text})

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    gateway.request("/safe/x")
    assert not gateway.table.dump(0.0)["i-1@1"]["leaving"]


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/once/x"])
def test_caller_is_refused_at_once_if_the_only_upstream_leaves(harness, path):
    upstream = harness.start_upstream(respond_leaving)
    gateway = harness.start_gateway([upstream])
    assert gateway.request("/safe/x")[0] == 200
    status, headers, _ = gateway.request(path)
    assert (status, len(upstream.requests)) == (503, 1)
    assert "Retry-After" in headers


def respond_full(request):
    refusal = {"X-Sycamorespoke-Not-Run": "1", **LEAVING}
    scripted_upstream.respond(request, 503, b"", **refusal)


def respond_with_fault(request):
    scripted_upstream.respond(request, 500, b"fault", **LEAVING)


def respond_to_another_request(request):
    scripted_upstream.respond(request, id="call-0", **LEAVING)


def break_off_before_first_event(request):
    scripted_upstream.start_stream(request, **LEAVING)
    scripted_upstream.abort(request)


@pytest.mark.parametrize(
    "respond",
    [
        respond_full,
        respond_with_fault,
        respond_to_another_request,
        break_off_before_first_event,
    ],
)
def test_response_that_the_caller_does_not_get_says_that_the_upstream_leaves(
    harness, respond
):
    upstream = harness.start_upstream(respond)
    gateway = harness.start_gateway([upstream])
    gateway.request("/once/x")
    assert gateway.request("/safe/x")[0] == 503
    assert len(upstream.requests) == 1


def start_beside_leaving(harness, handle):
    """Start a gateway before a leaving upstream, which it knows, and another one."""
    leaving = harness.start_upstream(respond_leaving, "i-1")
    other = harness.start_upstream(handle, "i-2")
    gateway = harness.start_gateway([leaving])
    assert gateway.request("/safe/x")[0] == 200
    gateway.register([leaving, other])
    return gateway, leaving, other


def test_requests_go_to_the_other_upstreams(harness):
    gateway, leaving, other = start_beside_leaving(harness, scripted_upstream.respond)
    statuses = [gateway.request("/safe/x")[0] for _ in range(20)]
    assert statuses == [200] * 20
    assert (len(leaving.requests), len(other.requests)) == (1, 20)


@pytest.mark.parametrize(
    ("handle", "path", "status"),
    [
        (lambda request: scripted_upstream.abort(request), "/safe/x", 502),
        (lambda request: scripted_upstream.respond(request, 500), "/safe/x", 502),
        (respond_full, "/unsafe/x", 503),
    ],
)
def test_failed_request_is_not_sent_again_to_a_leaving_upstream(
    harness, handle, path, status
):
    gateway, leaving, other = start_beside_leaving(harness, handle)
    assert gateway.request(path)[0] == status
    assert (len(leaving.requests), len(other.requests)) == (1, 1)


def test_broken_stream_does_not_resume_at_a_leaving_upstream(harness):
    def break_off(request):
        scripted_upstream.start_stream(request)
        scripted_upstream.send_events(request, 1, 2)
        scripted_upstream.abort(request)

    gateway, leaving, _ = start_beside_leaving(harness, break_off)
    with pytest.raises((OSError, http.client.HTTPException)):
        gateway.request("/stream/x")
    assert len(leaving.requests) == 1


def test_stream_in_progress_at_a_leaving_upstream_is_completed(harness):
    def finish(request):
        scripted_upstream.start_stream(request, **LEAVING)
        scripted_upstream.send_events(request, 1, 5, pause_s=0.05)
        scripted_upstream.send_chunk(request, b"")

    gateway = harness.start_gateway([harness.start_upstream(finish)])
    status, _, body = gateway.request("/once/x")
    assert (status, body) == (200, scripted_upstream.encode_events(1, 5))


def test_new_start_of_an_upstream_that_left_gets_requests(harness):
    upstream = harness.start_upstream(respond_leaving)
    gateway = harness.start_gateway([upstream])
    gateway.request("/safe/x")
    registered = gateway.views.get().upstreams_by_id["i-1"]
    restarted = attrs.evolve(registered, started_ms=2)
    gateway.views.replace_fields(upstreams_by_id={"i-1": restarted})
    assert gateway.request("/safe/x")[0] == 200


def test_upstream_that_left_stays_so_though_a_copy_of_the_list_has_it_again(harness):
    upstream = harness.start_upstream(respond_leaving)
    gateway = harness.start_gateway([upstream])
    gateway.request("/safe/x")
    gateway.register([])
    gateway.table.retain(set(), serving.read_clock())
    gateway.register([upstream])
    assert gateway.request("/safe/x")[0] == 503
    assert len(upstream.requests) == 1


def test_upstream_that_left_long_ago_is_forgotten_once_it_is_not_listed():
    table = _table.UpstreamTable()
    table.record_leaving(UPSTREAM, 10.0)
    table.retain({UPSTREAM.boot_id}, 10.0 + _upstream_state.LEAVING_MEMORY_S)
    assert table.read([UPSTREAM])[UPSTREAM.boot_id].is_leaving
    table.retain(set(), 10.0 + _upstream_state.LEAVING_MEMORY_S)
    assert table.dump(0.0) == {}


def test_response_of_another_upstream_at_the_address_says_nothing_of_this_one(harness):
    def refuse(request):
        headers = {"X-Sycamorespoke-Instance-Id": "i-9", **LEAVING}
        scripted_upstream.respond(request, 421, b"", **headers)

    gateway = harness.start_gateway([harness.start_upstream(refuse)])
    gateway.request("/safe/x")
    assert not gateway.table.dump(0.0)["i-1@1"]["leaving"]


def test_leaving_upstream_counts_as_draining():
    table = _table.UpstreamTable()
    table.record_leaving(UPSTREAM, 10.0)
    view = _views.View(upstreams_by_id={UPSTREAM.id: UPSTREAM})
    counts = _upstream_counts.count_states(table, view, 11.0)
    assert counts["s", _upstream_counts.DRAINING] == 1
