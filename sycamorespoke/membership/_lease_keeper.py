"""Acquires and renews one lease in the platform."""

import time

import msgspec
from loguru import logger

from sycamorespoke import clients, decisions


class LeaseKeeper:
    """Acquire and renew the lease of one shard; one thread calls `step`.

    Parameters
    ----------
    shard : str
        Name of the shard; the object is ``leases/<shard>``.
    holder : str
        Name and boot id of this process, so that a restarted one is another.
    platform : clients.PlatformClient
        The platform.
    clock : callable, default=time.monotonic
        Returns the present time, seconds.
    duration_s : float, default=6.0
        Time for which a renewal counts, seconds.
    """

    def __init__(
        self,
        shard,
        holder,
        platform,
        clock=time.monotonic,
        duration_s=decisions.LEASE_DURATION_S,
    ):
        self.shard = shard
        self.holder = holder
        self.platform = platform
        self.clock = clock
        self.duration_s = duration_s
        self._state = decisions.LeaseState(holder, duration_s=duration_s)

    @property
    def held(self):
        """The lease as last renewed; `decisions.is_held` says if it counts."""
        return self._state.held

    def is_held(self, now):
        """Decide whether the lease may be acted on; safe from any thread.

        Parameters
        ----------
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        bool
            It is held at that time.
        """
        return decisions.is_held(self._state.held, now)

    @property
    def last_holder(self):
        """Holder that the newest version names; empty if there is none."""
        seen = self._state.seen
        return seen.record.holder if seen is not None and seen.record else ""

    def observe(self, value, version, now):
        """Take a version of the lease that was received without asking.

        Parameters
        ----------
        value : object
            JSON value of the lease.
        version : int
            Its version.
        now : float
            When it was received, seconds of the clock.
        """
        record = _parse(value)
        if record is None:
            logger.error("the lease of {} is malformed", self.shard)
            return
        self._state = decisions.handle_lease_read(
            self._state, record, version, now, now
        )

    def step(self):
        """Read or write the lease once, if it is time."""
        action = decisions.plan_lease_step(self._state, self.clock())
        if action is decisions.LeaseAction.READ:
            self._read()
        elif action is decisions.LeaseAction.WRITE:
            self._write(decisions.make_lease_record(self._state))

    def discard(self):
        """Act on the lease no more; another process was found to hold it."""
        self._state = decisions.LeaseState(self.holder, duration_s=self.duration_s)

    def release(self):
        """Let another process take the lease at once; a failure lets it lapse."""
        held = self._state.held
        if held is not None:
            self._write(decisions.LeaseRecord("", held.fencing_number))

    def _read(self):
        asked_s = self.clock()
        answer = self.platform.get(self._object_name())
        if isinstance(answer, clients.Unavailable):
            return
        record, version = None, 0
        if isinstance(answer, clients.StoredObject):
            record, version = _parse(answer.value), answer.version
            if record is None:
                logger.error("the lease of {} is malformed", self.shard)
                return
        self._state = decisions.handle_lease_read(
            self._state, record, version, asked_s, self.clock()
        )

    def _write(self, record):
        sent_s = self.clock()
        value = msgspec.to_builtins(record)
        version = self._state.seen.version
        answer = self.platform.put(self._object_name(), value, version)
        if isinstance(answer, clients.StoredObject):
            self._state = decisions.handle_lease_write(
                self._state, record, answer.version, sent_s, self.clock()
            )
        elif isinstance(answer, clients.Conflict | clients.Missing):
            self._state = decisions.handle_lease_write_conflict(self._state)
        elif isinstance(answer, clients.Uncertain):
            self._state = decisions.handle_uncertain_lease_write(self._state, sent_s)

    def _object_name(self):
        return f"leases/{self.shard}"


def _parse(value):
    try:
        return msgspec.convert(value, decisions.LeaseRecord)
    except msgspec.ValidationError:
        return None
