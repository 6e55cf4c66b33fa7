"""Leases in a store that comes back from older copies of itself."""

import attrs
import pytest

from sycamorespoke import decisions, domain

DURATION_S = 3.0
HELD = decisions.LeaseRecord("a", 7, DURATION_S, era=1)
RELEASED = attrs.evolve(HELD, holder="")


def make_state(name, era, seen_s):
    state = decisions.LeaseState(name, duration_s=DURATION_S, is_watched=True)
    return decisions.enter_era(state, era, seen_s)


def read(state, record, era, number, now):
    version = domain.make_revision(era, number)
    return decisions.handle_lease_read(state, record, version, now, now)


def write(state, number, now):
    record = decisions.make_lease_record(state)
    version = domain.make_revision(state.era, number)
    return decisions.handle_lease_write(state, record, version, now, now)


@pytest.mark.parametrize("record", [HELD, RELEASED, None], ids=["held", "free", "none"])
def test_lease_of_an_older_copy_frees_nothing_for_a_full_duration(record):
    state = read(make_state("b", 2, 100.0), record, 2, 5 if record else 0, 100.0)
    action = decisions.plan_lease_step
    assert action(state, 100.0 + DURATION_S - 0.1) is decisions.LeaseAction.WAIT
    assert action(state, 100.0 + DURATION_S) is decisions.LeaseAction.WRITE


def test_lease_that_is_released_within_the_era_is_free_at_once():
    released = attrs.evolve(RELEASED, era=2)
    state = read(make_state("b", 2, 100.0), released, 2, 5, 101.0)
    assert decisions.plan_lease_step(state, 101.0) is decisions.LeaseAction.WRITE


def test_own_record_of_an_earlier_era_is_not_held_after_a_lost_response():
    state = read(make_state("a", 2, 100.0), None, 2, 0, 100.0)
    state = decisions.handle_uncertain_lease_write(state, 103.0)
    state = read(state, HELD, 2, 6, 103.2)
    assert not decisions.is_held(state.held, 103.2)
    state = decisions.handle_uncertain_lease_write(state, 106.3)
    state = read(state, attrs.evolve(HELD, era=2), 2, 7, 106.4)
    assert decisions.is_held(state.held, 106.4)


def test_late_write_of_an_earlier_era_does_not_give_a_number_out_again():
    first = read(make_state("b", 2, 100.0), None, 2, 0, 100.0)
    first = write(first, 50, 103.1)
    # The record of the earlier era replaces that of the holder, which c never sees.
    second = read(make_state("c", 2, 100.0), HELD, 2, 51, 103.5)
    assert decisions.plan_lease_step(second, 106.6) is decisions.LeaseAction.WRITE
    number = decisions.make_lease_record(second).fencing_number
    assert number > first.held.fencing_number


def test_numbers_of_an_era_are_above_those_of_the_eras_before():
    number = 0
    for era in (1, 2, 3):
        state = read(make_state("b", era, 100.0), None, era, 0, 100.0)
        state = write(state, 900_000, 104.0)
        assert state.held.fencing_number > number
        number = state.held.fencing_number
