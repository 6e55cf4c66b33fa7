"""Events of a token stream as an upstream sends them."""

import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,15})(?=[\r\n])")


class EventSplitter:
    r"""Passes on whole events only, each once.

    Parameters
    ----------
    last_id : int or None, default=None
        Last event that the caller has; events up to it are left out.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.feed(b"ta: b\n\n")
    (1, b'id: 2\ndata: b\n\n')
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._rest = b""

    def feed(self, chunk):
        """Take bytes of the upstream.

        Parameters
        ----------
        chunk : bytes
            What arrived next.

        Returns
        -------
        bytes
            The whole events so far; may be empty.
        """
        text = self._rest + chunk
        events = []
        start = 0
        for match in _END_OF_EVENT.finditer(text):
            self._take(text[start : match.end()], events)
            start = match.end()
        self._rest = text[start:]
        return b"".join(events)

    def restart(self):
        """Drop the part of an event that a broken stream left."""
        self._rest = b""

    def flush(self):
        """Return what follows the last whole event at the end of a stream."""
        rest, self._rest = self._rest, b""
        return rest

    def _take(self, event, events):
        match = _EVENT_ID.search(event)
        if match is not None:
            event_id = int(match.group(1))
            if self.last_id is not None and event_id <= self.last_id:
                return
            self.last_id = event_id
        events.append(event)
