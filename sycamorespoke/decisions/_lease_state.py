"""State of a lease as seen by one process, and checks for its expiry."""

import enum

import attrs

LEASE_DURATION_S = 6.0
# More than the changes of the store that a return from an older copy can lose.
NUMBERS_PER_ERA = 10_000_000
# Fraction of its duration after which a lease is renewed.
RENEW_RATIO = 1 / 3
RENEW_INTERVAL_S = LEASE_DURATION_S * RENEW_RATIO
# Fraction of its duration for which the holder acts on a lease. The margin covers
# clocks that run at slightly different rates.
HOLDER_VALIDITY_RATIO = 0.9
READ_INTERVAL_S = 1.0


@attrs.frozen
class LeaseRecord:
    """A lease as stored in the platform.

    Parameters
    ----------
    holder : str
        Name and boot ID of the holder; empty after a release.
    fencing_number : int
        Increases with each change of holder, above 0.
    duration_s : float, default=6.0
        Seconds for which a renewal is valid, above 0.
    renewal : int, default=0
        Increases with each renewal, since a platform may ignore a write that
        changes nothing and not report it to watches.
    era : int, default=0
        Era of the store in which the holder wrote it. In a later one, the record is
        that of an older copy.
    barred_s_by_name : dict of str to float
        Objects that the next holder must not act on for the given number of seconds
        after a release, since the last holder acted on them shortly before.
    """

    holder: str
    fencing_number: int
    duration_s: float = LEASE_DURATION_S
    renewal: int = 0
    barred_s_by_name: dict[str, float] = attrs.field(factory=dict, hash=False)
    era: int = 0


@attrs.frozen
class SeenLease:
    """The latest version of the lease object and when it was first received.

    Parameters
    ----------
    record : LeaseRecord or None
        ``None`` if the object does not exist.
    version : int
        Version assigned by the platform, 0 if the object does not exist.
    first_seen_s : float
        Time at which this version was first received, in monotonic seconds.
    """

    record: LeaseRecord | None
    version: int
    first_seen_s: float


@attrs.frozen
class HeldLease:
    """A lease that this process holds or has held.

    Parameters
    ----------
    fencing_number : int
        Sent with every order under this lease.
    sent_s : float
        Time at which the last renewal was sent, in monotonic seconds.
    acquired_s : float
        Time at which the acquisition was confirmed, in monotonic seconds.
    duration_s : float, default=6.0
        Seconds for which a renewal is valid.
    """

    fencing_number: int
    sent_s: float
    acquired_s: float
    duration_s: float = LEASE_DURATION_S


class LeaseAction(enum.Enum):
    """Next action for a lease."""

    READ = "read"
    WRITE = "write"
    WAIT = "wait"


@attrs.frozen
class LeaseState:
    """Immutable state of one lease as seen by this process.

    Parameters
    ----------
    holder : str
        Name and boot ID of this process.
    seen : SeenLease or None, default=None
        Latest version received.
    newest_version : int, default=0
        Highest version received. It is above that of ``seen`` after a read in which
        the object was missing.
    held : HeldLease or None, default=None
        Lease of this process, if it holds or has held it.
    unresolved_write_s : float or None, default=None
        Time at which the earliest write whose result is still unknown was sent, in
        monotonic seconds.
    last_read_s : float, default=-inf
        Time at which the last read was sent, in monotonic seconds.
    must_read : bool, default=False
        Whether the result of a write can only be determined by a read.
    duration_s : float, default=6.0
        Seconds for which a renewal by this process is valid.
    is_watched : bool, default=False
        Whether new versions are received from a watch, so that the lease is read only
        if none has been received or the result of a write is unknown.
    highest_number : int, default=0
        Highest fencing number of any record received. The next one is above it, also
        if no record is left.
    era : int, default=0
        Newest known era of the store. What is known of the lease is of this era.
    era_seen_s : float, default=-inf
        Time at which this process first knew the era, in monotonic seconds.
    """

    holder: str
    seen: SeenLease | None = None
    newest_version: int = 0
    held: HeldLease | None = None
    unresolved_write_s: float | None = None
    last_read_s: float = float("-inf")
    must_read: bool = False
    duration_s: float = LEASE_DURATION_S
    is_watched: bool = False
    highest_number: int = 0
    era: int = 0
    era_seen_s: float = float("-inf")

    @property
    def renew_interval_s(self):
        """Interval between renewals by this process, in seconds."""
        return self.duration_s * RENEW_RATIO


def is_held(held, now):
    """Return whether a lease may still be acted on.

    Parameters
    ----------
    held : HeldLease or None
        Lease of this process.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether less than nine tenths of the duration have passed since the last
        renewal was sent.

    Examples
    --------
    >>> lease = HeldLease(fencing_number=1, sent_s=10.0, acquired_s=10.0)
    >>> is_held(lease, 15.0), is_held(lease, 15.5), is_held(None, 0.0)
    (True, False, False)
    """
    return (
        held is not None and now - held.sent_s < HOLDER_VALIDITY_RATIO * held.duration_s
    )


def may_acquire(seen, now):
    """Return whether a lease is free or has expired.

    Parameters
    ----------
    seen : SeenLease
        Latest version received.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether there is no holder, or the version has been unchanged for the full
        duration on this process's own clock.
    """
    if seen.record is None or not seen.record.holder:
        return True
    return now - seen.first_seen_s >= seen.record.duration_s


def may_take_over(state, now):
    """Return whether a process may acquire a lease.

    What an older copy of the store holds of a lease does not show who held it last, nor
    whether that holder still acts on it. If it does, its lease expires within the full
    duration after the era has begun.

    Parameters
    ----------
    state : LeaseState
        Current state, with a version received.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    bool
        Whether no other process can hold the lease.
    """
    seen = state.seen
    is_of_era = seen.record is not None and seen.record.era == state.era
    if is_of_era or state.era == 0:
        return may_acquire(seen, now)
    if seen.record is None:
        return now - state.era_seen_s >= state.duration_s
    duration_s = max(seen.record.duration_s, state.duration_s)
    return now - max(seen.first_seen_s, state.era_seen_s) >= duration_s
