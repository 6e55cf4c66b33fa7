"""How long requests take at the old version, and which are slow beside that."""

import collections
import enum
import statistics

SAMPLES = 48
MIN_SAMPLES = 3
SLOW_FACTOR = 3.0
SLOW_EXTRA_S = 0.05


class Outcome(enum.Enum):
    """How a request at an upstream ended."""

    WHOLE = "whole"
    FAILED = "failed"
    # The connection ended before the response did.
    LOST = "lost"
    # The caller left, the request was taken back, or it was not sent.
    CANCELLED = "cancelled"


class Durations:
    """Durations of whole responses by service and route; used under a lock."""

    def __init__(self):
        self._samples_by_key = {}

    def record(self, key, duration_s):
        """Record the duration of a whole response of an old version, seconds."""
        samples = self._samples_by_key.get(key)
        if samples is None:
            samples = collections.deque(maxlen=SAMPLES)
            self._samples_by_key[key] = samples
        samples.append(duration_s)

    def is_slow(self, key, duration_s):
        """Return whether a duration is well above those of the old version.

        Examples
        --------
        >>> durations = Durations()
        >>> for _ in range(3):
        ...     durations.record(("s", "r"), 0.1)
        >>> durations.is_slow(("s", "r"), 0.3), durations.is_slow(("s", "r"), 0.5)
        (False, True)
        """
        samples = self._samples_by_key.get(key, ())
        if len(samples) < MIN_SAMPLES:
            return False
        median_s = statistics.median(samples)
        return duration_s > SLOW_FACTOR * median_s + SLOW_EXTRA_S
