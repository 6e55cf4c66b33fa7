"""Lease renewal, which must work on platforms that ignore unchanged writes."""

from sycamorespoke import decisions

DURATION_S = 3.0


def acquire(now):
    state = decisions.LeaseState("a", duration_s=DURATION_S)
    state = decisions.handle_lease_read(state, None, 0, now, now)
    return decisions.handle_lease_write(
        state, decisions.make_lease_record(state), 1, now, now
    )


def test_each_renewal_changes_the_record():
    state = acquire(now=0.0)
    records = [state.seen.record]
    for number in range(2, 5):
        record = decisions.make_lease_record(state)
        records.append(record)
        state = decisions.handle_lease_write(state, record, number, number, number)
    assert len(set(records)) == len(records)
    assert {record.fencing_number for record in records} == {1}
    assert {record.duration_s for record in records} == {DURATION_S}


def test_plan_lease_step_renews_after_a_third_of_the_duration():
    state = acquire(now=0.0)
    assert decisions.plan_lease_step(state, 0.9) is decisions.LeaseAction.WAIT
    assert decisions.plan_lease_step(state, 1.0) is decisions.LeaseAction.WRITE


def test_renewed_lease_is_free_only_after_its_full_duration():
    mine = acquire(now=0.0)
    other = decisions.LeaseState("b", duration_s=DURATION_S)
    other = decisions.handle_lease_read(other, mine.seen.record, 1, 0.0, 0.0)
    renewed = decisions.make_lease_record(mine)
    other = decisions.handle_lease_read(other, renewed, 2, 2.0, 2.0)
    assert decisions.plan_lease_step(other, 4.9) is not decisions.LeaseAction.WRITE
    assert decisions.plan_lease_step(other, 5.0) is decisions.LeaseAction.WRITE
