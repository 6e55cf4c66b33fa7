"""Server-sent events of a token stream."""

import re

MAX_EVENT_BYTES = 1024 * 1024
MAX_END_BYTES = 4
_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,15})(?=[\r\n])")


class EventSplitter:
    r"""Splits a byte stream into complete events and drops duplicates.

    Parameters
    ----------
    last_id : int or None, default=None
        ID of the last event that the caller has received; events up to it are
        dropped.

    Attributes
    ----------
    last_id : int or None
        ID of the last complete event.
    has_events : bool
        Whether the response contained a complete event, returned or dropped.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.split_chunk(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.split_chunk(b"ta: b\n\n")
    (1, b'id: 2\ndata: b\n\n')
    """

    def __init__(self, last_id=None):
        self.last_id = last_id
        self.has_events = False
        self._buffer = b""

    @property
    def partial_event_bytes(self):
        """Number of bytes after the last complete event, without line ends."""
        return len(self._buffer.strip(b"\r\n"))

    @property
    def is_event_too_long(self):
        """Whether the bytes after the last complete event are more than any event."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def split_chunk(self, chunk):
        """Add bytes of the stream and return the events that are now complete.

        Parameters
        ----------
        chunk : bytes
            Next bytes from the upstream.

        Returns
        -------
        bytes
            Complete events that were not returned before; may be empty.
        """
        # The end of an event may begin in the last bytes of the buffer.
        searched = max(len(self._buffer) - MAX_END_BYTES, 0)
        data = self._buffer + chunk
        events = []
        start = 0
        for match in _END_OF_EVENT.finditer(data, searched):
            self._append_new(data[start : match.end()], events)
            start = match.end()
        self._buffer = data[start:]
        return b"".join(events)

    def restart(self):
        """Discard the incomplete event at the end of a broken response."""
        self.has_events = False
        self._buffer = b""

    def flush(self):
        """Return the bytes after the last complete event, at the end of a stream."""
        remainder, self._buffer = self._buffer, b""
        return remainder

    def _append_new(self, event, events):
        self.has_events = True
        match = _EVENT_ID.search(event)
        if match is not None:
            event_id = int(match.group(1))
            if self.last_id is not None and event_id <= self.last_id:
                return
            self.last_id = event_id
        events.append(event)
