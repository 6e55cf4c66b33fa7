"""Leases: who holds a shard, by conditional updates and monotonic clocks.

A holder counts its lease from the sending of its last renewal. Another host
counts from when it received the version that has not changed since, which is
later, so that the two never hold the lease at the same time, however slow the
platform's answers are.
"""

import attrs

from sycamorespoke.decisions import _lease_state


def plan_lease_step(state, now):
    """Decide what to do next for a lease.

    Parameters
    ----------
    state : LeaseState
        What is known.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    LeaseAction
        Read it, write it (acquire or renew, see `make_lease_record`), or wait.
    """
    if state.seen is None or state.must_read:
        return _lease_state.LeaseAction.READ
    if state.held is not None:
        is_due = now - state.held.sent_s >= state.renew_interval_s
        return (
            _lease_state.LeaseAction.WRITE if is_due else _lease_state.LeaseAction.WAIT
        )
    if _lease_state.may_acquire(state.seen, now):
        return _lease_state.LeaseAction.WRITE
    is_due = now - state.last_read_s >= _lease_state.READ_INTERVAL_S
    return _lease_state.LeaseAction.READ if is_due else _lease_state.LeaseAction.WAIT


def make_lease_record(state):
    """Make the record to write, under the version that `state.seen` names.

    Parameters
    ----------
    state : LeaseState
        What is known.

    Returns
    -------
    LeaseRecord
        With the same fencing number for a renewal, the next for a new holder.
    """
    former = state.seen.record
    if state.held is not None:
        number = state.held.fencing_number
        renewal = former.renewal + 1 if former else 0
    else:
        number = former.fencing_number + 1 if former else 1
        renewal = 0
    return _lease_state.LeaseRecord(state.holder, number, state.duration_s, renewal)


def handle_lease_read(state, record, version, asked_s, now):
    """Take the answer to a read.

    Parameters
    ----------
    state : LeaseState
        What was known.
    record : LeaseRecord or None
        ``None`` if there is no such object.
    version : int
        Its version, 0 if there is no such object.
    asked_s, now : float
        When it was asked for and received, seconds of the monotonic clock.

    Returns
    -------
    LeaseState
        What is known now.
    """
    state = attrs.evolve(state, last_read_s=asked_s, must_read=False)
    if state.seen is not None:
        if record is None and state.seen.version > 0:
            # Deleted: the last holder may still act on it.
            record = state.seen.record
        elif version <= state.seen.version:
            # Nothing new, or a stale read. A write without an answer may still come.
            return state
    held = None
    if record is not None and record.holder == state.holder:
        held = _hold(state, record, now)
    seen = _lease_state.SeenLease(record, version, now)
    return attrs.evolve(state, seen=seen, held=held, unresolved_write_s=None)


def handle_lease_write(state, record, version, sent_s, now):
    """Take the answer to a write that took effect.

    Parameters
    ----------
    state : LeaseState
        What was known.
    record : LeaseRecord
        What was written.
    version : int
        Version that it got.
    sent_s, now : float
        When it was sent and answered, seconds of the monotonic clock.

    Returns
    -------
    LeaseState
        What is known now.
    """
    held = None
    if record.holder == state.holder:
        acquired_s = _continue_or_start(state, sent_s, now)
        held = _lease_state.HeldLease(
            record.fencing_number, sent_s, acquired_s, record.duration_s
        )
    seen = _lease_state.SeenLease(record, version, now)
    return attrs.evolve(state, seen=seen, held=held, unresolved_write_s=None)


def handle_lease_write_conflict(state):
    """Take the answer that a write had no effect, as the version had changed.

    Parameters
    ----------
    state : LeaseState
        What was known.

    Returns
    -------
    LeaseState
        Says to read next: the other writer may be an earlier write of our own.
    """
    return attrs.evolve(state, must_read=True)


def handle_uncertain_lease_write(state, sent_s):
    """Take it that the answer to a write was lost.

    Parameters
    ----------
    state : LeaseState
        What was known.
    sent_s : float
        When the write was sent, seconds of the monotonic clock.

    Returns
    -------
    LeaseState
        Says to read next.
    """
    earliest_s = (
        sent_s if state.unresolved_write_s is None else state.unresolved_write_s
    )
    return attrs.evolve(state, must_read=True, unresolved_write_s=earliest_s)


def _hold(state, record, now):
    # Which of the writes without an answer took effect is unknown: the earliest
    # gives the shortest lease.
    if state.unresolved_write_s is None:
        return None
    acquired_s = _continue_or_start(state, state.unresolved_write_s, now)
    return _lease_state.HeldLease(
        record.fencing_number, state.unresolved_write_s, acquired_s, record.duration_s
    )


def _continue_or_start(state, sent_s, now):
    # A lease that had lapsed by its holder's clock begins anew: others may have
    # acted as if there were no holder.
    is_continued = _lease_state.is_held(state.held, sent_s)
    return state.held.acquired_s if is_continued else now
