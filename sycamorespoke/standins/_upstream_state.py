"""Cold and warm state of an upstream, and what ran while it was cold."""

import collections
import uuid


class UpstreamState:
    """Cold and warm state of an upstream.

    Parameters
    ----------
    limit : int
        Requests that run at once when warm, above 0.
    cold_limit : int
        Requests that run at once when cold; one more and it fails.
    warm_up_s : float
        Seconds of work until it is warm, 0 or more.

    Notes
    -----
    Not synchronised: the caller holds its own lock.
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
        """Start anew: another boot id, cold, nothing running."""
        self.boot_id = uuid.uuid4().hex
        self.running = 0
        self.turn_cold()

    def turn_cold(self):
        """Become cold without a restart."""
        self._busy_s = 0.0
        self._busy_since = None

    def is_warm(self, now):
        """Return whether it has worked for long enough."""
        busy_s = self._busy_s
        if self._busy_since is not None:
            busy_s += now - self._busy_since
        return busy_s >= self.warm_up_s

    def has_capacity(self):
        """Return whether another request may start."""
        return self.running < self.limit

    def begin_request(self, request_id, now):
        """Start a request.

        Returns
        -------
        bool
            False when it was more than a cold upstream bears: it has failed
            and restarted, and every running request is lost.
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
        """End a request that began under a boot id."""
        if boot_id != self.boot_id:
            return
        self.running -= 1
        if self.running == 0 and self._busy_since is not None:
            self._busy_s += now - self._busy_since
            self._busy_since = None

    def count(self):
        """Return the counts."""
        return {
            "runs_by_request_id": dict(self.runs_by_request_id),
            "runs": sum(self.runs_by_request_id.values()),
            "most_concurrent_cold": self.max_running_cold,
            "most_concurrent_warm": self.max_running_warm,
            "falls": self.overload_failures,
        }
