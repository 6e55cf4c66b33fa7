"""Upstreams that ask a host to stay away for some time."""

import pytest

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
