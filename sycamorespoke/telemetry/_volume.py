"""Bounds how many log lines a process writes."""

import threading

# Plain successes up to this many a second, and every line of other kinds up to
# the second figure; what is left out is counted and said.
PLAIN_LINES_PER_S = 5.0
OTHER_LINES_PER_S = 200.0
PLAIN_LEVELS = ("DEBUG", "TRACE")


class VolumeLimit:
    """Decides which lines are written.

    Parameters
    ----------
    plain_per_s : float, default=5.0
        Lines of plain successes a second, above 0.
    other_per_s : float, default=200.0
        All other lines a second, above 0.

    Examples
    --------
    >>> limit = VolumeLimit(plain_per_s=1.0)
    >>> [limit.admit("DEBUG", 0.0), limit.admit("DEBUG", 0.1), limit.admit("INFO", 0.2)]
    [True, False, True]
    >>> limit.take_left_out()
    1
    """

    def __init__(self, plain_per_s=PLAIN_LINES_PER_S, other_per_s=OTHER_LINES_PER_S):
        self._rates = (plain_per_s, other_per_s)
        self._tokens = [plain_per_s, other_per_s]
        self._updated_s = [0.0, 0.0]
        self._left_out = 0
        self._lock = threading.Lock()

    def admit(self, level, now):
        """Decide whether a line of a level is written at ``now``, seconds."""
        kind = 0 if level in PLAIN_LEVELS else 1
        with self._lock:
            rate = self._rates[kind]
            elapsed_s = max(now - self._updated_s[kind], 0.0)
            tokens = min(self._tokens[kind] + elapsed_s * rate, rate)
            self._updated_s[kind] = now
            admitted = tokens >= 1.0
            self._tokens[kind] = tokens - 1.0 if admitted else tokens
            self._left_out += not admitted
            return admitted

    def take_left_out(self):
        """Return how many lines were left out since the last call."""
        with self._lock:
            left_out, self._left_out = self._left_out, 0
            return left_out
