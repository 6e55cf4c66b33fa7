"""Holds a retry while every upstream that may get it is silent."""

# A sound upstream that stands still goes on within about a second.
MAX_HOLD_S = 1.5
INTERVAL_S = 0.05


class SilenceWait:
    """Waits of one request before its retries.

    Parameters
    ----------
    contacts : Contacts
        Contacts of this host.
    hold_ended : threading.Event
        Ends a wait early.
    """

    def __init__(self, contacts, hold_ended):
        self.contacts = contacts
        self.hold_ended = hold_ended
        self._held_s = 0.0

    def wait(self, names, may_get, now):
        """Wait a moment if a retry would lie unread, at whichever upstream.

        Parameters
        ----------
        names : collection of str
            Upstreams to which the request has not been sent.
        may_get : callable
            Returns whether the upstream of a name may get requests at all.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether it has waited, so that all is to be decided again.
        """
        if self._held_s >= MAX_HOLD_S:
            return False
        heard = self.contacts.select_heard(names, now)
        if any(map(may_get, heard)):
            return False
        if not any(may_get(name) for name in names if name not in heard):
            return False
        self._held_s += INTERVAL_S
        self.hold_ended.wait(INTERVAL_S)
        return True
