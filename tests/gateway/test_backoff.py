"""Upstreams that ask a host to stay away for some time."""

import http.client
import time

import attrs
import pytest

from sycamorespoke import objects, serving
from sycamorespoke.gateway import (
    _connections,
    _model,
    _statements,
    _store_follower,
    _store_index,
)
from tests.fakes import scripted_upstream

NOT_RUN = {"X-Sycamorespoke-Not-Run": "1"}


def make_refusal(retry_after, status=503, **headers):
    """Return a handler that refuses each request with a ``Retry-After``."""

    def refuse(request):
        scripted_upstream.respond(
            request, status, b"", Retry_After=retry_after, **headers
        )

    return refuse


def test_backoff_of_an_upstream_is_logged(harness, log_lines):
    refuse = make_refusal("2.5", **NOT_RUN)
    gateway = harness.start_gateway([harness.start_upstream(refuse)])
    gateway.request("/safe/x")
    line = log_lines.wait_for("upstream backoff")
    assert (line["upstream"], line["asked_s"], line["request_id"]) == (
        "i-1",
        2.5,
        "call-1",
    )
    assert gateway.table.dump(0.0)["i-1@1"]["backoff_s"] > 0.0


@pytest.mark.parametrize("text", ["soon", "-1", "", "Fri, 31 Dec 1999 23:59:59 GMT"])
def test_unreadable_backoff_is_logged_and_ignored(harness, log_lines, text):
    refuse = make_refusal(text, **NOT_RUN)
    gateway = harness.start_gateway([harness.start_upstream(refuse)])
    gateway.request("/safe/x")
    assert log_lines.wait_for("upstream backoff unreadable")["upstream"] == "i-1"
    assert gateway.table.dump(0.0)["i-1@1"]["backoff_s"] == 0.0


@pytest.mark.parametrize("text", ["999999999", "9" * 30])
def test_absurd_backoff_is_cut(harness, log_lines, text):
    refuse = make_refusal(text, **NOT_RUN)
    gateway = harness.start_gateway([harness.start_upstream(refuse)])
    gateway.request("/safe/x")
    assert log_lines.wait_for("upstream backoff")["backoff_s"] == 600.0


def test_backoff_of_another_upstream_at_the_address_does_not_count(harness):
    refuse = make_refusal("9", X_Sycamorespoke_Instance_Id="i-9", **NOT_RUN)
    gateway = harness.start_gateway([harness.start_upstream(refuse)])
    gateway.request("/safe/x")
    assert gateway.table.dump(0.0)["i-1@1"]["backoff_s"] == 0.0


@pytest.mark.parametrize(
    "respond",
    [
        make_refusal("9", **NOT_RUN),
        make_refusal("9"),
        make_refusal("9", id="call-0"),
    ],
    ids=["refusal", "server error", "response to another request"],
)
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/once/x"])
def test_caller_is_refused_with_the_true_time_if_every_upstream_wants_a_backoff(
    harness, respond, path
):
    upstream = harness.start_upstream(respond)
    gateway = harness.start_gateway([upstream])
    gateway.request("/safe/x")
    status, headers, _ = gateway.request(path)
    assert (status, len(upstream.requests)) == (503, 1)
    assert 8.0 < float(headers["Retry-After"]) <= 9.0


def test_first_caller_that_is_refused_gets_the_true_time(harness):
    upstream = harness.start_upstream(make_refusal("9", **NOT_RUN))
    gateway = harness.start_gateway([upstream])
    status, headers, _ = gateway.request("/unsafe/x")
    assert status == 503
    assert 8.0 < float(headers["Retry-After"]) <= 9.0


def test_time_to_retry_is_that_of_the_first_upstream_that_is_open_again(harness):
    upstreams = [
        harness.start_upstream(make_refusal(text, **NOT_RUN), name)
        for name, text in [("i-1", "30"), ("i-2", "9")]
    ]
    gateway = harness.start_gateway(upstreams)
    gateway.request("/safe/x")
    headers = gateway.request("/unsafe/x")[1]
    assert [len(upstream.requests) for upstream in upstreams] == [1, 1]
    assert 8.0 < float(headers["Retry-After"]) <= 9.0


@pytest.mark.parametrize(
    ("status", "headers"), [(200, {}), (429, NOT_RUN), (500, {}), (421, {})]
)
def test_time_in_another_response_is_no_backoff(harness, status, headers):
    respond = make_refusal("9", status, **headers)
    gateway = harness.start_gateway([harness.start_upstream(respond)])
    gateway.request("/unsafe/x")
    assert gateway.table.dump(0.0)["i-1@1"]["backoff_s"] == 0.0


def start_beside_overloaded(harness, handle):
    """Start a gateway that knows the backoff of one upstream, and another one."""
    overloaded = harness.start_upstream(make_refusal("9", **NOT_RUN), "i-1")
    other = harness.start_upstream(handle, "i-2")
    gateway = harness.start_gateway([overloaded])
    gateway.request("/unsafe/x")
    gateway.register([overloaded, other])
    return gateway, overloaded, other


def break_off_stream(request):
    scripted_upstream.start_stream(request)
    scripted_upstream.send_events(request, 1, 2)
    scripted_upstream.abort(request)


@pytest.mark.parametrize(
    ("handle", "path", "status"),
    [
        (scripted_upstream.abort, "/safe/x", 502),
        (lambda request: scripted_upstream.respond(request, 500), "/safe/x", 502),
        (make_refusal("0.2", **NOT_RUN), "/unsafe/x", 503),
    ],
    ids=["lost", "server error", "refusal"],
)
def test_failed_request_is_not_sent_again_before_the_backoff_ends(
    harness, handle, path, status
):
    gateway, overloaded, other = start_beside_overloaded(harness, handle)
    assert gateway.request(path)[0] == status
    assert (len(overloaded.requests), len(other.requests)) == (1, 1)


def test_broken_stream_does_not_resume_before_the_backoff_ends(harness):
    gateway, overloaded, _ = start_beside_overloaded(harness, break_off_stream)
    with pytest.raises((OSError, http.client.HTTPException)):
        gateway.request("/stream/x")
    assert len(overloaded.requests) == 1


def test_ejected_upstream_with_a_backoff_is_no_fallback(harness):
    gateway, overloaded, other = start_beside_overloaded(
        harness, scripted_upstream.respond
    )
    registered = gateway.views.get().upstreams_by_id["i-2"]
    for _ in range(9):
        gateway.table.record_failure(registered, 1.0, serving.read_clock())
    assert gateway.request("/safe/x")[0] == 200
    assert (len(overloaded.requests), len(other.requests)) == (1, 1)


def test_request_that_waited_for_its_connection_is_not_sent(harness, monkeypatch):
    upstream = harness.start_upstream(scripted_upstream.respond)
    gateway = harness.start_gateway([upstream])
    registered = gateway.views.get().upstreams_by_id["i-1"]
    connect = _connections.Connection.connect

    def connect_late(connection):
        connect(connection)
        gateway.table.record_backoff(registered, serving.read_clock() + 9.0)

    monkeypatch.setattr(_connections.Connection, "connect", connect_late)
    status, headers, _ = gateway.request("/unsafe/x")
    assert (status, len(upstream.requests)) == (503, 0)
    assert float(headers["Retry-After"]) > 8.0


def test_upstream_gets_requests_once_the_longest_backoff_has_ended(harness):
    texts = iter(["0.6", "0.1"])

    def respond(request):
        text = next(texts, None)
        if text is None:
            scripted_upstream.respond(request)
        else:
            make_refusal(text, **NOT_RUN)(request)

    upstream = harness.start_upstream(respond)
    gateway = harness.start_gateway([upstream])
    registered = gateway.views.get().upstreams_by_id["i-1"]
    gateway.request("/unsafe/x")
    ends_s = gateway.table.read([registered])["i-1@1"].backoff_until_s
    gateway.table.record_backoff(registered, ends_s - 0.5)
    assert gateway.table.read([registered])["i-1@1"].backoff_until_s == ends_s
    assert gateway.request("/unsafe/x")[0] == 503
    time.sleep(max(ends_s - serving.read_clock(), 0.0))
    gateway.request("/unsafe/x")
    assert len(upstream.requests) == 2


def test_new_start_of_an_upstream_has_no_backoff(harness):
    texts = iter(["9"])

    def respond(request):
        text = next(texts, None)
        respond_once = make_refusal(text, **NOT_RUN) if text else None
        (respond_once or scripted_upstream.respond)(request)

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    assert gateway.request("/unsafe/x")[0] == 503
    registered = gateway.views.get().upstreams_by_id["i-1"]
    restarted = attrs.evolve(registered, started_ms=2)
    gateway.views.replace_fields(upstreams_by_id={"i-1": restarted})
    assert gateway.request("/unsafe/x")[0] == 200


class OverloadedStore:
    """Client of a store that wants a backoff once and then has no events."""

    def __init__(self, backoff_s):
        self.backoff_s = backoff_s
        self.calls = 0

    def _refuse(self):
        self.calls += 1
        statements = _statements.Statements(backoff_s=self.backoff_s)
        return objects.Unavailable("status 503", 503, statements=statements)

    def read_events(self, address, since, wait_s):
        return self._refuse()

    def free(self, address, keys, epoch, until_ms):
        return self._refuse()


def test_block_store_is_not_read_before_its_backoff_has_ended(log_lines):
    store = _model.BlockStore("10.0.0.1:80", "z", 1000, 1e9, 0.0, is_managed=True)
    client = OverloadedStore(9.0)
    follower = _store_follower.StoreFollower(client, _store_index.StoreIndex(store))
    follower.step()
    assert 8.0 < follower.step() <= 9.0
    assert client.calls == 1
    assert log_lines.wait_for("store backoff")["asked_s"] == 9.0
