"""Whether the list of hosts seems to be whole while hosts start."""

# A list that has not changed for this long counts as whole.
SETTLED_S = 0.3
# No host waits longer than this for others.
MAX_SETTLING_S = 1.2


class SettlingList:
    """Watches the list of hosts from the start of one of them.

    Load answered: all hosts of a large deployment start at the same moment.

    Parameters
    ----------
    host : str
        Name of the host that has started.
    started_s : float
        When it started, seconds.

    Examples
    --------
    >>> settling = SettlingList("a", 0.0)
    >>> lists = (None, 0.0), (set(), 0.0), ({"a"}, 0.1), ({"a", "b"}, 0.3)
    >>> [settling.is_settled(names, now) for names, now in lists]
    [False, False, False, False]
    >>> settling.is_settled({"a", "b"}, 0.7)
    True
    >>> SettlingList("a", 0.0).is_settled({"a", "b"}, 0.01)
    True
    """

    def __init__(self, host, started_s):
        self.host = host
        self.started_s = started_s
        self._names = None
        self._changed_s = started_s

    def is_settled(self, names, now):
        """Return whether the list seems to be whole at ``now``.

        Parameters
        ----------
        names : iterable of str or None
            Names of the hosts that are listed now; ``None`` if the list is unknown.
        now : float
            Current time, seconds.

        Returns
        -------
        bool
            Whether this host and the same others have been listed for `SETTLED_S`,
            its entry is of an earlier start, or `MAX_SETTLING_S` have passed.
        """
        if now - self.started_s >= MAX_SETTLING_S:
            return True
        if names is None:
            return False
        is_first, names = self._names is None, frozenset(names)
        if is_first and self.host in names:
            # The first list has it already: the host was started again.
            return True
        if names != self._names:
            self._names = names
            self._changed_s = now
        return self.host in names and now - self._changed_s >= SETTLED_S
