"""Boot ID, running requests and warm-up of a simulated upstream."""

import collections
import uuid


class UpstreamState:
    """Boot ID, running requests and warm-up of an upstream.

    Parameters
    ----------
    limit : int
        Maximum number of concurrent requests, above 0.
    cold_limit : int
        Concurrent requests that a cold upstream sustains; one more makes it fail.
    warm_up_s : float
        Seconds with running requests until the upstream is warm, 0 or more.

    Notes
    -----
    Not thread-safe; the caller holds a lock.
    """

    def __init__(self, limit, cold_limit, warm_up_s):
        self.limit = limit
        self.cold_limit = cold_limit
        self.warm_up_s = warm_up_s
        self.running = 0
        self.overload_failures = 0
        self.max_running_cold = 0
        self.max_running_warm = 0
        self.runs_by_request_id = collections.Counter()
        self._busy_since = None
        self.restart()

    def restart(self):
        """Restart with a new boot ID, cold and without running requests."""
        self.boot_id = uuid.uuid4().hex
        self.running = 0
        self.turn_cold()

    def turn_cold(self):
        """Become cold without changing the boot ID."""
        self._busy_s = 0.0
        self._busy_since = None

    def is_warm(self, now):
        """Return whether requests have run for ``warm_up_s`` since it was cold."""
        busy_s = self._busy_s
        if self._busy_since is not None:
            busy_s += now - self._busy_since
        return busy_s >= self.warm_up_s

    def has_capacity(self):
        """Return whether another request can start."""
        return self.running < self.limit

    def begin_request(self, request_id, now):
        """Record the start of a request.

        Returns
        -------
        bool
            False if the request exceeded ``cold_limit`` while the upstream was cold.
            The upstream has then restarted, and all running requests are lost.
        """
        is_warm = self.is_warm(now)
        self.runs_by_request_id[request_id] += 1
        self.running += 1
        if self._busy_since is None:
            self._busy_since = now
        if is_warm:
            self.max_running_warm = max(self.max_running_warm, self.running)
            return True
        self.max_running_cold = max(self.max_running_cold, self.running)
        if self.running <= self.cold_limit:
            return True
        self.overload_failures += 1
        self.restart()
        return False

    def end_request(self, boot_id, now):
        """Record the end of a request, unless a restart has already ended it."""
        if boot_id != self.boot_id:
            return
        self.running -= 1
        if self.running == 0 and self._busy_since is not None:
            self._busy_s += now - self._busy_since
            self._busy_since = None

    def count(self):
        """Return the counts for ``GET /counts``."""
        return {
            "runs_by_request_id": dict(self.runs_by_request_id),
            "runs": sum(self.runs_by_request_id.values()),
            "most_concurrent_cold": self.max_running_cold,
            "most_concurrent_warm": self.max_running_warm,
            "falls": self.overload_failures,
        }
