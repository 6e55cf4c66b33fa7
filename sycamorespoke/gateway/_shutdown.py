"""How a host that stops ends its requests before its process does."""

import threading
import weakref

import loguru

from sycamorespoke import domain

# Requests that callers send until then are served: the load balancer takes a host out
# only after it has noticed the stop.
EARLY_S = 3.0
# Requests that still run this long before the end of the process are ended, so that
# their callers get a response and not a closed connection.
ANSWER_S = 0.4


class Shutdown:
    """Planned end of the process; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._requests = weakref.WeakSet()
        self._begun_s = float("inf")
        self._ends_s = float("inf")

    def add(self, attempts):
        """Add the `Attempts` of a request, which are ended before the process."""
        with self._lock:
            self._requests.add(attempts)

    def begin(self, now, ends_s):
        """Begin the shutdown.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        ends_s : float
            When the process ends at the latest, seconds of the boot clock.
        """
        self._begun_s = now
        self._ends_s = ends_s

    @property
    def answers_s(self):
        """When requests that still run are ended, seconds of the boot clock."""
        return self._ends_s - ANSWER_S

    def find_refusal(self, deadline_s, now):
        """Return a refusal if a request may last longer than the process.

        Parameters
        ----------
        deadline_s : float
            Deadline of the request, seconds of the boot clock.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        domain.Refusal or None
            ``None`` for requests that are read soon after the shutdown has begun.
        """
        is_early = now - self._begun_s <= EARLY_S
        if is_early or deadline_s <= self.answers_s:
            return None
        return domain.Refusal(
            domain.ErrorKind.DRAINING, "the host stops before the request would end"
        )

    def end_requests(self):
        """End the requests that still run, which answers them; return their number."""
        with self._lock:
            requests = list(self._requests)
        ended = sum(attempts.end_for_shutdown() for attempts in requests)
        if ended:
            loguru.logger.bind(requests=ended).info("requests ended by shutdown")
        return ended
