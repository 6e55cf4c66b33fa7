"""When an upstream was last heard of, and since when requests wait for that."""

import attrs

# An upstream is silent if requests wait for this multiple of its usual response time,
# and this long at least.
PATIENCE_FACTOR = 3.0
MIN_PATIENCE_S = 0.1
# It counts as silent for this long after the last request, if none is in flight.
MEMORY_S = 2.0
# An upstream that was heard of within this time probably runs.
RECENT_S = 0.5
# Weight of the latest response in the usual response time.
SMOOTHING = 0.2


@attrs.frozen
class Contact:
    """What the requests of a host have shown of one start of an upstream.

    Parameters
    ----------
    in_flight : int, default=0
        Requests that were sent and have not ended.
    sent_s : float, default=-inf
        When the last request was sent, seconds.
    heard_s : float, default=-inf
        When the upstream last sent anything, seconds.
    waiting_since_s : float or None, default=None
        Since when a request waits and nothing has been heard, seconds; ``None`` if none
        waits.
    usual_s : float, default=0.0
        Usual time from the sending of a request to the head of its response, seconds.

    Examples
    --------
    >>> contact = Contact().send(10.0)
    >>> contact.is_silent(10.05), contact.is_silent(10.15)
    (False, True)
    >>> contact.hear(10.3).is_silent(10.4)
    False
    """

    in_flight: int = 0
    sent_s: float = float("-inf")
    heard_s: float = float("-inf")
    waiting_since_s: float | None = None
    usual_s: float = 0.0

    def send(self, now):
        """Return the contact once a request has been sent at ``now``."""
        since_s = now if self.waiting_since_s is None else self.waiting_since_s
        return attrs.evolve(
            self,
            in_flight=self.in_flight + 1,
            sent_s=now,
            waiting_since_s=since_s,
        )

    def hear(self, now, response_s=None):
        """Return the contact once the upstream has sent something.

        Parameters
        ----------
        now : float
            Current time, seconds.
        response_s : float or None, default=None
            If it was the head of a response: time since its request was sent, seconds.
        """
        usual_s = self.usual_s
        if response_s is not None:
            usual_s = _smooth(usual_s, response_s)
        since_s = now if self.in_flight else None
        return attrs.evolve(self, heard_s=now, waiting_since_s=since_s, usual_s=usual_s)

    def end(self, was_waiting):
        """Return the contact once a request has ended.

        Parameters
        ----------
        was_waiting : bool
            Whether it was given up while it waited for its response. Then the upstream
            still has not been heard of.
        """
        in_flight = self.in_flight - 1
        since_s = self.waiting_since_s
        if not was_waiting and not in_flight:
            since_s = None
        return attrs.evolve(self, in_flight=in_flight, waiting_since_s=since_s)

    def is_silent(self, now):
        """Return whether requests have waited at ``now`` for unusually long."""
        if self.waiting_since_s is None:
            return False
        if not self.in_flight and now - self.sent_s >= MEMORY_S:
            return False
        patience_s = max(PATIENCE_FACTOR * self.usual_s, MIN_PATIENCE_S)
        return now - self.waiting_since_s >= patience_s

    def is_recent(self, now):
        """Return whether the upstream was heard of shortly before ``now``."""
        return now - self.heard_s < RECENT_S and not self.is_silent(now)


def _smooth(usual_s, response_s):
    if not usual_s:
        return response_s
    return usual_s + SMOOTHING * (response_s - usual_s)
