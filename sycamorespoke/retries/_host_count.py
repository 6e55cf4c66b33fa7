"""How many hosts have shared the budgets in the last seconds, at most."""

import collections

import attrs


@attrs.define
class HostCount:
    """Largest number of hosts that was known in the last seconds.

    A host that is no longer listed may have sent retries shortly before, or may still
    send some, if only the list was lost.

    Parameters
    ----------
    memory_s : float
        For how long a larger number still counts, seconds.

    Examples
    --------
    >>> count = HostCount(memory_s=12.0)
    >>> [count.record(hosts, now) for hosts, now in ((4, 0.0), (1, 9.0), (2, 10.0))]
    [4, 4, 4]
    >>> count.record(1, 20.9), count.record(1, 21.1), count.record(3, 21.2)
    (4, 2, 3)
    """

    memory_s: float
    # Numbers that fall, each with the time at which it was last known to hold.
    _hosts_and_times: collections.deque = attrs.field(
        factory=collections.deque, init=False
    )

    def record(self, hosts, now):
        """Record how many hosts are known at ``now``; return the number that counts.

        Parameters
        ----------
        hosts : int
            Number of hosts that are known, 1 or more.
        now : float
            Current time, seconds.

        Returns
        -------
        int
            Largest number of the last ``memory_s``.
        """
        known = self._hosts_and_times
        if known and known[-1][0] > hosts:
            # It has held until now, however long ago it was recorded.
            known.append((known.pop()[0], now))
        while known and known[-1][0] <= hosts:
            known.pop()
        known.append((hosts, now))
        while now - known[0][1] > self.memory_s:
            known.popleft()
        return known[0][0]
