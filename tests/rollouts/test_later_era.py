"""Orders of software versions after the store came back from an older copy."""

import attrs
import msgspec
import pytest

from sycamorespoke import clients, domain, rollouts
from sycamorespoke.rollouts import _known_rollouts
from tests.rollouts import test_rollouts

NOW = test_rollouts.NOW
ROLLED_BACK = rollouts.RolloutState.ROLLED_BACK
COMPLETED = rollouts.RolloutState.COMPLETED


def make_order(number, era=0, version="v2", state=None, revision=None, name="s"):
    created = domain.make_revision(era, number)
    rollout_id = rollouts.RolloutId("s", version, created)
    revision = domain.make_revision(era, revision or number)
    return rollouts.RolloutOrder(name, rollout_id, 16.0, revision, state)


def record(known, *orders):
    known.record_orders(orders, NOW)


@pytest.mark.parametrize("number", [3, 5, 8])
@pytest.mark.parametrize("end", [ROLLED_BACK, COMPLETED])
def test_ended_rollout_does_not_begin_anew(end, number):
    known = test_rollouts.make_known(make_order(5))
    record(known, make_order(5, state=end, revision=9))
    again = make_order(number, era=1)
    record(known, again)
    expected = [["v1"]] if end is ROLLED_BACK else [["v2"], ["v1"]]
    assert test_rollouts.plan(known) == expected
    assert known.list_pending() == [again]
    assert known.get_end(again.id) is end
    # A host that still knows the earlier era is told the end.
    assert known.get_end(make_order(5).id) is end


def test_rollout_goes_on_with_its_evidence_and_age():
    known = test_rollouts.make_known(make_order(5))
    test_rollouts.reply(known, is_moving=True, fraction=0.4)
    sent = known.begin(test_rollouts.NEW, "r", NOW)
    known.end(sent, rollouts.Outcome.WHOLE, NOW + 0.1)
    before = known.make_reports(NOW + 1.0)
    again = make_order(8, era=1)
    record(known, again)
    after = known.make_reports(NOW + 1.0)
    assert after[0].created == again.id.created
    after = [msgspec.structs.replace(after[0], created=before[0].created)]
    assert after == before
    assert before[0].fraction == 0.4
    assert before[0].tallies


def test_order_that_is_created_again_within_an_era_is_a_new_one():
    known = test_rollouts.make_known(make_order(5, state=ROLLED_BACK, revision=9))
    record(known, make_order(12))
    assert known.get_end(make_order(12).id) is None
    record(known, make_order(4, era=1))
    record(known, make_order(7, era=1, state=COMPLETED, revision=8))
    record(known, make_order(9, era=1))
    assert known.get_end(make_order(4, era=1).id) is None
    assert known.get_end(make_order(9, era=1).id) is None


def test_order_of_the_copy_does_not_replace_a_later_one_that_it_lacks():
    completed = make_order(5, state=COMPLETED, revision=9)
    known = test_rollouts.make_known(completed)
    later = make_order(12, version="v3")
    record(known, later)
    copied = make_order(5, era=1, state=COMPLETED, revision=9)
    for _ in range(2):
        record(known, copied)
        assert known.list_pending() == [later]
    again = make_order(10, era=1, version="v3")
    record(known, again, copied)
    assert known.list_pending() == [again]


def test_new_order_for_a_version_that_an_object_held_long_before_is_a_new_one():
    known = test_rollouts.make_known(make_order(5, state=ROLLED_BACK, revision=9))
    record(known, make_order(12, version="v3", state=COMPLETED, revision=20))
    record(known, make_order(12, era=1, version="v3", state=COMPLETED, revision=20))
    again = make_order(40, era=1)
    record(known, again)
    assert known.list_pending() == [again]
    assert known.get_end(again.id) is None


def test_late_page_of_the_earlier_era_changes_nothing():
    known = test_rollouts.make_known(make_order(5, state=ROLLED_BACK, revision=9))
    again = make_order(8, era=1)
    record(known, again)
    record(known, attrs.evolve(make_order(5), revision=11))
    assert known.list_pending() == [again]
    assert known.get_end(again.id) is ROLLED_BACK


def make_with_history(*orders):
    history = clients.StoreHistory()
    history.record_era(0, NOW - 60.0)
    return history, test_rollouts.make_known(*orders, history=history)


def test_new_order_after_one_that_was_deleted_in_an_earlier_era_is_a_new_one():
    ended = make_order(5, state=ROLLED_BACK, revision=9)
    history, known = make_with_history(ended)
    record(known)
    history.record_era(1, NOW)
    record(known)
    again = make_order(400, era=1)
    known.record_orders([again], NOW + 86400.0)
    assert known.list_pending() == [again]
    assert known.get_end(again.id) is None


@pytest.mark.parametrize("is_relisted", [False, True])
def test_order_that_was_unreadable_as_the_store_went_is_not_a_new_one(is_relisted):
    ended = make_order(5, state=ROLLED_BACK, revision=9)
    history, known = make_with_history(ended)
    record(known)
    if is_relisted:
        record(known, ended)
    history.record_era(1, NOW)
    again = make_order(8, era=1)
    after_s = 0.0 if is_relisted else _known_rollouts.WRITTEN_AGAIN_S
    known.record_orders([again], NOW + after_s)
    assert known.get_end(again.id) is ROLLED_BACK


def test_order_that_only_the_copy_lacked_is_not_a_new_one():
    history, known = make_with_history(make_order(5, state=ROLLED_BACK, revision=9))
    history.record_era(1, NOW)
    record(known)
    again = make_order(8, era=1)
    known.record_orders([again], NOW + 2.0 * _known_rollouts.WRITTEN_AGAIN_S)
    assert known.get_end(again.id) is ROLLED_BACK


def test_state_that_is_written_to_one_order_removes_no_other_from_the_list():
    ended = make_order(5, state=ROLLED_BACK, revision=9)
    other = rollouts.RolloutId("t", "v7", 6)
    other = rollouts.RolloutOrder("t", other, 16.0, 6)
    history, known = make_with_history(ended, other)
    known.record_order(attrs.evolve(other, state=COMPLETED, revision=10), NOW)
    history.record_era(1, NOW)
    again = make_order(8, era=1)
    known.record_orders([again], NOW + 2.0 * _known_rollouts.WRITTEN_AGAIN_S)
    assert known.get_end(again.id) is ROLLED_BACK
