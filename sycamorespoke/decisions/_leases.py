"""Acquisition and renewal of leases by conditional writes and monotonic clocks.

A holder measures its lease from the time at which it sent its last renewal.
Another host measures it from the time at which it received the current version,
which is later, so that two hosts never hold the lease at the same time, however
slowly the platform responds.

A store that comes back from an older copy begins a new era. Nothing that was known of a
lease counts in it: its holder no longer holds it, and the next one waits until that
holder's lease has expired, whatever the copy says. Fencing numbers of an era are above
those of all earlier ones, of which no record may be left.
"""

import attrs

from sycamorespoke import domain
from sycamorespoke.decisions import _lease_state


def plan_lease_step(state, now):
    """Return the next action for a lease.

    Parameters
    ----------
    state : LeaseState
        Current state.
    now : float
        Current monotonic time, in seconds.

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
    if _lease_state.may_take_over(state, now):
        return _lease_state.LeaseAction.WRITE
    # A version that a watch fails to bring leads to a write that conflicts.
    is_due = (
        not state.is_watched and now - state.last_read_s >= _lease_state.READ_INTERVAL_S
    )
    return _lease_state.LeaseAction.READ if is_due else _lease_state.LeaseAction.WAIT


def make_lease_record(state):
    """Return the record to write, conditional on the version in ``state.seen``.

    Parameters
    ----------
    state : LeaseState
        Current state.

    Returns
    -------
    LeaseRecord
        Record with the current fencing number for a renewal, or the next one for a
        new holder.
    """
    previous = state.seen.record
    if state.held is not None:
        number = state.held.fencing_number
        renewal = previous.renewal + 1 if previous else 0
    else:
        number = 1 + max(state.highest_number, _compute_last_number(state))
        renewal = 0
    return _lease_state.LeaseRecord(
        state.holder, number, state.duration_s, renewal, era=state.era
    )


def enter_era(state, era, seen_s):
    """Return the state once an era of the store is known.

    Parameters
    ----------
    state : LeaseState
        Current state.
    era : int
        Era of the store; nothing changes unless it is newer than the known one.
    seen_s : float
        Time at which this process first knew it, in monotonic seconds.

    Returns
    -------
    LeaseState
        In a new era no lease is held, and none is known.
    """
    if era <= state.era:
        return state
    return attrs.evolve(
        state,
        era=era,
        era_seen_s=seen_s,
        seen=None,
        held=None,
        unresolved_write_s=None,
        must_read=False,
    )


def handle_lease_read(state, record, version, requested_s, now):
    """Return the state after a read of the lease.

    Parameters
    ----------
    state : LeaseState
        Current state.
    record : LeaseRecord or None
        Record that was read, ``None`` if the object does not exist.
    version : int
        Version of the object, with the number 0 if it does not exist.
    requested_s, now : float
        Times at which the read was sent and its response received, in monotonic
        seconds.

    Returns
    -------
    LeaseState
        Updated state.
    """
    state = _record_number(state, record)
    era = domain.get_era(version)
    if era < state.era:
        return attrs.evolve(state, last_read_s=requested_s)
    state = enter_era(state, era, now)
    state = attrs.evolve(state, last_read_s=requested_s, must_read=False)
    if state.seen is not None and version <= state.seen.version:
        if record is None and domain.get_number(state.seen.version) > 0:
            return _handle_missing_lease(state, now)
        # The version is unchanged, or the read is stale. A write whose result is
        # unknown may still take effect.
        return state
    seen = _lease_state.SeenLease(record, version, now)
    if version <= state.newest_version:
        # The object was missing in a read before. This version is older than one
        # that was received, so it does not show that a later write took effect.
        return attrs.evolve(state, seen=seen, held=None)
    held = None
    is_own = record is not None and record.holder == state.holder
    if is_own and record.era == state.era:
        held = _make_held_lease(state, record, now)
    return attrs.evolve(
        state, seen=seen, held=held, newest_version=version, unresolved_write_s=None
    )


def handle_lease_write(state, record, version, sent_s, now):
    """Return the state after a write of the lease that took effect.

    Parameters
    ----------
    state : LeaseState
        Current state.
    record : LeaseRecord
        Record that was written.
    version : int
        Version that the write created.
    sent_s, now : float
        Times at which the write was sent and its response received, in monotonic
        seconds.

    Returns
    -------
    LeaseState
        Updated state.
    """
    state = _record_number(state, record)
    era = domain.get_era(version)
    if era < state.era:
        return attrs.evolve(state, must_read=True)
    state = enter_era(state, era, now)
    held = None
    if record.holder == state.holder and record.era == era:
        acquired_s = _compute_acquired_s(state, sent_s, now)
        held = _lease_state.HeldLease(
            record.fencing_number, sent_s, acquired_s, record.duration_s
        )
    seen = _lease_state.SeenLease(record, version, now)
    newest_version = max(state.newest_version, version)
    return attrs.evolve(
        state,
        seen=seen,
        held=held,
        newest_version=newest_version,
        unresolved_write_s=None,
    )


def handle_lease_write_conflict(state):
    """Return the state after a write was rejected because the version had changed.

    Parameters
    ----------
    state : LeaseState
        Current state.

    Returns
    -------
    LeaseState
        State that requires a read next: the conflicting write may be an earlier one
        of this process.
    """
    return attrs.evolve(state, must_read=True)


def handle_uncertain_lease_write(state, sent_s):
    """Return the state after a write whose response was lost.

    Parameters
    ----------
    state : LeaseState
        Current state.
    sent_s : float
        Time at which the write was sent, in monotonic seconds.

    Returns
    -------
    LeaseState
        State that requires a read next.
    """
    earliest_s = (
        sent_s if state.unresolved_write_s is None else state.unresolved_write_s
    )
    return attrs.evolve(state, must_read=True, unresolved_write_s=earliest_s)


def _compute_last_number(state):
    """Return a number that no fencing number given out before is above.

    Each write of the lease raises its version, whatever its record says: one of an
    earlier era may be carried out late and replace that of a later holder.
    """
    if state.era == 0:
        return 0
    number = domain.get_number(state.seen.version)
    return state.era * _lease_state.NUMBERS_PER_ERA + number


def _record_number(state, record):
    number = record.fencing_number if record is not None else 0
    return attrs.evolve(state, highest_number=max(state.highest_number, number))


def _handle_missing_lease(state, now):
    # The object was deleted, or the read is stale. The last holder may still act on
    # its lease, so its record stays in force. It does not show that a write whose
    # result is unknown took effect, and this process no longer acts on its own lease.
    version = domain.make_revision(state.era, 0)
    seen = _lease_state.SeenLease(state.seen.record, version, now)
    return attrs.evolve(state, seen=seen, held=None)


def _make_held_lease(state, record, now):
    # It is unknown which of the writes without a response took effect; the earliest
    # one gives the shortest lease.
    if state.unresolved_write_s is None:
        return None
    acquired_s = _compute_acquired_s(state, state.unresolved_write_s, now)
    return _lease_state.HeldLease(
        record.fencing_number, state.unresolved_write_s, acquired_s, record.duration_s
    )


def _compute_acquired_s(state, sent_s, now):
    # A lease that had expired by its holder's clock counts as newly acquired: other
    # processes may have acted as if there were no holder.
    is_continued = _lease_state.is_held(state.held, sent_s)
    return state.held.acquired_s if is_continued else now
