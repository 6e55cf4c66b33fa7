"""How old a target version is, which decides whether older weights may still be used.

A host that starts, or whose reads were interrupted, sees a target version later than
it was named. What counts is the earliest time at which it may have been named: the
last time at which the source confirmed that it was not, or what a host knows that
saw it named.
"""

import attrs

# A target of which no more is known than that it was named within a longer time is
# worth asking other hosts about.
MAX_UNCERTAINTY_S = 1.5


@attrs.frozen
class NamingTime:
    """When a target version was named, as far as this host knows.

    Parameters
    ----------
    after_s : float, default=-inf
        Earliest time at which it may have been named, seconds of the boot clock;
        ``-inf`` if unknown.
    seen_s : float, default=inf
        When a host first saw it, seconds of the boot clock.
    """

    after_s: float = float("-inf")
    seen_s: float = float("inf")

    @property
    def is_uncertain(self):
        """Whether another host may know much better when it was named."""
        return self.seen_s - self.after_s > MAX_UNCERTAINTY_S

    def compute_max_age_s(self, now):
        """Return the maximum age of the target at ``now``, seconds; may be ``inf``."""
        return now - self.after_s


def combine_naming_times(own, other):
    """Combine what two hosts know of when a target version was named.

    Parameters
    ----------
    own, other : NamingTime
        What they know, in the same clock.

    Returns
    -------
    NamingTime
        The latest of the earliest times, but none after a host had seen the target.

    Examples
    --------
    >>> combine_naming_times(NamingTime(seen_s=9.0), NamingTime(4.0, 4.5))
    NamingTime(after_s=4.0, seen_s=4.5)
    >>> combine_naming_times(NamingTime(8.0, 9.0), NamingTime(4.0, 4.5))
    NamingTime(after_s=4.5, seen_s=4.5)
    """
    seen_s = min(own.seen_s, other.seen_s)
    return NamingTime(min(max(own.after_s, other.after_s), seen_s), seen_s)


def may_begin_on_older_weights(named, begin_s, grace_s):
    """Decide whether a request may begin on weights older than the target version.

    Parameters
    ----------
    named : NamingTime
        When the target was named.
    begin_s : float
        When the request begins at the latest, seconds of the boot clock.
    grace_s : float
        Time after a target was named for which older weights may be used, seconds.

    Returns
    -------
    bool
        ``False`` if the time at which the target was named is unknown.

    Examples
    --------
    >>> may_begin_on_older_weights(NamingTime(4.0, 4.5), 9.0, 6.0)
    True
    >>> may_begin_on_older_weights(NamingTime(), 9.0, 6.0)
    False
    """
    return named.compute_max_age_s(begin_s) < grace_s
