"""What one request shows of the upstreams that get it."""


class AttemptContact:
    """Records the attempts of one request, one after the other.

    Parameters
    ----------
    contacts : Contacts
        Contacts of this host.
    """

    def __init__(self, contacts):
        self.contacts = contacts
        self._name = None
        self._sent_s = 0.0
        self._has_head = False

    def begin(self, name, now):
        """Record that an attempt is sent to the upstream ``name`` at ``now``."""
        self._name, self._sent_s, self._has_head = name, now, False
        self.contacts.record_sent(name, now)

    def hear(self, now):
        """Record that the upstream of the attempt has sent something."""
        if self._name is None:
            return
        response_s = None if self._has_head else now - self._sent_s
        self._has_head = True
        self.contacts.record_heard(self._name, now, response_s)

    def end(self, was_waiting=False):
        """Record the end of the attempt, if one has not ended.

        Parameters
        ----------
        was_waiting : bool, default=False
            Whether it was given up while it waited for its response.
        """
        if self._name is None:
            return
        self.contacts.record_ended(self._name, was_waiting)
        self._name = None
