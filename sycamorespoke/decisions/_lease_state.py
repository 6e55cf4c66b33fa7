"""What a process knows of a lease, and whether it has lapsed."""

import enum

import attrs

LEASE_DURATION_S = 6.0
# Share of its duration after which a lease is renewed.
RENEW_RATIO = 1 / 3
RENEW_INTERVAL_S = LEASE_DURATION_S * RENEW_RATIO
# Covers clocks that run at slightly different rates.
HOLDER_VALIDITY_RATIO = 0.9
READ_INTERVAL_S = 1.0


@attrs.frozen
class LeaseRecord:
    """A lease as the platform holds it.

    Parameters
    ----------
    holder : str
        Name and boot id of the holder; empty once it was released.
    fencing_number : int
        Increases with each change of the holder, above 0.
    duration_s : float, default=6.0
        Seconds for which a renewal counts, above 0.
    renewal : int, default=0
        Increases with each renewal: a platform may take a write that changes
        nothing for none, and tell nobody of it.
    """

    holder: str
    fencing_number: int
    duration_s: float = LEASE_DURATION_S
    renewal: int = 0


@attrs.frozen
class SeenLease:
    """A version of the lease object and since when it has been unchanged.

    Parameters
    ----------
    record : LeaseRecord or None
        ``None`` if there is no such object.
    version : int
        Version of the platform, 0 if there is no such object.
    first_seen_s : float
        When this version was first received, seconds of the monotonic clock.
    """

    record: LeaseRecord | None
    version: int
    first_seen_s: float


@attrs.frozen
class HeldLease:
    """A lease that this process holds, or held.

    Parameters
    ----------
    fencing_number : int
        Goes with every order under this lease.
    sent_s : float
        When its last renewal was sent, seconds of the monotonic clock.
    acquired_s : float
        When it was known to be acquired, seconds of the monotonic clock.
    duration_s : float, default=6.0
        Seconds for which a renewal counts.
    """

    fencing_number: int
    sent_s: float
    acquired_s: float
    duration_s: float = LEASE_DURATION_S


class LeaseAction(enum.Enum):
    """What to do next for a lease."""

    READ = "read"
    WRITE = "write"
    WAIT = "wait"


@attrs.frozen
class LeaseState:
    """What a process knows of one lease; each step makes a new one.

    Parameters
    ----------
    holder : str
        Name and boot id of this process.
    seen : SeenLease or None, default=None
        The latest version known.
    held : HeldLease or None, default=None
        The lease if this process holds it.
    unresolved_write_s : float or None, default=None
        When the earliest write was sent whose outcome is still unknown.
    last_read_s : float, default=-inf
        When the platform was last asked for the object.
    must_read : bool, default=False
        A write failed in a way that only a read explains.
    duration_s : float, default=6.0
        Seconds for which a renewal of this process counts.
    """

    holder: str
    seen: SeenLease | None = None
    held: HeldLease | None = None
    unresolved_write_s: float | None = None
    last_read_s: float = float("-inf")
    must_read: bool = False
    duration_s: float = LEASE_DURATION_S

    @property
    def renew_interval_s(self):
        """Seconds after which this process renews its lease."""
        return self.duration_s * RENEW_RATIO


def is_held(held, now):
    """Decide whether a lease may still be acted on.

    Parameters
    ----------
    held : HeldLease or None
        The lease.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        Less than nine tenths of its duration have passed since the sending of
        the last renewal.

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
    """Decide whether a lease of another holder has lapsed.

    Parameters
    ----------
    seen : SeenLease
        The latest version known.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    bool
        There is no holder, or its version has been unchanged for the full
        duration on this process's own clock.
    """
    if seen.record is None or not seen.record.holder:
        return True
    return now - seen.first_seen_s >= seen.record.duration_s
