"""Contents of requests that upstreams lost, and of requests in quarantine."""

import attrs
import pytest

from sycamorespoke import decisions, quarantine, serving
from tests.fakes import scripted_upstream

PROMPT = {"X_Sycamorespoke_Prompt_Prefix": "aa:5,bb:5,own:1"}
REQUEST = decisions.ContentKind.REQUEST
PATHS = ["/safe/x", "/unsafe/x", "/stream/x", "/once/x"]


def break_off_response(request):
    scripted_upstream.start_stream(request)
    scripted_upstream.abort(request)


def list_lost(gateway):
    """Return the kinds and IDs of the contents of each request that was lost."""
    # The check of the upstream is left out.
    gateway.crash_monitor.is_running = lambda upstream: False
    lost = gateway.crash_monitor.collect(serving.read_clock())
    return [[(one.kind.value, one.id) for one in each.contents] for each in lost]


@pytest.mark.parametrize("path", PATHS)
def test_request_that_is_lost_before_its_response_is_evidence_without_its_blocks(
    harness, path
):
    gateway = harness.start_gateway([harness.start_upstream(scripted_upstream.abort)])
    assert gateway.request(path, **PROMPT)[0] == 502
    ((only,),) = list_lost(gateway)
    assert only[0] == "request"


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_request_that_is_lost_during_its_response_is_evidence_with_shared_blocks(
    harness, path
):
    gateway = harness.start_gateway([harness.start_upstream(break_off_response)])
    assert gateway.request(path, **PROMPT)[0] == 502
    ((*blocks, request),) = list_lost(gateway)
    assert blocks == [("block", "aa"), ("block", "bb")]
    assert request[0] == "request"


def test_same_request_under_another_id_is_the_same_contents(harness):
    gateway = harness.start_gateway([harness.start_upstream(scripted_upstream.abort)])
    for request_id in ("call-1", "call-2"):
        gateway.request("/once/x", X_Sycamorespoke_Request_Id=request_id)
    gateway.request("/once/x", body=b"other", X_Sycamorespoke_Request_Id="call-3")
    first, second, other = list_lost(gateway)
    assert first == second
    assert first != other


@pytest.mark.parametrize(
    "handle",
    [
        lambda request: scripted_upstream.respond(
            request, 503, X_Sycamorespoke_Not_Run="1"
        ),
        lambda request: scripted_upstream.respond(request, 500),
        lambda request: scripted_upstream.respond(request, id="other"),
        scripted_upstream.respond,
    ],
)
def test_request_with_any_response_is_no_evidence(harness, handle):
    gateway = harness.start_gateway([harness.start_upstream(handle)])
    gateway.request("/once/x")
    assert list_lost(gateway) == []


def test_completed_request_is_sound(harness):
    upstreams = [scripted_upstream.respond, scripted_upstream.abort]
    upstream = harness.start_upstream(lambda request: upstreams.pop(0)(request))
    gateway = harness.start_gateway([upstream])
    assert gateway.request("/once/x")[0] == 200
    assert gateway.request("/once/x")[0] == 502
    assert list_lost(gateway) == []


def quarantine_only_lost(gateway):
    """Put the request that was lost into quarantine."""
    (((_, fingerprint),),) = list_lost(gateway)
    content = decisions.Content(REQUEST, fingerprint)
    record = quarantine.make_quarantined_content(content)
    record = attrs.evolve(record, seen_s=serving.read_clock())
    crashes = quarantine.CrashRecords.from_items([record])
    gateway.views.replace_fields(crashes=crashes)


@pytest.mark.parametrize("path", PATHS)
def test_quarantined_request_is_refused_as_not_run_and_others_are_served(harness, path):
    handlers = [scripted_upstream.abort]

    def handle(request):
        (handlers.pop() if handlers else scripted_upstream.respond)(request)

    upstream = harness.start_upstream(handle)
    gateway = harness.start_gateway([upstream])
    gateway.request(path, body=b"bad")
    quarantine_only_lost(gateway)
    status, headers, body = gateway.request(path, body=b"bad")
    assert (status, len(upstream.requests)) == (503, 1)
    assert 3590 <= int(headers["Retry-After"]) <= 3600
    assert b"the request has ended upstreams" in body
    for changes in ({"body": b"good"}, {"method": "PUT", "body": b"bad"}):
        assert gateway.request(path, **changes)[0] == 200
