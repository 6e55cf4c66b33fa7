"""Requests that an entry host relates to the end of upstreams."""

import types

import pytest

from sycamorespoke import clients, decisions, domain, quarantine, serving
from sycamorespoke.entry import _crash_watch
from tests.fakes import entry_view, platform

HOST = domain.Host(
    "bibdesk-1", "seeb", domain.HostRole.UPSTREAM, "127.0.0.1:1", group="bibdesk"
)
REQUEST = types.SimpleNamespace(method="GET", path="/a", query="", body=b"x")
ACCOUNT = types.SimpleNamespace(name="clubs")
LOST = domain.Refusal(domain.ErrorKind.UPSTREAM_LOST, "broken")
WHOLE = clients.ServiceResponse(200, (), b"")
UNFRAMED = clients.ServiceResponse(200, (), b"", has_framing=False)
FAILED = clients.ServiceResponse(500, (), b"")


class FakeEngineClient:
    def __init__(self, report=None):
        self.report = report

    def read_load(self, host, now):
        return self.report or domain.Refusal(
            domain.ErrorKind.UPSTREAM_UNREACHABLE, "silent"
        )


class FakeServiceClient:
    """Returns one result; ``sent`` counts the requests."""

    def __init__(self, result):
        self.result = result
        self.sent = 0

    def send(self, host, *arguments, **options):
        self.sent += 1
        return self.result


def make_guard(engine_client=None):
    view = entry_view.make_entry_view(["entry-1"], [HOST])
    metrics = types.SimpleNamespace(count=lambda *arguments, **labels: None)
    return _crash_watch.CrashGuard(
        "entry-1", platform.FakePlatform(), engine_client, lambda: view, metrics
    )


def list_lost(guard):
    """Return the contents of the requests whose upstream has ended."""
    broken = guard.monitor.collect(serving.read_clock())
    return [[each.kind.value for each in one.contents] for one in broken]


def put_into_quarantine(guard, content):
    record = quarantine.make_quarantined_content(content)
    guard.objects.write(record.name, record.to_value())
    guard.objects.refresh(serving.read_clock())


def test_request_that_a_service_lost_is_evidence_if_its_process_has_ended():
    guard = make_guard()
    client = guard.watch_service_request(REQUEST, ACCOUNT, FakeServiceClient(LOST))
    # Nothing listens on the port.
    assert client.send(HOST, "GET", "/a") is LOST
    assert list_lost(guard) == [["request"]]


@pytest.mark.parametrize(
    ("result", "is_sound"), [(WHOLE, True), (UNFRAMED, False), (FAILED, False)]
)
def test_only_a_whole_success_shows_that_a_request_is_sound(result, is_sound):
    guard = make_guard()
    for each in (result, LOST):
        client = guard.watch_service_request(REQUEST, ACCOUNT, FakeServiceClient(each))
        client.send(HOST, "GET", "/a")
    assert list_lost(guard) == ([] if is_sound else [["request"]])


@pytest.mark.parametrize(
    "kind", [domain.ErrorKind.UPSTREAM_REFUSED, domain.ErrorKind.DEADLINE_AFTER_SEND]
)
def test_other_failures_are_no_evidence(kind):
    guard = make_guard()
    refusal = domain.Refusal(kind, "")
    client = guard.watch_service_request(REQUEST, ACCOUNT, FakeServiceClient(refusal))
    client.send(HOST, "GET", "/a")
    assert list_lost(guard) == []


def test_request_in_quarantine_is_not_sent_and_others_are():
    guard = make_guard()
    sender = FakeServiceClient(WHOLE)
    client = guard.watch_service_request(REQUEST, ACCOUNT, sender)
    fingerprint = client.watch.fingerprint
    content = decisions.Content(decisions.ContentKind.REQUEST, fingerprint)
    put_into_quarantine(guard, content)
    refusal = client.send(HOST, "GET", "/a")
    assert refusal.kind is domain.ErrorKind.REQUEST_QUARANTINED
    assert sender.sent == 0
    other_account = types.SimpleNamespace(name="pickup")
    other = guard.watch_service_request(REQUEST, other_account, sender)
    assert other.send(HOST, "GET", "/a") is WHOLE


@pytest.mark.parametrize(("boot_id", "has_ended"), [("b1", False), ("b2", True)])
def test_engine_that_reports_another_boot_has_ended(boot_id, has_ended):
    report = domain.LoadReport(boot_id, 0, 0, "v1", True, 0.0)
    guard = make_guard(FakeEngineClient(report))
    watch = guard.watch_completion(REQUEST, ACCOUNT)
    watch.record_lost(HOST, "b1", ("key",))
    assert list_lost(guard) == ([["block", "request"]] if has_ended else [])


def test_silent_engine_whose_process_has_ended_is_evidence():
    guard = make_guard(FakeEngineClient())
    guard.watch_completion(REQUEST, ACCOUNT).record_lost(HOST, "b1")
    assert list_lost(guard) == [["request"]]
