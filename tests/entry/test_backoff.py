"""Upstreams that ask an entry host to stay away for some time."""

import random
import time

import attrs
import pytest

from sycamorespoke import clients, decisions, domain
from sycamorespoke.entry import _chooser, _monitor, _service_gate, _upstreams
from tests.fakes import entry_view, scripted_upstream

HOSTS = [
    domain.Host(
        f"bibdesk-{number}",
        "seeb",
        domain.HostRole.UPSTREAM,
        f"127.0.0.1:{number}",
        group="bibdesk",
    )
    for number in (1, 2)
]
OVERLOADED = domain.Refusal(domain.ErrorKind.UPSTREAM_REFUSED, "overloaded", 9)
NO_UPSTREAM = domain.Refusal(domain.ErrorKind.NO_UPSTREAM, "no upstream is available")
WHOLE = clients.ServiceResponse(200, (), b"")


class FakeServiceClient:
    """Returns the results in turn; ``sent`` has the hosts of the requests."""

    def __init__(self, *results):
        self.results = list(results)
        self.sent = []

    def send(self, host, *arguments, **options):
        self.sent.append(host.name)
        return self.results.pop(0)


@pytest.fixture
def chooser(monkeypatch):
    view = entry_view.make_entry_view(["entry-1"], HOSTS)
    monkeypatch.setattr(decisions._eligibility._membership, "is_ready", lambda *_: True)
    return _chooser.Chooser(
        "seeb", lambda: view, _upstreams.UpstreamTable(), None, None, random.Random(1)
    )


def list_names(chooser, now):
    return [host.name for host in chooser.select_eligible_hosts("bibdesk", now)]


def test_service_gets_no_request_before_its_backoff_has_ended(chooser):
    client = FakeServiceClient(OVERLOADED, WHOLE)
    gated = _service_gate.GatedServiceClient(client, chooser, chooser.table)
    assert gated.send(HOSTS[0]) == OVERLOADED
    assert gated.send(HOSTS[0]).kind is domain.ErrorKind.UPSTREAM_REFUSED
    assert gated.send(HOSTS[1]) == WHOLE
    assert client.sent == ["bibdesk-1", "bibdesk-2"]
    now = time.monotonic()
    assert list_names(chooser, now) == ["bibdesk-2"]
    assert list_names(chooser, now + 9.0) == ["bibdesk-1", "bibdesk-2"]


def test_caller_gets_the_true_time_if_every_service_wants_a_backoff(chooser):
    chooser.table.record_refusal("bibdesk-1", OVERLOADED, 100.0)
    assert chooser.state_backoff(NO_UPSTREAM, "bibdesk", 100.0) == NO_UPSTREAM
    longer = attrs.evolve(OVERLOADED, retry_after_s=30)
    chooser.table.record_refusal("bibdesk-2", longer, 100.0)
    stated = chooser.state_backoff(NO_UPSTREAM, "bibdesk", 102.0)
    assert stated.retry_after_s == 7
    assert chooser.state_backoff(OVERLOADED, "bibdesk", 102.0) == OVERLOADED
    assert chooser.state_backoff(NO_UPSTREAM, "other", 102.0) == NO_UPSTREAM


@pytest.mark.parametrize(
    "refusal",
    [
        attrs.evolve(OVERLOADED, retry_after_s=None),
        attrs.evolve(OVERLOADED, kind=domain.ErrorKind.UPSTREAM_LOST),
    ],
)
def test_refusal_without_a_time_is_no_backoff(chooser, refusal):
    chooser.table.record_refusal("bibdesk-1", refusal, 100.0)
    assert list_names(chooser, 100.0) == ["bibdesk-1", "bibdesk-2"]


def test_longest_backoff_counts_and_a_new_start_has_none(chooser):
    table = chooser.table
    table.record_started("bibdesk-1", clients.Started("b1", "v1", 0, 1), ())
    table.record_refusal("bibdesk-1", OVERLOADED, 100.0)
    table.record_refusal("bibdesk-1", attrs.evolve(OVERLOADED, retry_after_s=1), 101.0)
    assert table.get_backoff_until_s("bibdesk-1") == 109.0
    table.record_started("bibdesk-1", clients.Started("b1", "v1", 0, 1), ())
    assert list_names(chooser, 102.0) == ["bibdesk-2"]
    table.record_started("bibdesk-1", clients.Started("b2", "v1", 0, 1), ())
    assert list_names(chooser, 102.0) == ["bibdesk-1", "bibdesk-2"]


class OverloadedEngine:
    """Client of an engine that wants a backoff when its load or events are read."""

    def __init__(self, load=OVERLOADED):
        self.load = load
        self.calls = []

    def read_load(self, host, now):
        self.calls.append("load")
        return self.load

    def read_cache_events(self, host, after):
        self.calls.append("events")
        return OVERLOADED


@pytest.mark.parametrize(
    ("load", "calls"),
    [
        (OVERLOADED, ["load"]),
        (domain.LoadReport("b1", 0, 0, "v1", True, 100.0), ["load", "events"]),
    ],
)
def test_engine_is_not_polled_before_its_backoff_has_ended(load, calls):
    client, table = OverloadedEngine(load), _upstreams.UpstreamTable()
    monitor = _monitor.UpstreamMonitor(HOSTS[0], client, table)
    monitor._poll(100.0)
    monitor._poll(108.9)
    assert client.calls == calls
    monitor._poll(109.0)
    assert len(client.calls) > len(calls)


def test_absurd_backoff_is_cut(chooser):
    chooser.table.record_refusal(
        "bibdesk-1", attrs.evolve(OVERLOADED, retry_after_s=3600), 100.0
    )
    assert chooser.table.get_backoff_until_s("bibdesk-1") == 700.0


@pytest.mark.parametrize(
    ("status", "text", "retry_after_s"),
    [(503, "9", 9), (503, "0.2", 1), (503, "soon", None), (429, "9", None)],
)
def test_refusal_of_an_engine_has_the_time_that_it_names(status, text, retry_after_s):
    server = scripted_upstream.ScriptedUpstream(
        lambda request: scripted_upstream.respond(
            request, status, b"", Retry_After=text
        )
    )
    host = attrs.evolve(HOSTS[0], address=server.address)
    request = clients.GenerationRequest(
        request_id="r",
        account="a",
        model="m",
        version="v1",
        prompt="p",
        block_keys=(),
        max_tokens=1,
        priority=0,
    )
    try:
        refusal = clients.EngineClient().generate(host, request, 2.0)
    finally:
        server.close()
    assert (refusal.kind, refusal.retry_after_s) == (
        domain.ErrorKind.UPSTREAM_REFUSED,
        retry_after_s,
    )
