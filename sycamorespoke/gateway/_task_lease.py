"""Leases of tasks that one host at a time performs for the whole deployment."""

import loguru

from sycamorespoke import decisions, domain, membership

# A holder that has not renewed the lease for this fraction of its duration is late.
LATE_RATIO = 0.5
MS_PER_S = 1000
LOG_INTERVAL_S = 1.0


class TaskLease:
    """Lease of a task, acquired only while there is work; used by one thread.

    Parameters
    ----------
    name : str
        Name of the lease.
    host : str
        Name of this host.
    views : Views
        Current view, which lists the entry hosts.
    leases : object
        Has ``get(name)`` and ``put(name, value, version)``.
    read_clock : callable
        Returns seconds of the boot clock.
    lease_s : float
        Time after which a lease that is not renewed expires, seconds.
    history : clients.StoreHistory or None, default=None
        What all responses of the store show of its era.
    """

    def __init__(self, name, host, views, leases, read_clock, lease_s, history=None):
        self.name = name
        self.host = host
        self.views = views
        self.read_clock = read_clock
        self.keeper = membership.LeaseKeeper(
            name,
            host,
            leases,
            read_clock,
            lease_s,
            is_watched=True,
            history=history,
        )
        self._work_since_s = None
        self._was_held = False
        self._release_at_s = None
        self._released_number = 0
        self._barred_until_s_by_name = {}
        self._logged_s = float("-inf")

    @property
    def fencing_number(self):
        """Fencing number of the lease when last held; 0 if it never was."""
        return self.keeper.held.fencing_number if self.keeper.held else 0

    def observe(self, update):
        """Handle a `LeaseUpdate` that a watch received."""
        self.keeper.observe(update.value, update.version, self.read_clock())
        self._record_bars()

    def set_idle(self):
        """Record that there is no work; a held lease is left to expire."""
        self._work_since_s = None

    def set_stopping(self, release_at_s):
        """Record that this host stops.

        Parameters
        ----------
        release_at_s : float
            When to hand the task over even if no other host is registered, seconds of
            the boot clock.
        """
        self._release_at_s = release_at_s

    def must_hand_over(self, now):
        """Return whether other hosts are to perform the task from ``now`` on.

        A host that stops leaves the task to the others. If none is registered, it
        performs the task until its process is about to end.
        """
        if self._release_at_s is None:
            return False
        others = self.views.get().hosts - {self.host}
        return bool(others) or now >= self._release_at_s

    def try_acquire(self, work_id, now):
        """Acquire or renew the lease.

        While another host does not hold the lease, the hosts wait for different
        times before they try, so that they do not compete for it.

        Parameters
        ----------
        work_id : str
            Identifies the pending work. The order in which hosts try depends on it.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether this host holds the lease.
        """
        if self._work_since_s is None:
            self._work_since_s = now
        if not self.keeper.is_held(now):
            self._log_waiting(now)
            acquire_delay_s = decisions.compute_acquire_delay_s(
                self.host,
                self.views.get().hosts,
                self.keeper.last_holder,
                f"{self.name} {work_id}",
            )
            if now - self._compute_free_since_s() < acquire_delay_s:
                return False
        self._step()
        return self.is_held()

    def renew(self):
        """Renew the lease if it is held and that is due."""
        if self.is_held():
            self._step()

    def release(self, acted_s_by_name, now):
        """Hand the task over to the other hosts.

        From the call on, this host does not hold the lease, whether or not the release
        is confirmed. It may acquire the lease again later, with a new fencing number.

        Parameters
        ----------
        acted_s_by_name : dict of str to float
            When this host last acted on each object, seconds of the boot clock.
        now : float
            Current time, seconds of the boot clock.
        """
        if not self.is_held():
            return
        number = self.fencing_number
        self._released_number = number
        is_done = self.keeper.release(self._compute_bars(acted_s_by_name, now))
        if not is_done:
            # It is unknown whether the lease is free; only reads show it.
            self.keeper.discard()
        self._was_held = False
        loguru.logger.bind(lease=self.name, fencing_number=number, done=is_done).info(
            "lease released"
        )

    def is_release_pending(self):
        """Return whether the stored lease still names this host and is in force."""
        return self.keeper.is_held(self.read_clock())

    def is_held(self):
        """Return whether this host holds the lease now; safe from any thread."""
        if not self.keeper.is_held(self.read_clock()):
            return False
        return self.fencing_number > self._released_number

    def list_barred(self, now):
        """Return the objects that must not be acted on, as a set.

        The last holder acted on them less than the duration of a lease before ``now``.
        """
        return {
            name
            for name, until_s in self._barred_until_s_by_name.items()
            if now < until_s
        }

    def get_holder(self):
        """Return the name of the host that last held the lease, as far as known."""
        return self.keeper.last_holder

    def discard(self):
        """Stop using the lease because another host was found to hold it."""
        self.keeper.discard()

    def _step(self):
        self._record_bars()
        self.keeper.step()
        self._record_bars()
        is_held = self.is_held()
        if is_held != self._was_held:
            self._was_held = is_held
            event = "lease acquired" if is_held else "lease lost"
            loguru.logger.bind(
                lease=self.name,
                fencing_number=self.fencing_number,
                era=domain.get_era(self.keeper.seen_version),
                number=domain.get_number(self.keeper.seen_version),
                last_holder=self.keeper.last_holder,
            ).info(event)

    def _log_waiting(self, now):
        """Log that, as far as this host knows, no host performs the task."""
        idle_since_s = max(self._work_since_s, self.keeper.unchanged_since_s)
        is_late = now - idle_since_s >= LATE_RATIO * self.keeper.duration_s
        if not is_late or now - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now
        loguru.logger.bind(
            lease=self.name,
            holder=self.keeper.last_holder,
            idle_ms=int((now - idle_since_s) * MS_PER_S),
            pending_ms=int((now - self._work_since_s) * MS_PER_S),
        ).info("waiting for the lease")

    def _compute_free_since_s(self):
        released = self.keeper.released
        if released is None:
            return self._work_since_s
        return max(self._work_since_s, released.first_seen_s)

    def _record_bars(self):
        """Remember what the last holder barred; a release is overwritten later."""
        released = self.keeper.released
        if released is None:
            return
        for name, barred_s in released.record.barred_s_by_name.items():
            self._barred_until_s_by_name[name] = released.first_seen_s + barred_s

    def _compute_bars(self, acted_s_by_name, now):
        until_s_by_name = dict(self._barred_until_s_by_name)
        for name, acted_s in acted_s_by_name.items():
            until_s = acted_s + self.keeper.duration_s
            until_s_by_name[name] = max(until_s_by_name.get(name, until_s), until_s)
        return {
            name: round(until_s - now, 3)
            for name, until_s in until_s_by_name.items()
            if until_s > now
        }
