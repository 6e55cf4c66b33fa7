"""The slots of one upstream group at this host."""

import attrs

from sycamorespoke import decisions

HOLD_WEIGHT = 0.05


class GroupSlots:
    """The slots of one upstream group, and the requests that wait for them.

    Parameters
    ----------
    max_limit : int
        Requests that one of its upstreams runs at once.

    Notes
    -----
    The group has as many slots as the limits of its upstreams add up to.
    """

    def __init__(self, max_limit):
        self.max_limit = max_limit
        self.queue = decisions.FairQueue()
        self.running = 0
        self.hold_s = 0.0
        self.emptied_s = 0.0
        self.limits_by_upstream = {}
        self.running_by_upstream = {}

    def set_upstreams(self, names, hosts):
        """Set the upstreams that take new work; the known ones keep their limit.

        A new one starts with its part of the group's limit among ``hosts`` entry
        hosts, and is then followed.
        """
        for name in list(self.limits_by_upstream):
            if name not in names:
                del self.limits_by_upstream[name]
        for name in names:
            first = max(self.max_limit / hosts, 1.0)
            limit = decisions.UpstreamLimit(first, self.max_limit)
            self.limits_by_upstream.setdefault(name, limit)

    def set_max_limit(self, max_limit):
        """Set the limit of one upstream, after a change of the rules."""
        self.max_limit = max_limit
        for name, limit in self.limits_by_upstream.items():
            self.limits_by_upstream[name] = attrs.evolve(
                limit, limit=min(limit.limit, max_limit), max_limit=max_limit
            )

    def slots(self):
        """Return how many requests the group may run at once."""
        return sum(limit.slots() for limit in self.limits_by_upstream.values())

    def has_free_slot(self):
        """Return whether one more request may be sent."""
        return self.running < self.slots()

    def free_by_upstream(self):
        """Return the free slots of each upstream; none has fewer than 0."""
        return {
            name: max(limit.slots() - self.running_by_upstream.get(name, 0), 0)
            for name, limit in self.limits_by_upstream.items()
        }

    def estimate_wait_s(self, account, share):
        """Estimate the wait of a new request of an account, in seconds."""
        if self.has_free_slot() and not len(self.queue):
            return 0.0
        ahead = self.queue.count_ahead(account, share)
        return decisions.estimate_wait_s(ahead, self.slots(), self.hold_s)

    def start(self, upstream):
        """Count a request as running at an upstream."""
        running = self.running_by_upstream.get(upstream, 0)
        self.running_by_upstream[upstream] = running + 1

    def end(self, upstream, outcome, delay_s, now):
        """Count a request at an upstream as ended, and update its limit."""
        running = self.running_by_upstream.get(upstream, 0)
        self.running_by_upstream[upstream] = running - 1
        if running <= 1:
            del self.running_by_upstream[upstream]
        limit = self.limits_by_upstream.get(upstream)
        if limit is not None:
            updated = limit.update(outcome, running, delay_s, now)
            self.limits_by_upstream[upstream] = updated

    def follow_hold(self, hold_s):
        """Follow the time for which a request kept its slot, in seconds."""
        if self.hold_s == 0.0:
            self.hold_s = hold_s
        self.hold_s += HOLD_WEIGHT * (hold_s - self.hold_s)
