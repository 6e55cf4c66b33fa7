"""Notices requests that an upstream should have begun long ago."""

import threading

import loguru

from sycamorespoke import serving

INTERVAL_S = 0.05
# A request is overdue after this multiple of the time in which its first event was
# expected, and this long at least.
PATIENCE_FACTOR = 3.0
MIN_PATIENCE_S = 1.0
# A step that is later than this by more than its interval follows a suspension, during
# which no event could be read.
MAX_DELAY_S = 0.3


class OverdueWatch:
    """Takes back attempts whose first event is overdue; thread-safe.

    Load answered: an upstream that goes silent keeps the requests that it has until
    their deadlines, and gets more of them until then.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._due_by_attempts = {}
        # Attempts that are overdue and have not begun so far.
        self._overdue = set()
        self._stepped_s = None

    def start(self):
        """Watch in a background thread until the process ends."""
        threading.Thread(target=self._run, name="overdue", daemon=True).start()

    def watch(self, attempts, expected_s, now):
        """Watch an attempt that begins at ``now``.

        Parameters
        ----------
        attempts : gateway.TakeBack
            Has ``may_take_back()`` and ``take_back()``.
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
            self._overdue.discard(attempts)

    def step(self, now):
        """Take back the attempts that are overdue at ``now`` and had better be."""
        for attempts in self._select(now):
            is_better_elsewhere = attempts.may_take_back()
            # Under the lock, so that none is taken back that has begun meanwhile.
            with self._lock:
                is_waiting = attempts in self._overdue
                self._overdue.discard(attempts)
                if is_waiting and is_better_elsewhere:
                    attempts.take_back()

    def _select(self, now):
        with self._lock:
            self._skip_suspension(now)
            overdue = [
                attempts
                for attempts, due_s in self._due_by_attempts.items()
                if now >= due_s
            ]
            for attempts in overdue:
                del self._due_by_attempts[attempts]
            self._overdue.update(overdue)
        return overdue

    def _skip_suspension(self, now):
        """Give each attempt the time again for which this process did not run."""
        stepped_s, self._stepped_s = self._stepped_s, now
        if stepped_s is None or now - stepped_s <= INTERVAL_S + MAX_DELAY_S:
            return
        delay_s = now - stepped_s
        for attempts in self._due_by_attempts:
            self._due_by_attempts[attempts] += delay_s

    def _run(self):
        pause = threading.Event()
        while not pause.wait(INTERVAL_S):
            try:
                self.step(serving.read_clock())
            except Exception:
                loguru.logger.exception("watching overdue requests failed")
