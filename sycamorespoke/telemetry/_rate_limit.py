"""Bounds how many log lines a process writes."""

import threading

# Plain successes up to this many a second, and every line of other kinds up to
# the second figure; what is left out is counted and said.
DEBUG_LINES_PER_S = 5.0
OTHER_LINES_PER_S = 200.0
DEBUG_LEVELS = ("DEBUG", "TRACE")


class LogRateLimiter:
    """Decides which lines are written.

    Parameters
    ----------
    debug_per_s : float, default=5.0
        Lines of plain successes a second, above 0.
    other_per_s : float, default=200.0
        All other lines a second, above 0.

    Examples
    --------
    >>> limit = LogRateLimiter(debug_per_s=1.0)
    >>> [limit.admit("DEBUG", 0.0), limit.admit("DEBUG", 0.1), limit.admit("INFO", 0.2)]
    [True, False, True]
    >>> limit.take_suppressed_count()
    1
    """

    def __init__(self, debug_per_s=DEBUG_LINES_PER_S, other_per_s=OTHER_LINES_PER_S):
        self._rates = (debug_per_s, other_per_s)
        self._tokens = [debug_per_s, other_per_s]
        self._updated_s = [0.0, 0.0]
        self._suppressed_count = 0
        self._lock = threading.Lock()

    def admit(self, level, now):
        """Decide whether a line of a level is written at ``now``, seconds."""
        kind = 0 if level in DEBUG_LEVELS else 1
        with self._lock:
            rate = self._rates[kind]
            elapsed_s = max(now - self._updated_s[kind], 0.0)
            tokens = min(self._tokens[kind] + elapsed_s * rate, rate)
            self._updated_s[kind] = now
            admitted = tokens >= 1.0
            self._tokens[kind] = tokens - 1.0 if admitted else tokens
            self._suppressed_count += not admitted
            return admitted

    def take_suppressed_count(self):
        """Return how many lines were left out since the last call."""
        with self._lock:
            suppressed_count, self._suppressed_count = self._suppressed_count, 0
            return suppressed_count
