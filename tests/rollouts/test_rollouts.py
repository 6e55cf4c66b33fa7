"""What one host knows of rollouts: orders, listed versions, outcomes, plans."""

import attrs
import pytest

from sycamorespoke import messages, rollouts
from tests.fakes import software_fleet

NOW = 100.0
ID = rollouts.RolloutId("s", "v2", 5)
ORDER = rollouts.RolloutOrder("s", ID, 16.0, 5)
OLD = software_fleet.make_upstream(1, "v1")
NEW = software_fleet.make_upstream(1, "v2")
HOSTS = {"h1": None, "h2": None}
ROLLED_BACK = rollouts.RolloutState.ROLLED_BACK
COMPLETED = rollouts.RolloutState.COMPLETED


def make_known(*orders, listed=(OLD, NEW), history=None):
    known = rollouts.Rollouts("h1", rollouts.Limits(0.1, 50.0), history)
    known.record_upstreams([OLD], NOW - 50.0)
    known.record_upstreams(listed, NOW - 1.0)
    known.record_orders(orders, NOW - 1.0)
    return known


def plan(known, confirmed_s=NOW, now=NOW, **options):
    request = rollouts.PlannedRequest("s", "r", "key", **options)
    result = known.plan(request, [OLD, NEW], HOSTS, confirmed_s, now)
    return [[each.software_version for each in group] for group in result.groups]


def reply(known, now=NOW, **changes):
    fields = {"holder": "h2", "is_holder": True, **changes}
    known.apply_reply(messages.RolloutReply("s", "v2", 5, **fields), now)


def test_new_version_is_not_used_before_the_orders_are_confirmed():
    known = make_known()
    assert plan(known, confirmed_s=NOW - 1.5) == [["v1"]]
    assert plan(known, confirmed_s=NOW - 1.0) == [["v1", "v2"]]


def test_only_version_of_a_service_is_used_at_once():
    known = rollouts.Rollouts("h1", rollouts.Limits(0.1, 50.0))
    known.record_upstreams([OLD], NOW)
    assert plan(known, confirmed_s=float("-inf")) == [["v1"]]


def test_several_versions_that_are_listed_at_the_start_wait_for_the_orders():
    known = rollouts.Rollouts("h1", rollouts.Limits(0.1, 50.0))
    known.record_upstreams([OLD, NEW], NOW)
    assert plan(known, confirmed_s=NOW - 0.1) == [[]]
    assert plan(known, confirmed_s=NOW) == [["v1", "v2"]]


def test_trial_begins_once_the_holder_has_replied_and_ends_without_replies():
    known = make_known(ORDER)
    assert plan(known) == [["v1"]]
    reply(known)
    assert plan(known) == [["v2"], ["v1"]]
    assert plan(known, now=NOW + 1.6) == [["v1"]]


def test_reply_of_a_host_that_does_not_judge_begins_no_trial():
    known = make_known(ORDER)
    reply(known, is_holder=False)
    assert plan(known) == [["v1"]]


def test_request_that_was_tried_before_goes_to_the_old_version():
    known = make_known(ORDER)
    reply(known)
    assert plan(known, is_retry=True) == [["v1"]]


@pytest.mark.parametrize("end", [ROLLED_BACK, COMPLETED])
def test_end_binds_as_the_holder_replies(end):
    known = make_known(ORDER)
    reply(known, end=end.value)
    expected = [["v1"]] if end is ROLLED_BACK else [["v2"], ["v1"]]
    assert plan(known) == expected
    assert known.list_pending() == [ORDER]
    # A stream continues at its version, but not at one that was rolled back.
    assert plan(known, is_bound=True) == expected


def test_version_that_was_rolled_back_is_not_taken_back_by_a_reply():
    known = make_known(ORDER)
    reply(known, end="rolled back")
    reply(known, end="completed")
    reply(known, is_moving=True, fraction=1.0)
    assert plan(known) == [["v1"]]


def test_stored_state_binds_a_host_that_starts():
    known = make_known(attrs.evolve(ORDER, state=ROLLED_BACK, revision=9))
    assert plan(known) == [["v1"]]
    assert known.list_pending() == []


def test_versions_of_later_releases_are_used_after_a_completed_rollout():
    known = make_known(attrs.evolve(ORDER, state=COMPLETED, revision=9))
    assert plan(known) == [["v2"], ["v1"]]
    assert plan(known, now=NOW + 20.0) == [["v1", "v2"]]


def test_order_for_another_version_replaces_the_last():
    known = make_known(attrs.evolve(ORDER, state=ROLLED_BACK, revision=9))
    other = rollouts.RolloutOrder("s", attrs.evolve(ID, version="v3"), 16.0, 12)
    known.record_orders([other], NOW)
    assert known.list_pending() == [other]
    known.record_orders([ORDER], NOW)
    assert known.list_pending() == [other]


@pytest.mark.parametrize("state", [None, ROLLED_BACK])
def test_version_of_an_earlier_order_gets_nothing_unless_it_was_completed(state):
    known = make_known(attrs.evolve(ORDER, state=state, revision=9))
    later = rollouts.RolloutOrder("s", rollouts.RolloutId("s", "v3", 12), 16.0, 12)
    known.record_orders([later], NOW)
    assert plan(known) == [["v1"]]


def test_version_that_a_later_order_completed_is_used():
    known = make_known(attrs.evolve(ORDER, state=ROLLED_BACK, revision=9))
    again = rollouts.RolloutId("s", "v2", 20)
    known.record_orders([rollouts.RolloutOrder("s", again, 16.0, 21, COMPLETED)], NOW)
    later = rollouts.RolloutOrder("s", rollouts.RolloutId("s", "v3", 30), 16.0, 30)
    known.record_orders([later], NOW)
    assert plan(known) == [["v1", "v2"]]


def test_order_that_is_no_longer_listed_stays_in_force():
    known = make_known(attrs.evolve(ORDER, state=ROLLED_BACK, revision=9))
    known.record_orders([], NOW)
    assert plan(known) == [["v1"]]


def test_host_that_has_seen_many_failures_ends_its_own_trial():
    known = make_known(ORDER)
    reply(known)
    for _ in range(6):
        sent = known.begin(NEW, "r", NOW)
        known.end(sent, rollouts.Outcome.FAILED, NOW + 0.1)
    assert known.dump(NOW)["s"]["has_stopped"]
    assert plan(known) == [["v1"]]


def test_connections_of_one_upstream_that_end_together_are_one_failure():
    known = make_known(ORDER)
    for _ in range(9):
        sent = known.begin(NEW, "r", NOW)
        known.end(sent, rollouts.Outcome.LOST, NOW + 0.1)
    assert known.dump(NOW)["s"]["trial"] == {"requests": 1, "bad": 1}
    sent = known.begin(NEW, "r", NOW)
    known.end(sent, rollouts.Outcome.LOST, NOW + 1.0)
    assert known.dump(NOW)["s"]["trial"] == {"requests": 2, "bad": 2}


@pytest.mark.parametrize(
    ("outcome", "duration_s", "cold_s", "tally"),
    [
        (rollouts.Outcome.WHOLE, 0.2, 0.0, (1, 0)),
        (rollouts.Outcome.WHOLE, 0.9, 0.0, (1, 1)),
        (rollouts.Outcome.WHOLE, 0.9, 5.0, (1, 0)),
        (rollouts.Outcome.FAILED, 0.1, 5.0, (1, 1)),
        (rollouts.Outcome.CANCELLED, 0.1, 0.0, (0, 0)),
        (rollouts.Outcome.CANCELLED, 0.9, 0.0, (1, 1)),
    ],
)
def test_outcomes_are_compared_with_the_old_version(outcome, duration_s, cold_s, tally):
    known = make_known(ORDER)
    for _ in range(5):
        sent = known.begin(OLD, "r", NOW)
        known.end(sent, rollouts.Outcome.WHOLE, NOW + 0.1)
    upstream = attrs.evolve(NEW, cold_s=cold_s, seen_s=NOW)
    sent = known.begin(upstream, "r", NOW)
    known.end(sent, outcome, NOW + duration_s)
    expected = dict(zip(("requests", "bad"), tally, strict=True))
    assert known.dump(NOW)["s"]["trial"] == expected


def test_reservation_that_is_not_used_is_given_back():
    known = make_known(ORDER)
    reply(known)
    request = rollouts.PlannedRequest("s", "r", "key")
    for _ in range(200):
        made = known.plan(request, [OLD, NEW], HOSTS, NOW, NOW)
        assert made.reserved_for is not None
        known.cancel_reservation(made)


def test_report_tells_what_runs_at_the_old_version():
    known = make_known(ORDER)
    sent = known.begin(OLD, "r", NOW)
    known.begin(NEW, "r", NOW)
    assert known.make_reports(NOW)[0].old_in_flight == 1
    known.end(sent, rollouts.Outcome.WHOLE, NOW + 0.1)
    report = known.make_reports(NOW)[0]
    assert report.old_in_flight == 0
    assert report.known_s == pytest.approx(1.0)


def test_stream_of_the_version_on_trial_goes_on_only_while_it_is_judged():
    known = make_known(ORDER)
    assert plan(known, is_bound=True) == [["v1"]]
    reply(known)
    assert plan(known, is_bound=True) == [["v1", "v2"]]
    assert plan(known, now=NOW + 60.0, is_bound=True) == [["v1"]]
    reply(known, NOW + 60.0, end=ROLLED_BACK.value)
    assert plan(known, now=NOW + 60.0, is_bound=True) == [["v1"]]


def test_host_that_starts_while_the_store_is_away_uses_the_old_version():
    known = rollouts.Rollouts("h1", rollouts.Limits(0.1, 50.0))
    known.record_upstreams([OLD, NEW], NOW)
    known.record_orders([ORDER], NOW)
    assert plan(known, confirmed_s=NOW - 10.0) == [["v1"]]


def test_version_whose_completion_this_host_missed_is_used_when_the_old_is_gone():
    known = make_known(ORDER)
    third = software_fleet.make_upstream(1, "v3")
    known.record_upstreams([NEW, third], NOW)
    later = rollouts.RolloutOrder("s", rollouts.RolloutId("s", "v3", 12), 16.0, 12)
    known.record_orders([later], NOW)
    request = rollouts.PlannedRequest("s", "r", "key")
    result = known.plan(request, [NEW, third], HOSTS, NOW, NOW)
    assert [[each.software_version for each in group] for group in result.groups] == [
        ["v2"]
    ]
