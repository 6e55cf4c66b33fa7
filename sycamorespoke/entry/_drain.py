"""Graceful shutdown: counts the calls running and waits for their end."""

import threading


class DrainState:
    """Whether the process is shutting down, and how many calls are running."""

    def __init__(self):
        self.requested = threading.Event()
        self._condition = threading.Condition()
        self._running = 0

    @property
    def is_draining(self):
        """Whether a graceful shutdown has been asked for."""
        return self.requested.is_set()

    def request_drain(self):
        """Ask for a graceful shutdown; asking again changes nothing."""
        self.requested.set()

    def begin_request(self):
        """Count a request that begins."""
        with self._condition:
            self._running += 1

    def end_request(self):
        """Count a request that has ended."""
        with self._condition:
            self._running -= 1
            self._condition.notify_all()

    def count_running(self):
        """Count the calls running.

        Returns
        -------
        int
            0 or more.
        """
        with self._condition:
            return self._running

    def wait_idle(self, timeout_s):
        """Wait until no request is running.

        Parameters
        ----------
        timeout_s : float
            Longest wait, seconds, 0 or more.

        Returns
        -------
        bool
            Whether no request is running.
        """
        with self._condition:
            return self._condition.wait_for(lambda: self._running == 0, timeout_s)
