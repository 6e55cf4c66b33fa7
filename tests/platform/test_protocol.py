"""Tests of parsing and building headers of requests and responses."""

import io

import pytest
import urllib3

from sycamorespoke import decisions, domain, gateway
from sycamorespoke.platform import _protocol


def make_environ(**headers):
    environ = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/x/y?z=%20",
        "CONTENT_LENGTH": "3",
        "wsgi.input": io.BytesIO(b"ask"),
        "HTTP_HOST": "a.example",
    }
    environ.update({f"HTTP_{name}": text for name, text in headers.items()})
    return environ


def test_a_request_with_a_prompt_is_parsed_with_all_fields():
    request = _protocol.parse_request(
        make_environ(
            X_SYCAMORESPOKE_REQUEST_ID="c-1",
            X_SYCAMORESPOKE_DEADLINE_MS="1500",
            X_SYCAMORESPOKE_MODEL="m",
            X_SYCAMORESPOKE_TOKEN_COUNT="1460,80",
            X_SYCAMORESPOKE_PROMPT_PREFIX="5c:800,91:410,e4:250",
            AUTHORIZATION="Bearer key",
            LAST_EVENT_ID="12",
        ),
        100.0,
    )
    assert (request.id, request.api_key, request.deadline_s) == ("c-1", "key", 101.5)
    assert (request.path, request.target, request.body) == (
        "/x/y",
        "/x/y?z=%20",
        b"ask",
    )
    assert request.last_event_id == 12
    blocks = tuple(
        gateway.PromptBlock(*block) for block in [("5c", 800), ("91", 410), ("e4", 250)]
    )
    assert request.prompt == gateway.Prompt("m", blocks, 1460, 80)
    forwarded = dict(request.headers)
    assert forwarded["x-sycamorespoke-prompt-prefix"] == "5c:800,91:410,e4:250"
    assert "authorization" not in forwarded
    assert "x-sycamorespoke-deadline-ms" not in forwarded


@pytest.mark.parametrize(
    "headers",
    [
        {"X_SYCAMORESPOKE_DEADLINE_MS": "soon"},
        {"X_SYCAMORESPOKE_DEADLINE_MS": "-5"},
        {"X_SYCAMORESPOKE_PROMPT_PREFIX": "5c"},
        {"X_SYCAMORESPOKE_PROMPT_PREFIX": "5c:many"},
    ],
)
def test_a_malformed_header_is_refused_by_name(headers):
    refusal = _protocol.parse_request(make_environ(**headers), 0.0)
    assert refusal.kind is domain.ErrorKind.BAD_REQUEST
    name = next(iter(headers)).replace("_", "-").lower()
    assert name in refusal.reason.lower()


def test_a_request_to_an_upstream_has_the_headers_of_its_dispatch():
    request = _protocol.parse_request(
        make_environ(X_SYCAMORESPOKE_REQUEST_ID="c-1"), 0.0
    )
    upstream = gateway.Upstream("i-1", 1, "s", "10.0.0.2:80", "z")
    plan = decisions.BlockPlan(("1.1.1.1:1", None, None), (None, "2.2.2.2:2", None))
    dispatch = gateway.Dispatch(
        upstream,
        gateway.Account("t"),
        1.0,
        priority=6,
        weight_version=3,
        cache_scope="v3 m",
        last_event_id=7,
        block_plan=plan,
        import_until_ms=99,
    )
    headers = _protocol.build_request_headers(request, dispatch, 0.75)
    assert headers["X-Sycamorespoke-Deadline-Ms"] == "750"
    assert headers["X-Sycamorespoke-Expect-Instance"] == "i-1"
    assert headers["X-Sycamorespoke-Expect-Version"] == "3"
    assert headers["X-Sycamorespoke-Tenant-Id"] == "t"
    assert headers["X-Sycamorespoke-Request-Priority"] == "6"
    assert headers["X-Sycamorespoke-Cache-Salt"] == "v3 m"
    assert headers["X-Sycamorespoke-Kv-Fetch"] == "1.1.1.1:1,-,-"
    assert headers["X-Sycamorespoke-Kv-Until"] == "99"
    assert headers["X-Sycamorespoke-Kv-Save"] == "-,2.2.2.2:2,-"
    assert headers["Last-Event-Id"] == "7"


def test_a_response_is_parsed_and_its_connection_headers_are_not_forwarded():
    response = urllib3.HTTPResponse(
        status=503,
        headers={
            "X-Sycamorespoke-Request-Id": "c-1",
            "X-Sycamorespoke-Not-Run": "1",
            "Retry-After": "0.25",
            "Keep-Alive": "timeout=5, max=9",
            "Connection": "close, X-Private",
            "X-Private": "1",
            "X-Kept": "2",
        },
    )
    head = _protocol.parse_response_head(response)
    assert (head.request_id, head.is_not_run, head.closes_connection) == (
        "c-1",
        True,
        True,
    )
    assert (head.statements.backoff_s, head.keep_alive_s) == (0.25, 5.0)
    names = {name for name, _ in head.headers}
    assert "X-Kept" in names
    assert not names & {"X-Private", "Connection", "Keep-Alive"}


def test_a_refusal_has_retry_after_only_if_it_states_a_time():
    refusal = domain.Refusal(domain.ErrorKind.OVERLOADED, "full", retry_after_s=0.2)
    assert ("Retry-After", "0.2") in _protocol.build_refusal_headers(refusal, "c-1")
    lost = domain.Refusal(domain.ErrorKind.UPSTREAM_LOST, "broke")
    assert dict(_protocol.build_refusal_headers(lost, "")) == {}
