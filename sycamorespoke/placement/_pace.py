"""How long engines take for a unit of work, learnt from the waits of requests."""

import math
import threading

import attrs

# Work is counted in units of ten prompt tokens. An engine that does nothing else reads
# about 90,000 prompt tokens a second.
DEFAULT_S_PER_UNIT = 0.00011
MIN_RATIO = 0.5
MAX_RATIO = 4.0
# Evidence halves in about 14 s.
DECAY_TIME_S = 20.0
# The default weighs as much as one wait behind this much work.
PRIOR_WORK = 3000.0


@attrs.frozen
class Pace:
    """Relation between the work ahead of requests and how long they waited.

    It is a regression through the origin over recent waits, in which those behind
    much work weigh more.

    Parameters
    ----------
    products : float, default=0.0
        Decayed sum of work times wait.
    squares : float, default=0.0
        Decayed sum of squared work.
    updated_s : float, default=0.0
        When the sums were last updated, seconds.

    Examples
    --------
    >>> pace = Pace()
    >>> for now in range(50):
    ...     pace = pace.observe(5000.0, 1.0, now)
    >>> 0.00015 < pace.get_s_per_unit(50.0) < 0.0002
    True
    """

    products: float = 0.0
    squares: float = 0.0
    updated_s: float = 0.0

    def observe(self, work, wait_s, now):
        """Return the pace with one more wait.

        Parameters
        ----------
        work : float
            Work that was ahead of the request, its own prompt included, units.
        wait_s : float
            Time until its first event, seconds. Of a longer wait than the slowest
            engine needs for the work, the rest has another cause.
        now : float
            Current time, seconds.
        """
        decay = self._compute_decay(now)
        wait_s = min(wait_s, work * DEFAULT_S_PER_UNIT * MAX_RATIO)
        return Pace(
            self.products * decay + work * wait_s,
            self.squares * decay + work * work,
            now,
        )

    def get_s_per_unit(self, now):
        """Return the time that a unit of work takes at ``now``, seconds."""
        decay = self._compute_decay(now)
        prior = PRIOR_WORK * PRIOR_WORK
        slope = (self.products * decay + prior * DEFAULT_S_PER_UNIT) / (
            self.squares * decay + prior
        )
        lowest = DEFAULT_S_PER_UNIT * MIN_RATIO
        return min(max(slope, lowest), DEFAULT_S_PER_UNIT * MAX_RATIO)

    def _compute_decay(self, now):
        return math.exp(-max(now - self.updated_s, 0.0) / DECAY_TIME_S)


class PaceTable:
    """Paces of the engines by service; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._paces_by_service = {}

    def observe(self, service, work, wait_s, now):
        """Record how long a request waited, see `Pace.observe`."""
        with self._lock:
            pace = self._paces_by_service.get(service, Pace())
            self._paces_by_service[service] = pace.observe(work, wait_s, now)

    def get_s_per_unit(self, service, now):
        """Return the time that a unit of work takes at a service, seconds."""
        return self._paces_by_service.get(service, Pace()).get_s_per_unit(now)

    def retain(self, services):
        """Forget the paces of services that are not configured any more."""
        with self._lock:
            for service in self._paces_by_service.keys() - set(services):
                del self._paces_by_service[service]

    def dump(self, now):
        """Return the microseconds for a unit of work by service."""
        with self._lock:
            return {
                service: round(pace.get_s_per_unit(now) * 1e6, 1)
                for service, pace in self._paces_by_service.items()
            }
