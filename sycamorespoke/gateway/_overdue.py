"""Notices requests that an upstream should have begun long ago."""

import threading

import loguru

from sycamorespoke import serving

INTERVAL_S = 0.05
# A request is overdue after this multiple of the time in which its first event was
# expected, and this long at least.
PATIENCE_FACTOR = 3.0
MIN_PATIENCE_S = 1.0


class OverdueWatch:
    """Tells attempts that their first event is overdue; thread-safe.

    Load answered: an upstream that goes silent keeps the requests that it has until
    their deadlines, and gets more of them until then.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._due_by_attempts = {}

    def start(self):
        """Watch in a background thread until the process ends."""
        threading.Thread(target=self._run, name="overdue", daemon=True).start()

    def watch(self, attempts, expected_s, now):
        """Watch an attempt that begins at ``now``.

        Parameters
        ----------
        attempts : Attempts
            Has ``handle_overdue()``.
        expected_s : float
            Time in which its first event is expected, seconds.
        now : float
            Current time, seconds of the boot clock.
        """
        patience_s = max(expected_s * PATIENCE_FACTOR, MIN_PATIENCE_S)
        with self._lock:
            self._due_by_attempts[attempts] = now + patience_s

    def unwatch(self, attempts):
        """Stop watching an attempt, which has begun or ended."""
        with self._lock:
            self._due_by_attempts.pop(attempts, None)

    def step(self, now):
        """Tell the attempts that are overdue at ``now``, once each."""
        with self._lock:
            overdue = [
                attempts
                for attempts, due_s in self._due_by_attempts.items()
                if now >= due_s
            ]
            for attempts in overdue:
                del self._due_by_attempts[attempts]
                # Under the lock, so that none is told that has begun meanwhile.
                attempts.handle_overdue()

    def _run(self):
        pause = threading.Event()
        while not pause.wait(INTERVAL_S):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("watching overdue requests failed")
