"""The slots of one upstream group at this host."""

import attrs

from sycamorespoke import decisions

# Smoothing factor of the moving average of slot hold times.
HOLD_SMOOTHING = 0.05


class GroupSlots:
    """Track the slots of one upstream group and the requests that wait for them.

    Parameters
    ----------
    max_limit : int
        Upper bound of the concurrency limit of each upstream.

    Notes
    -----
    The number of slots is the sum of the current limits of the upstreams.
    """

    def __init__(self, max_limit):
        self.max_limit = max_limit
        self.queue = decisions.FairQueue()
        self.running = 0
        self.mean_hold_s = 0.0
        self.last_empty_s = 0.0
        self.limits_by_upstream = {}
        self.running_by_upstream = {}

    def set_upstreams(self, names, hosts):
        """Set the upstreams that accept new requests.

        Upstreams that were set before keep their limit. The limit of a new one
        starts at this host's share of the maximum among ``hosts`` entry hosts and
        adapts from there.
        """
        for name in list(self.limits_by_upstream):
            if name not in names:
                del self.limits_by_upstream[name]
        for name in names:
            first = max(self.max_limit / hosts, 1.0)
            limit = decisions.UpstreamLimit(first, self.max_limit)
            self.limits_by_upstream.setdefault(name, limit)

    def set_max_limit(self, max_limit):
        """Set the maximum limit per upstream, after a configuration change."""
        self.max_limit = max_limit
        for name, limit in self.limits_by_upstream.items():
            self.limits_by_upstream[name] = attrs.evolve(
                limit, limit=min(limit.limit, max_limit), max_limit=max_limit
            )

    def slots(self):
        """Return the number of requests that the group may run concurrently."""
        return sum(limit.slots() for limit in self.limits_by_upstream.values())

    def has_free_slot(self):
        """Return whether one more request may be sent."""
        return self.running < self.slots()

    def free_by_upstream(self):
        """Return the number of free slots, 0 or more, of each upstream."""
        return {
            name: max(limit.slots() - self.running_by_upstream.get(name, 0), 0)
            for name, limit in self.limits_by_upstream.items()
        }

    def estimate_wait_s(self, account, share):
        """Estimate the queueing time of a new request of an account, in seconds."""
        if self.has_free_slot() and not len(self.queue):
            return 0.0
        ahead = self.queue.count_ahead(account, share)
        return decisions.estimate_wait_s(ahead, self.slots(), self.mean_hold_s)

    def record_start(self, upstream):
        """Record the start of a request at an upstream."""
        running = self.running_by_upstream.get(upstream, 0)
        self.running_by_upstream[upstream] = running + 1

    def record_end(self, upstream, outcome, delay_s, now):
        """Record the end of a request at an upstream and update its limit."""
        running = self.running_by_upstream.get(upstream, 0)
        self.running_by_upstream[upstream] = running - 1
        if running <= 1:
            del self.running_by_upstream[upstream]
        limit = self.limits_by_upstream.get(upstream)
        if limit is not None:
            updated = limit.update(outcome, running, delay_s, now)
            self.limits_by_upstream[upstream] = updated

    def record_hold(self, hold_s):
        """Update the moving average with the hold time of one slot, in seconds."""
        if self.mean_hold_s == 0.0:
            self.mean_hold_s = hold_s
        self.mean_hold_s += HOLD_SMOOTHING * (hold_s - self.mean_hold_s)
