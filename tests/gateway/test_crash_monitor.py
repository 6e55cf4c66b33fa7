"""Responses that broke off, and whether their upstream has ended."""

from sycamorespoke.gateway import _crash_monitor, _model, _requests, _views

UPSTREAM = _model.Upstream("i-1", 1, "s", "127.0.0.1:1", "dc-1")


def make_prompt(*block_ids):
    blocks = tuple(_requests.PromptBlock(each, 100) for each in block_ids)
    return _requests.Prompt("m", blocks, 100 * len(blocks), 3)


class MonitorHarness:
    """Monitor of one registered upstream; ``running`` is what a connection shows."""

    def __init__(self, running):
        self.running = running
        self.checks = 0
        self.ended_services = []
        self.views = _views.Views()
        self.views.replace_fields(upstreams_by_id={UPSTREAM.id: UPSTREAM})
        self.monitor = _crash_monitor.CrashMonitor(
            self.views, self.ended_services.append, self.check
        )

    def check(self, upstream):
        self.checks += 1
        return self.running

    def collect_blocks(self, now):
        return [each.blocks for each in self.monitor.collect(now)]


def test_response_of_an_upstream_that_ended_is_collected_once():
    harness = MonitorHarness(running=False)
    harness.monitor.record_broken(UPSTREAM, make_prompt("a", "b", "own"), 0.0)
    assert harness.collect_blocks(0.1) == [("a", "b")]
    assert harness.collect_blocks(0.2) == []
    assert harness.ended_services == ["s"]


def test_broken_response_of_an_upstream_that_runs_is_no_evidence():
    harness = MonitorHarness(running=True)
    harness.monitor.record_broken(UPSTREAM, make_prompt("a", "own"), 0.0)
    assert harness.collect_blocks(0.1) == []
    harness.running = False
    assert harness.collect_blocks(0.2) == []


def test_silent_upstream_has_ended_once_its_registration_is_gone():
    harness = MonitorHarness(running=None)
    harness.monitor.record_broken(UPSTREAM, make_prompt("a", "own"), 0.0)
    assert harness.collect_blocks(0.1) == []
    harness.views.replace_fields(upstreams_by_id={})
    assert harness.collect_blocks(2.0) == [("a",)]


def test_silent_upstream_that_stays_registered_is_given_up():
    harness = MonitorHarness(running=None)
    harness.monitor.record_broken(UPSTREAM, make_prompt("a", "own"), 0.0)
    assert harness.collect_blocks(_crash_monitor.MAX_PENDING_S + 0.1) == []
    assert harness.checks == 0


def test_upstream_is_checked_once_for_all_its_broken_responses():
    harness = MonitorHarness(running=False)
    for number in range(20):
        harness.monitor.record_broken(UPSTREAM, make_prompt("a", f"own{number}"), 0.0)
    assert len(harness.collect_blocks(0.1)) == 20
    assert harness.checks == 1


def test_block_with_a_recent_complete_response_is_no_evidence():
    harness = MonitorHarness(running=False)
    harness.monitor.record_whole(make_prompt("a", "other"), 0.0)
    harness.monitor.record_broken(UPSTREAM, make_prompt("a", "b", "own"), 1.0)
    assert harness.collect_blocks(1.1) == [("b",)]


def test_own_block_of_a_request_is_never_evidence():
    harness = MonitorHarness(running=False)
    harness.monitor.record_broken(UPSTREAM, make_prompt("own"), 0.0)
    assert harness.collect_blocks(0.1) == []
    assert harness.checks == 0
