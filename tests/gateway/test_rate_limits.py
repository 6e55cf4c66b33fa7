"""Rate limits that upstreams state in their responses."""

from tests.fakes import scripted_upstream


def test_stated_rate_limit_and_its_end_are_logged(harness, log_lines):
    limits = ["1.9", None]

    def respond(request):
        limit = limits.pop(0)
        headers = {} if limit is None else {"Server-Limit": limit}
        scripted_upstream.respond(request, **headers)

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    gateway.request("/safe/x")
    assert log_lines.wait_for("upstream rate limit")["limit_per_s"] == 1.9
    assert gateway.table.dump(0.0)["i-1@1"]["rate_limit_per_s"] == 1.9
    gateway.request("/safe/x")
    assert gateway.table.dump(0.0)["i-1@1"]["rate_limit_per_s"] is None
