"""Server-sent events of a token stream."""

import re

MAX_EVENT_BYTES = 1024 * 1024
MAX_END_BYTES = 4
_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,15})(?=[\r\n])")
_DATA = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n])")
# A comment has an empty name; a byte order mark may precede the first event.
_FIELD = re.compile(
    rb"(?:^(?:\xef\xbb\xbf)?|[\r\n])(?:(?:id|data|event|retry)(?![^:\r\n])|:)"
)
_ERROR_TYPE = re.compile(rb"(?:^|[\r\n])event:[ ]?error(?=[\r\n])")
# The status line and first header of a response; in an event, a line with the name of
# a field would follow.
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n"
    rb"(?!(?:id|data|event|retry)?:)[!-9;-~]+:"
)


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
    is_resumable : bool
        Whether the ID of the last event says where the stream goes on: false after
        data without an ID.
    has_error : bool
        Whether the stream contained an error in place of an event; the bytes from
        there on are discarded.

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
        self.is_resumable = True
        self.has_events = False
        self.has_error = False
        self._buffer = b""

    @property
    def partial_event_bytes(self):
        """Number of bytes after the last complete event, without line ends."""
        return len(self._buffer.strip(b"\r\n"))

    @property
    def is_event_too_long(self):
        """Whether the bytes after the last complete event are more than any event."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def split_chunk(self, chunk, is_stream=False):
        """Add bytes of the stream and return the events that are now complete.

        Parameters
        ----------
        chunk : bytes
            Next bytes from the upstream.
        is_stream : bool, default=False
            Whether the response says that it is a stream of events, so that anything
            else in it is an error.

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
            event = data[start : match.end()]
            start = match.end()
            if is_stream and self._is_error(event):
                self.has_error = True
                start = len(data)
                break
            self._append_new(event, events)
        self._buffer = data[start:]
        return b"".join(events)

    def restart(self):
        """Discard the incomplete event at the end of a broken response."""
        self.has_events = False
        self.has_error = False
        self._buffer = b""

    def flush(self):
        """Return the bytes after the last complete event, at the end of a stream."""
        remainder, self._buffer = self._buffer, b""
        return remainder

    def _is_error(self, event):
        """Return whether the upstream has written an error in place of an event."""
        if not event.strip(b"\r\n"):
            return False
        if _FIELD.search(event) is None or _RESPONSE_HEAD.search(event) is not None:
            return True
        is_numbered = _EVENT_ID.search(event) is not None
        if is_numbered or self.last_id is None:
            return False
        return _ERROR_TYPE.search(event) is not None

    def _append_new(self, event, events):
        self.has_events = True
        match = _EVENT_ID.search(event)
        if match is not None:
            event_id = int(match.group(1))
            if self.last_id is not None and event_id <= self.last_id:
                return
            self.last_id = event_id
            self.is_resumable = True
        elif _DATA.search(event) is not None:
            self.is_resumable = False
        events.append(event)
