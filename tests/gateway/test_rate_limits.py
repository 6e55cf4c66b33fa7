"""Rate limits that upstreams state in their responses."""

import attrs
import pytest
import urllib3

from sycamorespoke.gateway import _chooser, _model, _rate_limiter, _table, _views
from sycamorespoke.platform import _protocol
from tests.fakes import scripted_upstream

UPSTREAM = _model.Upstream("i-1", 1, "s", "127.0.0.1:1", "dc-1")
# Bounds of the users' platform.
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK_REQUESTS = 5
SECONDS = 20
TICKS_PER_S = 40


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


class LimitedUpstream:
    """An upstream that all hosts choose first, and the limit that it states."""

    def __init__(self, hosts, limit_per_s):
        self.limit_per_s = limit_per_s
        names = [f"h{n}" for n in range(hosts)]
        self.view = _views.View(
            configuration=_model.Configuration(1, (), {}),
            hosts_by_name={each: _model.Host(each, "dc-1", "x:1") for each in names},
        )
        limits = _chooser.UpstreamLimits(1.5, 5.0, 6.0)
        self.limiters = [_rate_limiter.RateLimiter(each, limits) for each in names]
        self.known_by_host = dict.fromkeys(names)
        self.arrivals = []

    def demand(self, limiter, now):
        """Send a request if the limiter allows it; learn from its response."""
        known = self.known_by_host[limiter.host]
        if limiter.acquire(self.view, UPSTREAM, known, now):
            self.arrivals.append(now)
            self.known_by_host[limiter.host] = self.limit_per_s

    def count_most_in_window(self, since_s):
        times = [each for each in self.arrivals if each >= since_s]
        return max(sum(t <= each < t + WINDOW_S for each in times) for t in times)


@pytest.mark.parametrize("hosts", [1, 4, 9, 74])
@pytest.mark.parametrize("limit_per_s", [0.5, 2.0, 8.0])
@pytest.mark.parametrize("idle_s", [0, 60])
def test_hosts_that_know_a_limit_keep_to_it_together_also_after_a_pause(
    hosts, limit_per_s, idle_s
):
    upstream = LimitedUpstream(hosts, limit_per_s)
    for limiter in upstream.limiters:
        upstream.demand(limiter, 0.0)
    for tick in range(SECONDS * TICKS_PER_S):
        for limiter in upstream.limiters:
            upstream.demand(limiter, 0.1 + idle_s + tick / TICKS_PER_S)
    max_requests = TOLERANCE * limit_per_s * WINDOW_S + SLACK_REQUESTS
    assert upstream.count_most_in_window(0.1) <= max_requests
    # The upstream still gets most of what it accepts.
    assert len(upstream.arrivals) >= 0.8 * limit_per_s * SECONDS


@pytest.mark.parametrize("hosts", [4, 74])
def test_every_host_learns_that_a_limit_has_ended(hosts):
    upstream = LimitedUpstream(hosts, 2.0)
    for limiter in upstream.limiters:
        upstream.demand(limiter, 0.0)
    upstream.limit_per_s = None
    for tick in range(4 * hosts * 10):
        for limiter in upstream.limiters:
            upstream.demand(limiter, 0.1 + tick / 10)
    assert set(upstream.known_by_host.values()) == {None}


def test_limit_of_zero_leaves_one_request_in_a_turn():
    upstream = LimitedUpstream(9, 0.0)
    for limiter in upstream.limiters:
        upstream.demand(limiter, 0.0)
    for tick in range(1000):
        for limiter in upstream.limiters:
            upstream.demand(limiter, 0.1 + tick / 10)
    assert upstream.count_most_in_window(0.1) <= 2


def test_request_that_the_stated_limit_forbids_uses_no_share_of_a_cold_upstream():
    upstream = attrs.evolve(UPSTREAM, cold_s=100.0)
    service = _model.Service("s", cold_requests_per_s=10.0)
    configuration = _model.Configuration(1, (), {"s": service})
    view = _views.View(configuration=configuration)
    limits = _chooser.UpstreamLimits(1.5, 5.0, 6.0)
    limiter = _rate_limiter.RateLimiter("h0", limits)
    assert limiter.acquire(view, upstream, 1.0, 0.0)
    assert not any(limiter.acquire(view, upstream, 1.0, 0.5) for _ in range(9))
    assert limiter.acquire(view, upstream, None, 0.5)


def test_limit_of_one_start_does_not_bind_the_next(harness):
    table = _table.UpstreamTable()
    table.record_rate_limit(UPSTREAM, 1.0)
    restarted = attrs.evolve(UPSTREAM, started_ms=2)
    assert table.read([restarted])[restarted.boot_id].rate_limit_per_s is None


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "two", "1e9", "9" * 10])
def test_malformed_limit_is_none(text):
    headers = urllib3.HTTPHeaderDict({"Server-Limit": text})
    response = urllib3.HTTPResponse(b"", headers=headers, status=200)
    head = _protocol.parse_response_head(response)
    assert head.statements.rate_limit_per_s is None


def test_requests_beyond_the_limit_go_to_other_upstreams(harness):
    def respond(request):
        scripted_upstream.respond(request, **{"Server-Limit": "0.5"})

    limited = harness.start_upstream(respond, "i-1")
    other = harness.start_upstream(scripted_upstream.respond, "i-2")
    gateway = harness.start_gateway([limited, other])
    statuses = [gateway.request("/safe/x")[0] for _ in range(40)]
    assert statuses == [200] * 40
    assert len(limited.requests) <= SLACK_REQUESTS


def test_caller_is_refused_at_once_if_every_upstream_is_at_its_limit(harness):
    def respond(request):
        scripted_upstream.respond(request, **{"Server-Limit": "0.5"})

    gateway = harness.start_gateway([harness.start_upstream(respond)])
    results = [gateway.request("/safe/x") for _ in range(10)]
    refused = [headers for status, headers, _ in results if status == 503]
    assert len(refused) >= 10 - SLACK_REQUESTS
    assert all("Retry-After" in headers for headers in refused)
