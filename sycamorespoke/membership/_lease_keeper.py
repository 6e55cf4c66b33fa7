"""Acquisition and renewal of a lease that is stored in the platform."""

import time

import attrs
import msgspec
from loguru import logger

from sycamorespoke import clients, decisions


class LeaseKeeper:
    """Acquires and renews the lease of one shard; call `step` from one thread only.

    Parameters
    ----------
    shard : str
        Name of the shard; the lease is stored as ``leases/<shard>``.
    holder : str
        Name and boot ID of this process, so that a restarted process counts as
        another holder.
    platform : clients.PlatformClient
        Client of the platform that stores the lease.
    clock : callable, default=time.monotonic
        Returns the current monotonic time, in seconds.
    duration_s : float, default=6.0
        Duration of the lease after each renewal, in seconds.
    is_watched : bool, default=False
        Whether `observe` receives the versions of the lease.
    history : clients.StoreHistory or None, default=None
        What all responses of the platform show of its era; ``None`` if only the lease
        itself shows it.
    """

    def __init__(
        self,
        shard,
        holder,
        platform,
        clock=time.monotonic,
        duration_s=decisions.LEASE_DURATION_S,
        is_watched=False,
        history=None,
    ):
        self.shard = shard
        self.holder = holder
        self.platform = platform
        self.clock = clock
        self.duration_s = duration_s
        self.is_watched = is_watched
        self.history = history or clients.StoreHistory()
        self._state = self._make_state()

    @property
    def held(self):
        """The lease as last renewed; it may have expired, see `decisions.is_held`."""
        return self._state.held

    def is_held(self, now):
        """Return whether the lease is held; safe to call from any thread.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        bool
            Whether the lease is held at that time.
        """
        state = self._state
        return self.history.era <= state.era and decisions.is_held(state.held, now)

    @property
    def last_holder(self):
        """Holder in the newest known version of the lease, empty if there is none."""
        seen = self._state.seen
        return seen.record.holder if seen is not None and seen.record else ""

    @property
    def seen_version(self):
        """Newest known version of the lease object; 0 if none is known."""
        seen = self._state.seen
        return seen.version if seen is not None else 0

    @property
    def released(self):
        """The `decisions.SeenLease` of a release, ``None`` if there is a holder."""
        seen = self._state.seen
        if seen is None or seen.record is None or seen.record.holder:
            return None
        # In an older copy, a release may be one before the last holder.
        return seen if seen.record.era == self._state.era else None

    @property
    def unchanged_since_s(self):
        """When the newest known version was received; ``-inf`` if none was."""
        seen = self._state.seen
        return seen.first_seen_s if seen is not None else float("-inf")

    def observe(self, value, version, now):
        """Handle a version of the lease that was received from a watch.

        Parameters
        ----------
        value : object
            JSON value of the lease.
        version : int
            Version of the stored object.
        now : float
            Time of the receipt, in seconds of the clock.
        """
        record = _parse_record(value)
        if record is None:
            logger.error("the lease of {} is malformed", self.shard)
            return
        self._state = decisions.handle_lease_read(
            self._state, record, version, now, now
        )

    def step(self):
        """Read or write the lease once, if that is due."""
        self._state = decisions.enter_era(
            self._state, self.history.era, self.history.era_seen_s
        )
        action = decisions.plan_lease_step(self._state, self.clock())
        if action is decisions.LeaseAction.READ:
            self._read()
        elif action is decisions.LeaseAction.WRITE:
            self._write(decisions.make_lease_record(self._state))

    def discard(self):
        """Discard the lease, because another process was found to hold it."""
        self._state = attrs.evolve(
            self._make_state(),
            era=self._state.era,
            era_seen_s=self._state.era_seen_s,
            highest_number=self._state.highest_number,
        )

    def release(self, barred_s_by_name=None):
        """Release the lease for other processes; if that fails, the lease expires.

        Parameters
        ----------
        barred_s_by_name : dict of str to float or None, default=None
            Objects that the next holder must leave alone, see
            `decisions.LeaseRecord`.

        Returns
        -------
        bool
            Whether the release was confirmed.
        """
        if self._state.must_read:
            self._read()
        held = self._state.held
        if held is None:
            return False
        self._write(
            decisions.LeaseRecord(
                "",
                held.fencing_number,
                barred_s_by_name=barred_s_by_name or {},
                era=self._state.era,
            )
        )
        return self.released is not None

    def _make_state(self):
        return decisions.LeaseState(
            self.holder, duration_s=self.duration_s, is_watched=self.is_watched
        )

    def _read(self):
        requested_s = self.clock()
        response = self.platform.get(self._object_name())
        if isinstance(response, clients.Unavailable):
            return
        record, version = None, response.version
        if isinstance(response, clients.StoredObject):
            record = _parse_record(response.value)
            if record is None:
                logger.error("the lease of {} is malformed", self.shard)
                return
        self._state = decisions.handle_lease_read(
            self._state, record, version, requested_s, self.clock()
        )

    def _write(self, record):
        sent_s = self.clock()
        value = msgspec.to_builtins(record)
        version = self._state.seen.version
        response = self.platform.put(self._object_name(), value, version)
        if isinstance(response, clients.StoredObject):
            self._state = decisions.handle_lease_write(
                self._state, record, response.version, sent_s, self.clock()
            )
        elif isinstance(response, clients.Conflict | clients.Missing):
            self._state = decisions.handle_lease_write_conflict(self._state)
        elif isinstance(response, clients.Uncertain):
            self._state = decisions.handle_uncertain_lease_write(self._state, sent_s)

    def _object_name(self):
        return f"leases/{self.shard}"


def _parse_record(value):
    try:
        return msgspec.convert(value, decisions.LeaseRecord)
    except msgspec.ValidationError:
        return None
