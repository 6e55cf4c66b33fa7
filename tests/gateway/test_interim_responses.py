"""Interim responses, which an upstream sends before its response."""

import time

import pytest

from tests.fakes import cut_heads, scripted_upstream

IDENTITY = (
    b"X-Sycamorespoke-Request-Id: call-1\r\nX-Sycamorespoke-Response-Stamp: stamp\r\n"
)
INTERIM_HEADS = [
    b"HTTP/1.1 %s\r\n%s\r\n" % (status, headers)
    for status in (b"100 Continue", b"102 Processing", b"103 Early Hints", b"199 x")
    for headers in (b"", IDENTITY)
]


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
@pytest.mark.parametrize("interim", INTERIM_HEADS)
def test_interim_response_is_not_taken_for_the_response(harness, path, interim):
    def respond(request):
        request.wfile.write(interim * 2)
        scripted_upstream.respond(request, body=b"id: 1\n\n")

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    status, headers, body = gateway.request(path)
    assert (status, body) == (200, b"id: 1\n\n")
    assert headers[scripted_upstream.RESPONSE_STAMP] == "stamp"


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
@pytest.mark.parametrize("interim", INTERIM_HEADS)
def test_connection_that_ends_after_an_interim_response_is_no_response(
    harness, path, interim
):
    head = interim + cut_heads.encode_head(b"200 OK", IDENTITY)
    script = cut_heads.CutHeads(head)
    # The bytes of the interim response itself are those of any head.
    script.sent = len(interim)
    gateway = harness.start_gateway([harness.start_upstream(script)])
    while script.sent < script.count:
        assert gateway.request(path)[0] == 502


def test_response_that_follows_an_interim_one_late_is_that_of_its_request(harness):
    def respond(request):
        request_id = request.headers["X-Sycamorespoke-Request-Id"]
        headers = {"X-Sycamorespoke-Request-Id": request_id}
        scripted_upstream.send_head(request, 103, headers)
        time.sleep(0.05)
        scripted_upstream.respond(request, body=request_id.encode())

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    request_ids = [f"call-{number}" for number in range(4)]
    responses = [
        gateway.request("/safe/x", X_Sycamorespoke_Request_Id=request_id)
        for request_id in request_ids
    ]
    assert [(status, body.decode()) for status, _, body in responses] == [
        (200, request_id) for request_id in request_ids
    ]


@pytest.mark.parametrize("path", ["/unsafe/x", "/once/x"])
def test_switch_to_another_protocol_is_no_response(harness, path):
    def switch(request):
        request.wfile.write(b"HTTP/1.1 101 Switching\r\n" + IDENTITY + b"\r\n")
        scripted_upstream.respond(request)

    gateway = harness.start_gateway([harness.start_upstream(switch)])
    status, headers, _ = gateway.request(path)
    assert status == 502
    assert scripted_upstream.RESPONSE_STAMP not in headers
