"""For how long the present isolated accounts have been in force at this host."""

import threading


class ExclusionAge:
    """Time since the isolated accounts changed; thread-safe.

    A host that has just started does not know whether they have changed a moment
    before, so its start counts as a change.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._exclusion = None
        self._since_s = float("inf")

    def measure_s(self, configuration, now):
        """Return for how long the isolated accounts have been known to be these.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        float
            Seconds; not longer than they have been in force.
        """
        with self._lock:
            if configuration.exclusion != self._exclusion:
                self._exclusion = configuration.exclusion
                self._since_s = now
            return max(now - self._since_s, 0.0)
