"""Thread-safe admission control for the request threads of an entry host."""

import threading
import time

from sycamorespoke.admission import _slots, _ticket


class Admission:
    """Grant slots to request threads in a fair order; safe to share among threads.

    Parameters
    ----------
    configuration : domain.Configuration
        Client accounts, routes, upstream groups and limits.
    clock : callable, default=time.monotonic
        Returns the current monotonic time, in seconds.
    """

    def __init__(self, configuration, clock=time.monotonic):
        self.configuration = configuration
        self.clock = clock
        self._lock = threading.Lock()
        self._table = _slots.SlotTable(configuration)

    def configure(self, configuration):
        """Apply another revision of the configuration."""
        with self._lock:
            self._table.configure(configuration)
            self.configuration = configuration

    def set_upstreams(self, group, names, now, hosts=1):
        """Set the upstreams of a group that accept new requests.

        Parameters
        ----------
        group : str
            Name of the group.
        names : collection of str
            Names of the upstreams.
        now : float
            Current monotonic time, in seconds.
        hosts : int, default=1
            Number of entry hosts that share the upstreams, 1 or more. The limit
            of a new upstream starts at this host's share of the group's limit.
        """
        with self._lock:
            self._table.set_upstreams(group, names, now, hosts)

    def acquire(self, account, route, deadline_s, now):
        """Wait for a slot of the route's upstream group.

        Parameters
        ----------
        account, route : str
            Names; both are in the configuration.
        deadline_s : float
            Seconds left until the deadline of the request, above 0.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        Ticket or domain.Refusal
            The slot, to be returned with `release`, or a refusal. Most refusals
            are immediate; none takes longer than half of ``deadline_s``.
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
        """Assign a request to an upstream, unless the upstream's limit is reached.

        Parameters
        ----------
        ticket : Ticket
            From `acquire`.
        upstream : str
            Name of the upstream.

        Returns
        -------
        bool
            Whether the request may be sent to the upstream.
        """
        with self._lock:
            return self._table.assign(ticket, upstream)

    def unassign(self, ticket, outcome, delay_s, now):
        """Record the end of an attempt and keep the slot for the next attempt.

        Parameters
        ----------
        ticket, outcome, delay_s, now
            As in `release`.
        """
        with self._lock:
            self._table.unassign(ticket, outcome, delay_s, now)

    def release(self, ticket, outcome, now, delay_s=None):
        """Return a slot; the next waiting request in fair order gets it.

        Parameters
        ----------
        ticket : Ticket
            From `acquire`.
        outcome : decisions.AttemptOutcome
            How the last attempt ended.
        now : float
            Current monotonic time, in seconds.
        delay_s : float or None, default=None
            Response time of the upstream, in seconds; ``None`` if it does not
            reflect the upstream's load.
        """
        with self._lock:
            self._table.release(ticket, outcome, delay_s, now)

    def acquire_retry(self, route):
        """Withdraw a retry from the retry budget of a route.

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
        """Return the number of free slots of each upstream of a group.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        dict of str to int
            Free slots, 0 or more, by name of the upstream.
        """
        with self._lock:
            return self._table.free_by_upstream(group)

    def stats(self, now):
        """Return the counters and group states for the state dump.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        AdmissionStats
            Counters, and the state of each upstream group.
        """
        with self._lock:
            return self._table.stats(now)
