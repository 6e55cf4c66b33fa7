"""Work that one host does for all, under a lease taken only when there is some."""

import loguru

from sycamorespoke import decisions, membership


class TaskLease:
    """The right of this host to do one kind of work; one thread uses it.

    Parameters
    ----------
    name : str
        Name of the lease.
    host : str
        Name of this host.
    views : Views
        What this host believes; it lists the other hosts.
    leases : object
        Has ``get(name)`` and ``put(name, value, version)``.
    read_clock : callable
        Returns seconds of the boot clock.
    lease_s : float
        Time for which the lease counts, seconds.
    """

    def __init__(self, name, host, views, leases, read_clock, lease_s):
        self.name = name
        self.host = host
        self.views = views
        self.read_clock = read_clock
        self.keeper = membership.LeaseKeeper(name, host, leases, read_clock, lease_s)
        self._work_since_s = None
        self._was_held = False

    @property
    def fencing_number(self):
        """Number of the lease as last held."""
        return self.keeper.held.fencing_number if self.keeper.held else 0

    def observe(self, seen):
        """Take a version of the lease that a watch brought, a `LeaseUpdate`."""
        self.keeper.observe(seen.value, seen.version, self.read_clock())

    def set_idle(self):
        """Note that there is no work; the lease lapses by itself."""
        self._work_since_s = None

    def try_acquire(self, work_id, now):
        """Take or renew the lease, when it is this host's turn.

        Parameters
        ----------
        work_id : str
            Names the work at hand, so that the order of the hosts changes.
        now : float
            Present time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether this host may act.
        """
        if self._work_since_s is None:
            self._work_since_s = now
        if not self.keeper.is_held(now):
            turn_s = decisions.compute_acquire_delay_s(
                self.host,
                self.views.get().hosts,
                self.keeper.last_holder,
                f"{self.name} {work_id}",
            )
            if now - self._work_since_s < turn_s:
                return False
        self.keeper.step()
        is_held = self.is_held()
        if is_held != self._was_held:
            self._was_held = is_held
            event = "lease taken" if is_held else "lease lost"
            loguru.logger.bind(
                lease=self.name, fencing_number=self.fencing_number
            ).info(event)
        return is_held

    def is_held(self):
        """Return whether this host may act now; safe from any thread."""
        return self.keeper.is_held(self.read_clock())

    def discard(self):
        """Act on the lease no more, since another host was found to hold it."""
        self.keeper.give_up()
