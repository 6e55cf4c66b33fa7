"""Retries and requests of the last seconds, counted in short intervals."""

import collections
import math

import attrs

INTERVALS_PER_WINDOW = 50


@attrs.define
class RetryWindow:
    """Limits the retries of any window to a share of its requests and a slack.

    A retry counts from its withdrawal until a window after it has been read.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request, 0 to 1.
    window_s : float
        Length of the window, seconds, above 0.

    Examples
    --------
    >>> window = RetryWindow(ratio=0.5, window_s=10.0)
    >>> window.has_retry(slack=0.0, now=0.0)
    False
    >>> window.add_request(0.0)
    >>> window.add_request(0.0)
    >>> window.has_retry(slack=0.0, now=0.1)
    True
    >>> window.add_retry(read_s=3.0)
    >>> window.has_retry(slack=0.0, now=0.1), window.has_retry(slack=1.0, now=0.1)
    (False, True)
    """

    ratio: float
    window_s: float
    _requests_by_interval: collections.Counter = attrs.field(
        factory=collections.Counter, init=False
    )
    _retries_by_interval: collections.Counter = attrs.field(
        factory=collections.Counter, init=False
    )

    def add_request(self, now):
        """Count a request at ``now``, seconds."""
        self._drop_old(now)
        self._requests_by_interval[self._find_interval(now)] += 1

    def add_retry(self, read_s):
        """Count a retry that is read at ``read_s`` at the latest, seconds."""
        self._retries_by_interval[self._find_interval(read_s)] += 1

    def move_retry(self, old_read_s, read_s):
        """Count a retry as read at another time than was expected, seconds."""
        interval = self._find_interval(old_read_s)
        if self._retries_by_interval[interval] > 0:
            self._retries_by_interval[interval] -= 1
            self.add_retry(read_s)

    def has_retry(self, slack, now):
        """Return whether one more retry is allowed.

        Parameters
        ----------
        slack : float
            Retries allowed besides those for the requests of the window, 0 or more.
        now : float
            Current time, seconds.
        """
        self._drop_old(now)
        allowed = slack + self.ratio * self._requests_by_interval.total()
        return self._retries_by_interval.total() + 1 <= allowed

    def _drop_old(self, now):
        # Of the oldest interval, requests no longer count and retries still do.
        oldest = self._find_interval(now - self.window_s)
        _drop_before(self._requests_by_interval, oldest + 1)
        _drop_before(self._retries_by_interval, oldest)

    def _find_interval(self, at_s):
        return math.floor(at_s / self.window_s * INTERVALS_PER_WINDOW)


def _drop_before(counter, oldest):
    for interval in [each for each in counter if each < oldest]:
        del counter[interval]
