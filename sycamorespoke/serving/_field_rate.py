"""Bound on the time that heads of very many fields take from all callers."""

# Heads up to this many fields are always read.
FREE_FIELDS = 256
# Some 60 ms of work each second.
FIELDS_PER_S = 20_000.0


class FieldRate:
    """Token bucket for the fields of heads that have very many.

    Parameters
    ----------
    now : float
        Current time, seconds of the boot clock.

    Examples
    --------
    >>> rate = FieldRate(now=0.0)
    >>> rate.admit(200, 0.0), rate.admit(16_000, 0.0), rate.admit(16_000, 0.0)
    (True, True, False)
    >>> rate.admit(16_000, 1.0)
    True
    """

    def __init__(self, now):
        self._fields = FIELDS_PER_S
        self._updated_s = now

    def admit(self, count, now):
        """Return whether a head may be read.

        Parameters
        ----------
        count : int
            Number of its fields. More than the rate of one second are admitted
            once the bucket is full.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            ``False`` if others of that sort were read a moment ago.
        """
        if count <= FREE_FIELDS:
            return True
        refill = max(now - self._updated_s, 0.0) * FIELDS_PER_S
        self._fields = min(self._fields + refill, FIELDS_PER_S)
        self._updated_s = now
        if self._fields < min(count, FIELDS_PER_S):
            return False
        self._fields -= count
        return True
