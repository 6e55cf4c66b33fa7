"""Rate limit of the log lines that a process writes."""

import threading

# Routine successes are logged at DEBUG and get a lower rate than all other lines.
# Suppressed lines are counted, and the count is logged.
DEBUG_LINES_PER_S = 5.0
OTHER_LINES_PER_S = 200.0
DEBUG_LEVELS = ("DEBUG", "TRACE")


class LogRateLimiter:
    """Token buckets: one for DEBUG and TRACE lines, one for all other lines.

    Parameters
    ----------
    debug_per_s : float, default=5.0
        Maximum rate and burst of DEBUG and TRACE lines, per second, above 0.
    other_per_s : float, default=200.0
        Maximum rate and burst of all other lines, per second, above 0.

    Examples
    --------
    >>> limiter = LogRateLimiter(debug_per_s=1.0)
    >>> limiter.admit("DEBUG", 0.0), limiter.admit("DEBUG", 0.1)
    (True, False)
    >>> limiter.admit("INFO", 0.2)
    True
    >>> limiter.take_suppressed_count()
    1
    """

    def __init__(self, debug_per_s=DEBUG_LINES_PER_S, other_per_s=OTHER_LINES_PER_S):
        self._rates = (debug_per_s, other_per_s)
        self._tokens = [debug_per_s, other_per_s]
        self._updated_s = [0.0, 0.0]
        self._suppressed_count = 0
        self._lock = threading.Lock()

    def admit(self, level, now):
        """Return whether a line of a level may be written; suppress it otherwise.

        Parameters
        ----------
        level : str
            Name of the level.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        bool
            ``False`` if the line is suppressed and counted.
        """
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
        """Return the number of lines suppressed since the last call."""
        with self._lock:
            suppressed_count, self._suppressed_count = self._suppressed_count, 0
            return suppressed_count
