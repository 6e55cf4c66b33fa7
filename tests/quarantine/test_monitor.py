"""Requests that were lost, and whether their upstream has ended."""

from sycamorespoke import decisions
from sycamorespoke.gateway import _model, _views
from sycamorespoke.quarantine import _monitor

UPSTREAM = _model.Upstream("i-1", 1, "s", "127.0.0.1:1", "dc-1")


def make_contents(*block_ids):
    kind = decisions.ContentKind.BLOCK
    return tuple(decisions.Content(kind, each) for each in block_ids)


class MonitorHarness:
    """Monitor of one registered upstream; ``running`` is what a connection shows."""

    def __init__(self, running):
        self.running = running
        self.checks = 0
        self.ended_services = []
        self.views = _views.Views()
        self.views.replace_fields(upstreams_by_id={UPSTREAM.id: UPSTREAM})
        self.monitor = _monitor.CrashMonitor(
            self.views.is_registered, self.ended_services.append, self.check
        )

    def check(self, upstream):
        self.checks += 1
        return self.running

    def record_lost(self, request, *block_ids, now=0.0):
        contents = make_contents(*block_ids)
        self.monitor.record_lost(UPSTREAM, request, contents, now)

    def collect_blocks(self, now):
        collected = self.monitor.collect(now)
        return [tuple(content.id for content in each.contents) for each in collected]


def test_response_of_an_upstream_that_ended_is_collected_once():
    harness = MonitorHarness(running=False)
    harness.record_lost("own", "a", "b")
    assert harness.collect_blocks(0.1) == [("a", "b")]
    assert harness.collect_blocks(0.2) == []
    assert harness.ended_services == ["s"]


def test_broken_response_of_an_upstream_that_runs_is_no_evidence():
    harness = MonitorHarness(running=True)
    harness.record_lost("own", "a")
    assert harness.collect_blocks(0.1) == []
    harness.running = False
    assert harness.collect_blocks(0.2) == []


def test_silent_upstream_has_ended_once_its_registration_is_gone():
    harness = MonitorHarness(running=None)
    harness.record_lost("own", "a")
    assert harness.collect_blocks(0.1) == []
    harness.views.replace_fields(upstreams_by_id={})
    assert harness.collect_blocks(2.0) == [("a",)]


def test_silent_upstream_that_stays_registered_is_given_up():
    harness = MonitorHarness(running=None)
    harness.record_lost("own", "a")
    assert harness.collect_blocks(_monitor.MAX_PENDING_S + 0.1) == []
    assert harness.checks == 0


def test_upstream_is_checked_once_for_all_its_broken_responses():
    harness = MonitorHarness(running=False)
    for number in range(20):
        harness.record_lost(f"own{number}", "a")
    assert len(harness.collect_blocks(0.1)) == 20
    assert harness.checks == 1


def test_block_with_a_recent_complete_response_is_no_evidence():
    harness = MonitorHarness(running=False)
    harness.monitor.record_whole(make_contents("a"), 0.0)
    harness.record_lost("own", "a", "b", now=1.0)
    assert harness.collect_blocks(1.1) == [("b",)]
