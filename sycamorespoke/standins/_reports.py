"""Load reports of an engine, with a configurable lag."""

import collections

MAX_REPORTS = 5000


class Reporter:
    """Records load reports of an engine and returns them with a lag.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    state : UpstreamState
        Boot ID, running requests and warm-up of the engine.
    queue : RunQueue
        Queued requests.
    loader : WeightLoader
        Holds the model, weight version and role of the engine.

    Notes
    -----
    Not thread-safe; the caller holds a lock.
    """

    def __init__(self, options, state, queue, loader):
        self.options = options
        self.state = state
        self.queue = queue
        self.loader = loader
        self._reports = collections.deque(maxlen=MAX_REPORTS)

    def record(self, now):
        """Record and return a report of the current state."""
        report = {
            "boot_id": self.state.boot_id,
            "running": self.state.running,
            "queued": len(self.queue),
            "model": self.loader.model,
            "version": self.loader.version,
            "warm": self.state.is_warm(now),
            "limit": self.options.limit,
            "role": self.loader.role,
        }
        if self._reports and self._reports[-1][1]["boot_id"] != report["boot_id"]:
            # Reports from before a restart must not be returned after it.
            self._reports.clear()
        self._reports.append((now, report))
        return report

    def get_report(self, now, version_lag_s):
        """Return the report that the engine publishes, which may lag.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.
        version_lag_s : float
            Seconds by which the weight version lags; 0 to lag like the other fields.

        Returns
        -------
        dict
            As in docs/PROTOCOLS.md.
        """
        self.record(now)
        report = self._find_report(now - self.options.report_lag_s)
        version = self._find_report(now - version_lag_s)["version"]
        return {**report, "version": version} if version_lag_s else report

    def _find_report(self, at):
        found = self._reports[0][1]
        for reported_at, report in self._reports:
            if reported_at > at:
                break
            found = report
        return found
