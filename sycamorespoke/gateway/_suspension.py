"""Notices that the process was suspended, after which what it receives may be old."""

import threading

INTERVAL_S = 0.25
# The monitor runs at least this often unless the process is suspended.
MAX_GAP_S = 1.0
# What had arrived during a suspension is received within this time after it.
BACKLOG_S = 1.0


class SuspensionMonitor:
    """Tells when something that is received now may have arrived; thread-safe.

    Parameters
    ----------
    read_clock : callable
        Returns seconds of the boot clock.

    Examples
    --------
    >>> monitor = SuspensionMonitor(lambda: 10.0)
    >>> monitor.find_arrival_s(10.5), monitor.find_arrival_s(14.0)
    (10.5, 10.0)
    >>> monitor.tick(14.1)
    >>> monitor.find_arrival_s(14.2)
    10.0
    >>> monitor.tick(15.0)
    >>> monitor.find_arrival_s(15.2)
    15.2
    """

    def __init__(self, read_clock):
        self.read_clock = read_clock
        self._lock = threading.Lock()
        self._ticked_s = read_clock()
        self._suspended_s = self._resumed_s = float("-inf")

    def start(self):
        """Run the monitor in a background thread until the process ends."""
        threading.Thread(target=self._run, name="suspension", daemon=True).start()

    def tick(self, now):
        """Record that the process runs at ``now``, seconds of the boot clock."""
        with self._lock:
            if now - self._ticked_s > MAX_GAP_S:
                self._suspended_s = self._ticked_s
                self._resumed_s = now
            self._ticked_s = now

    def find_arrival_s(self, now):
        """Find the earliest time at which something received now may have arrived.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        float
            ``now``, unless the process was suspended shortly before; then the time
            from which it was, seconds of the boot clock.
        """
        with self._lock:
            if now - self._ticked_s > MAX_GAP_S:
                return self._ticked_s
            if now - self._resumed_s <= BACKLOG_S:
                return self._suspended_s
            return now

    def _run(self):
        pause = threading.Event()
        while not pause.wait(INTERVAL_S):
            self.tick(self.read_clock())
