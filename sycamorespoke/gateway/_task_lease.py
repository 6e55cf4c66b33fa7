"""Leases of tasks that one host at a time performs for the whole deployment."""

import loguru

from sycamorespoke import decisions, membership


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
    """

    def __init__(self, name, host, views, leases, read_clock, lease_s):
        self.name = name
        self.host = host
        self.views = views
        self.read_clock = read_clock
        self.keeper = membership.LeaseKeeper(
            name, host, leases, read_clock, lease_s, is_watched=True
        )
        self._work_since_s = None
        self._was_held = False

    @property
    def fencing_number(self):
        """Fencing number of the lease when last held; 0 if it never was."""
        return self.keeper.held.fencing_number if self.keeper.held else 0

    def observe(self, update):
        """Handle a `LeaseUpdate` that a watch received."""
        self.keeper.observe(update.value, update.version, self.read_clock())

    def set_idle(self):
        """Record that there is no work; a held lease is left to expire."""
        self._work_since_s = None

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
            acquire_delay_s = decisions.compute_acquire_delay_s(
                self.host,
                self.views.get().hosts,
                self.keeper.last_holder,
                f"{self.name} {work_id}",
            )
            if now - self._work_since_s < acquire_delay_s:
                return False
        self.keeper.step()
        is_held = self.is_held()
        if is_held != self._was_held:
            self._was_held = is_held
            event = "lease acquired" if is_held else "lease lost"
            loguru.logger.bind(
                lease=self.name, fencing_number=self.fencing_number
            ).info(event)
        return is_held

    def is_held(self):
        """Return whether this host holds the lease now; safe from any thread."""
        return self.keeper.is_held(self.read_clock())

    def discard(self):
        """Stop using the lease because another host was found to hold it."""
        self.keeper.discard()
