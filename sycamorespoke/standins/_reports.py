"""Load reports of an engine, which lag."""

import collections

MAX_REPORTS = 5000


class Reporter:
    """Keeps the latest load reports of an engine with their times.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    state : UpstreamState
        What runs.
    queue : RunQueue
        What waits.
    loader : WeightLoader
        Its weights and role.

    Notes
    -----
    Not synchronised: the caller holds its own lock.
    """

    def __init__(self, options, state, queue, loader):
        self.options = options
        self.state = state
        self.queue = queue
        self.loader = loader
        self._reports = collections.deque(maxlen=MAX_REPORTS)

    def record(self, now):
        """Make and keep a report, and return it."""
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
            # A restarted engine knows nothing of its former self.
            self._reports.clear()
        self._reports.append((now, report))
        return report

    def get_report(self, now, version_lag_s):
        """Return the report as the engine gives it at a time.

        Parameters
        ----------
        now : float
            Present time, seconds of the monotonic clock.
        version_lag_s : float
            Seconds by which the version lags.

        Returns
        -------
        dict
            As in docs/PROTOCOLS.md.
        """
        self.record(now)
        report = self._find(now - self.options.report_lag_s)
        version = self._find(now - version_lag_s)["version"]
        return {**report, "version": version} if version_lag_s else report

    def _find(self, at):
        found = self._reports[0][1]
        for reported_at, report in self._reports:
            if reported_at > at:
                break
            found = report
        return found
