"""State of a graceful shutdown and the number of running requests."""

import threading


class DrainState:
    """Tracks whether the process is draining and how many requests are running."""

    def __init__(self):
        self.requested = threading.Event()
        self._condition = threading.Condition()
        self._running = 0

    @property
    def is_draining(self):
        """Whether a graceful shutdown has been requested."""
        return self.requested.is_set()

    def request_drain(self):
        """Request a graceful shutdown; further requests have no effect."""
        self.requested.set()

    def begin_request(self):
        """Count a request as running."""
        with self._condition:
            self._running += 1

    def end_request(self):
        """Count a request as ended."""
        with self._condition:
            self._running -= 1
            self._condition.notify_all()

    def count_running(self):
        """Return the number of running requests.

        Returns
        -------
        int
            0 or more.
        """
        with self._condition:
            return self._running

    def wait_idle(self, timeout_s):
        """Wait until no request is running or the timeout has passed.

        Parameters
        ----------
        timeout_s : float
            Maximum wait, in seconds, 0 or more.

        Returns
        -------
        bool
            Whether no request is running.
        """
        with self._condition:
            return self._condition.wait_for(lambda: self._running == 0, timeout_s)
