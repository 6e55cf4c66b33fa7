"""The judge of rollouts: reports of hosts, its holder, what it replies."""

import pytest

from sycamorespoke import messages, rollouts

NOW = 100.0
ID = rollouts.RolloutId("s", "v2", 5)
ORDER = rollouts.RolloutOrder("s", ID, 16.0, 5)
HOSTS = [f"h{number}" for number in range(30)]


def make_report(host="h0", known_s=4.0, **changes):
    fields = {"boot_id": "b", "known_s": known_s, **changes}
    return messages.RolloutReport("s", "v2", 5, host, **fields)


def make_tallies(trial, old=(1000, 10)):
    return [
        messages.RouteTally("r", True, *trial),
        messages.RouteTally("r", False, *old),
    ]


class JudgeHarness:
    def __init__(self):
        self.judge = rollouts.Judge(rollouts.Limits(0.1, 50.0))
        self.now = NOW

    def report(self, **changes):
        return self.judge.receive(make_report(**changes), 16.0, self.now)

    def step(self, duration_s=0.5, hosts=HOSTS):
        self.now += duration_s
        self.judge.step(ORDER, hosts, self.now)

    def read_reply(self):
        return self.report(host="asking", known_s=0.0, boot_id="x")


@pytest.fixture
def harness():
    return JudgeHarness()


def test_crash_of_an_upstream_on_trial_is_no_verdict(harness):
    for host in HOSTS:
        tallies = make_tallies((2, 0))
        harness.report(host=host, tallies=tallies, trial_lost_by_boot={"i-1@7": 1})
    for _ in range(4):
        harness.step()
    assert harness.read_reply().end == ""


def test_connections_that_keep_ending_are_a_verdict(harness):
    for number in range(1, 20):
        lost_by_boot = {f"i-{each}@7": number for each in range(3)}
        harness.report(
            tallies=make_tallies((number, 0)), trial_lost_by_boot=lost_by_boot
        )
        harness.step(0.6)
    assert harness.read_reply().end == "rolled back"


def test_verdict_needs_the_outcomes_of_all_hosts(harness):
    for host in HOSTS[:5]:
        harness.report(host=host, tallies=make_tallies((2, 1)))
    harness.step()
    assert harness.read_reply().end == "rolled back"


def test_counts_of_a_host_that_starts_again_are_kept(harness):
    harness.report(tallies=make_tallies((4, 3)))
    harness.report(boot_id="c", tallies=make_tallies((4, 3)))
    harness.step()
    assert harness.read_reply().end == "rolled back"


def test_host_that_has_known_the_order_longest_tells_its_age(harness):
    harness.report(host="h0", known_s=15.1)
    harness.report(host="h1", known_s=1.0)
    for _ in range(4):
        harness.step()
    assert harness.read_reply().end == "rolled back"


def test_new_judge_waits_for_reports_before_it_ends_a_rollout(harness):
    harness.report(known_s=15.1)
    harness.step()
    assert harness.read_reply().end == ""


def test_new_judge_adopts_a_move_and_an_end(harness):
    reply = harness.report(is_moving=True, fraction=0.5)
    assert reply.is_moving
    assert reply.fraction == pytest.approx(0.5)
    assert harness.report(host="h1", end="rolled back").end == "rolled back"
    assert harness.report(host="h2", end="completed").end == "rolled back"


def test_end_of_a_later_release_that_is_not_known_is_ignored(harness):
    assert harness.report(end="paused").end == ""


def test_rollout_is_completed_once_no_host_uses_the_old_version(harness):
    fields = {"is_moving": True, "fraction": 1.0, "tallies": make_tallies((50, 0))}
    for host in HOSTS:
        harness.report(host=host, known_s=9.0, old_in_flight=1, **fields)
    for _ in range(5):
        harness.step()
    assert harness.read_reply().end == ""
    for host in HOSTS[1:]:
        harness.report(host=host, known_s=12.0, **fields)
    harness.step()
    assert harness.read_reply().end == ""
    harness.report(host="h0", known_s=12.5, **fields)
    harness.step()
    assert harness.read_reply().end == "completed"


def test_routes_of_which_too_few_were_tried_are_named(harness):
    tallies = [
        *make_tallies((30, 0)),
        messages.RouteTally("rare", False, 40, 0),
    ]
    harness.report(tallies=tallies)
    harness.step()
    assert harness.read_reply().wanted_routes == ["rare"]
