"""Refusals that an upstream writes once more on a kept connection."""

import time

import attrs
import pytest

from sycamorespoke.gateway import _model
from tests.fakes import in_process_gateway, scripted_upstream

NOT_RUN = {"X-Sycamorespoke-Not-Run": "1"}
REFUSAL_STATUSES = (503, 429, 421, 400)
# Until a written copy has certainly arrived at the other end of the connection.
ARRIVAL_S = 0.1


class RefusingUpstream:
    """Upstream that refuses its first request and writes the refusal once more.

    The copy is written at once or, with ``is_late``, when the next request has been
    received on the same connection.
    """

    def __init__(self, status, refused_id, is_late, **headers):
        self.status = status
        self.headers = {**NOT_RUN, "Content-Length": "0", **headers}
        if refused_id:
            self.headers["X-Sycamorespoke-Request-Id"] = refused_id
        self.is_late = is_late
        self.runs = []
        self.copies = 0
        self._refused_connection = None

    def handle(self, request):
        if self._refused_connection is None:
            self._refused_connection = request.connection
            self._refuse(request)
            if not self.is_late:
                self._write_copy(request)
            return
        self.runs.append(request.headers.get("X-Sycamorespoke-Request-Id"))
        if self.is_late and request.connection is self._refused_connection:
            self._write_copy(request)
        body = scripted_upstream.encode_events(1, 2)
        if request.path.startswith("/once/"):
            scripted_upstream.send_stream(request, "length", body)
        else:
            scripted_upstream.respond(request, body=body)

    def _write_copy(self, request):
        self.copies += 1
        self._refuse(request)

    def _refuse(self, request):
        scripted_upstream.send_head(request, self.status, self.headers)


def send(gateway, path, request_id):
    return gateway.request(path, X_Sycamorespoke_Request_Id=request_id)[0]


def send_two(harness, faulty, path):
    """Send a request that is refused and another one; return the second status."""
    gateway = harness.start_gateway([harness.start_upstream(faulty.handle)])
    # Of a safe route, whose requests use connections that are kept.
    assert send(gateway, "/safe/x", "call-1") == 503
    time.sleep(ARRIVAL_S)
    return send(gateway, path, "call-2")


@pytest.mark.parametrize("refused_id", ["", "call-1"])
@pytest.mark.parametrize("status", REFUSAL_STATUSES)
def test_copy_of_a_refusal_does_not_refuse_a_request_that_runs(
    harness, status, refused_id
):
    faulty = RefusingUpstream(status, refused_id, is_late=True)
    assert send_two(harness, faulty, "/once/x") == 502
    assert (faulty.copies, faulty.runs) == (1, ["call-2"])


@pytest.mark.parametrize("refused_id", ["", "call-1"])
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/once/x"])
def test_copy_of_a_refusal_on_an_idle_connection_reaches_no_request(
    harness, path, refused_id
):
    faulty = RefusingUpstream(503, refused_id, is_late=False)
    assert send_two(harness, faulty, path) == 200
    assert (faulty.copies, faulty.runs) == (1, ["call-2"])


@pytest.mark.parametrize("refused_id", ["", "call-1"])
def test_copy_of_a_refusal_cannot_refuse_an_unsafe_request(harness, refused_id):
    faulty = RefusingUpstream(503, refused_id, is_late=True)
    assert send_two(harness, faulty, "/unsafe/x") == 200
    # Unsafe requests get a connection of their own.
    assert (faulty.copies, faulty.runs) == (0, ["call-2"])


@pytest.mark.parametrize(
    ("kind", "status", "sent_elsewhere"),
    [(_model.RouteKind.STREAM, 502, 0), (_model.RouteKind.SAFE, 200, 1)],
)
def test_only_a_safe_request_is_sent_elsewhere_after_a_copied_refusal(
    harness, kind, status, sent_elsewhere
):
    faulty = RefusingUpstream(503, "", is_late=True)
    first = harness.start_upstream(faulty.handle, "i-1")
    route = in_process_gateway.make_route("two", kind, attempts=2)
    routes = (*in_process_gateway.ROUTES, route)
    gateway = harness.start_gateway([first], routes=routes)
    assert send(gateway, "/safe/x", "call-1") == 503
    second = harness.start_upstream(scripted_upstream.respond, "i-2")
    gateway.register([first, second])
    # The first one is preferred.
    gateway.table.record_full(gateway.views.get().upstreams_by_id["i-2"], float("inf"))
    time.sleep(ARRIVAL_S)
    assert send(gateway, "/two/x", "call-2") == status
    assert (faulty.runs, len(second.requests)) == (["call-2"], sent_elsewhere)


def test_refusal_without_request_id_on_a_new_connection_is_believed(harness):
    faulty = RefusingUpstream(429, "", is_late=True)
    gateway = harness.start_gateway([harness.start_upstream(faulty.handle)])
    assert send(gateway, "/unsafe/x", "call-1") == 503
    assert faulty.runs == []


def test_copy_of_a_refusal_does_not_answer_the_second_try_at_its_upstream(harness):
    # After a refusal for its weight version, the same upstream is tried again.
    version = {"X-Sycamorespoke-Weight-Versions": "2"}
    faulty = RefusingUpstream(421, "call-1", is_late=True, **version)
    upstream = harness.start_upstream(faulty.handle)
    gateway = harness.start_gateway([upstream])
    (registered,) = gateway.views.get().upstreams_by_id.values()
    registered = attrs.evolve(registered, versions_by_model={"m": 1})
    gateway.views.replace_fields(upstreams_by_id={registered.id: registered})
    prompt = {
        "X_Sycamorespoke_Model": "m",
        "X_Sycamorespoke_Prompt_Prefix": "aa:9,bb:1",
    }
    assert gateway.request("/once/x", **prompt)[0] == 200
    expected = [
        each.headers["X-Sycamorespoke-Expect-Version"] for each in upstream.requests
    ]
    assert (expected, faulty.runs) == (["1", "2"], ["call-1"])


def test_copy_of_a_refusal_does_not_answer_a_request_without_an_id(harness):
    faulty = RefusingUpstream(400, "", is_late=True)
    gateway = harness.start_gateway([harness.start_upstream(faulty.handle)])
    assert send(gateway, "/safe/x", "call-1") == 503
    time.sleep(ARRIVAL_S)
    status = send(gateway, "/safe/x", None)
    assert (status, faulty.copies, faulty.runs) == (200, 0, [None])
