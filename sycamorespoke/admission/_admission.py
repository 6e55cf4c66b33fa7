"""Admission, as the request threads of an entry host use it."""

import threading
import time

from sycamorespoke.admission import _slots, _ticket


class Admission:
    """Lets request threads send in a fair order; safe to share among threads.

    Parameters
    ----------
    configuration : world.Configuration
        Accounts, routes, groups and limits.
    clock : callable, default=time.monotonic
        Returns the time at which a waiting request was granted or given up.
    """

    def __init__(self, configuration, clock=time.monotonic):
        self.configuration = configuration
        self.clock = clock
        self._lock = threading.Lock()
        self._table = _slots.SlotTable(configuration)

    def configure(self, configuration):
        """Take the rules of another revision into force."""
        with self._lock:
            self._table.configure(configuration)
            self.configuration = configuration

    def set_upstreams(self, group, names, now, hosts=1):
        """Set the upstreams of a group that take new work.

        Parameters
        ----------
        group : str
            Name of the group.
        names : collection of str
            Names of the upstreams.
        now : float
            Monotonic seconds.
        hosts : int, default=1
            Entry hosts that share the upstreams, 1 or more; an upstream not known
            before starts with this host's part of the group's limit.
        """
        with self._lock:
            self._table.set_upstreams(group, names, now, hosts)

    def acquire(self, account, route, deadline_s, now):
        """Wait until a request may be sent.

        Parameters
        ----------
        account, route : str
            Names; both are in the configuration.
        deadline_s : float
            Seconds left until the request is given up, above 0.
        now : float
            Monotonic seconds.

        Returns
        -------
        Ticket or world.Refusal
            The slot, to be given back by `release`, or the refusal: nearly
            always at once, and never after more than half of ``deadline_s``.
        """
        with self._lock:
            result = self._table.request_slot(account, route, deadline_s, now)
        if not isinstance(result, _ticket.Queued):
            return result
        result.ticket.wait(result.wait_limit_s)
        with self._lock:
            refusal = self._table.time_out(result.ticket, self.clock())
        return refusal or result.ticket

    def assign(self, ticket, upstream):
        """Count a request as sent to an upstream, unless its limit is reached.

        Parameters
        ----------
        ticket : Ticket
            From `acquire`.
        upstream : str
            Name of the upstream.

        Returns
        -------
        bool
            Whether it may be sent there.
        """
        with self._lock:
            return self._table.assign(ticket, upstream)

    def unassign(self, ticket, outcome, delay_s, now):
        """Count an attempt as ended before another is made with the same ticket.

        Parameters
        ----------
        ticket, verdict, delay_s, now
            As in `release`.
        """
        with self._lock:
            self._table.unassign(ticket, outcome, delay_s, now)

    def release(self, ticket, outcome, now, delay_s=None):
        """Give the slot back; the next request in fair order gets it.

        Parameters
        ----------
        ticket : Ticket
            From `acquire`.
        outcome : decisions.AttemptOutcome
            How the request ended.
        now : float
            Monotonic seconds.
        delay_s : float or None, default=None
            Seconds until the answer; ``None`` where it says nothing of the load.
        """
        with self._lock:
            self._table.release(ticket, outcome, delay_s, now)

    def acquire_retry(self, route):
        """Take a retry from the budget of a route.

        Parameters
        ----------
        route : str
            Name of the route.

        Returns
        -------
        bool
            Whether the request may be sent again.
        """
        with self._lock:
            return self._table.acquire_retry(route)

    def free_by_upstream(self, group):
        """Return the free slots of each upstream of a group.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        dict of str to int
            0 or more, by name of the upstream.
        """
        with self._lock:
            return self._table.free_by_upstream(group)

    def stats(self, now):
        """Return the state for the dump.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        AdmissionStats
            Counters, and the state of each group.
        """
        with self._lock:
            return self._table.stats(now)
