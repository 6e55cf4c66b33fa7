"""Parsing and validation of the streamed response of a model engine."""

import collections
import contextlib
import http.client

import attrs
import msgspec

READ_BYTES = 65536
CHUNK_END = b"\r\n"
BROKEN_STREAM_ERRORS = (http.client.HTTPException, OSError, ValueError)


class Line(msgspec.Struct):
    """One line of an engine's response; the fields that are set determine its kind."""

    request_id: str
    boot_id: str | None = None
    version: str | None = None
    cached_tokens: int | None = None
    prompt_tokens: int | None = None
    software_version: str | None = None
    index: int | None = None
    text: str | None = None
    done: bool = False
    count: int | None = None
    reason: str | None = None


@attrs.frozen
class Started:
    """The engine has accepted the request.

    Parameters
    ----------
    boot_id : str
        Boot ID of the engine, which changes with each start.
    version : str
        Weight version that serves the request.
    cached_tokens : int
        Number of prompt tokens that were read from the cache.
    prompt_tokens : int
        Total number of prompt tokens.
    software_version : str, default=""
        Version of the engine's software; empty if not stated.
    """

    boot_id: str
    version: str
    cached_tokens: int
    prompt_tokens: int
    software_version: str = ""

    def may_continue(self, other):
        """Return whether this engine may continue a stream that another one began.

        Parameters
        ----------
        other : Started
            First line of the stream.

        Examples
        --------
        >>> begun = Started("b1", "w1", 0, 9, software_version="1.0")
        >>> Started("b2", "w1", 0, 9, software_version="1.0").may_continue(begun)
        True
        >>> Started("b2", "w1", 0, 9).may_continue(Started("b1", "w1", 0, 9))
        False
        """
        if self.boot_id and self.boot_id == other.boot_id:
            return True
        is_known = self.software_version != ""
        return is_known and self.software_version == other.software_version


@attrs.frozen
class Token:
    """The next token of a stream."""

    text: str


@attrs.frozen
class Done:
    """The stream is complete; ``reason`` is ``"stop"`` or ``"length"``."""

    reason: str


@attrs.frozen
class Incomplete:
    """Sentinel: the stream ended before it was complete."""

    reason: str


@attrs.frozen
class Mismatch:
    """Sentinel: the stream is malformed or does not belong to the request."""

    reason: str


TERMINAL_MESSAGES = (Done, Incomplete, Mismatch)


class EngineStream:
    """Streamed response of an engine, validated line by line.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Open response.
    request : GenerationRequest
        Request to which the engine responds.

    Notes
    -----
    Only `Done` confirms that every token has arrived: each line must carry the
    request ID, token indexes must be consecutive, and the token count in the last
    line must match the last index.
    """

    def __init__(self, response, request):
        self.response = response
        self.request = request
        self._next_index = request.start_at
        self._decoder = msgspec.json.Decoder(Line)
        self._partial_line = b""
        self._unread = collections.deque()
        # Reading through urllib3 costs a third more per token.
        self._body = response._fp

    def messages(self):
        """Iterate over the messages of the stream.

        Yields
        ------
        Started or Token or Done or Incomplete or Mismatch
            Messages in order; `Done`, `Incomplete` or `Mismatch` is the last.
        """
        try:
            while True:
                self._unread.extend(self.read_available())
                while self._unread:
                    message = self._unread.popleft()
                    yield message
                    if isinstance(message, TERMINAL_MESSAGES):
                        return
        finally:
            self.close()

    def read_available(self):
        """Return the messages that have arrived, or wait for data if there are none.

        Returns
        -------
        list of Started or Token or Done or Incomplete or Mismatch
            Messages in order; none follows `Done`, `Incomplete` or `Mismatch`. Empty
            if only part of a line has arrived.
        """
        if self._unread:
            messages = list(self._unread)
            self._unread.clear()
            return messages
        try:
            return self._parse_lines(self._read_chunks())
        except BROKEN_STREAM_ERRORS as error:
            return [Incomplete(f"the stream broke: {type(error).__name__}")]

    def is_selectable(self):
        """Return whether a selector can wait for the next message of the stream.

        Returns
        -------
        bool
            False for a response without chunked transfer encoding.
        """
        connection = self.response.connection
        return bool(self._body.chunked and connection and connection.sock)

    def has_unread_messages(self):
        """Return whether buffered data is available that a selector does not report."""
        return bool(self._unread) or self._has_buffered_data()

    def fileno(self):
        """Return the file descriptor of the connection, for a selector."""
        return self._body.fileno()

    def set_partial_chunk_timeout(self, timeout_s):
        """Set the timeout for the rest of a chunk that has partly arrived.

        Parameters
        ----------
        timeout_s : float
            Timeout, in seconds, above 0, after which the stream is `Incomplete`.
        """
        self.response.connection.sock.settimeout(timeout_s)

    def close(self):
        """Close the connection, which cancels a running request."""
        self.response.close()

    def _read_chunks(self):
        chunks = [self._body.read1(READ_BYTES)]
        # An error here is ignored, so that the data read so far is returned. The next
        # read raises it again.
        with contextlib.suppress(*BROKEN_STREAM_ERRORS):
            while chunks[-1] and self._has_buffered_data():
                chunks.append(self._body.read1(READ_BYTES))
        return b"".join(chunks)

    def _has_buffered_data(self):
        buffer = self._body.fp
        if buffer is None or not self._body.chunked or self._body.chunk_left:
            return False
        # The line end after a chunk stays in the buffer until the next chunk is read.
        # A read would block unless the size of the next chunk and some of its data
        # are also in the buffer.
        _, _, data = buffer.peek()[len(CHUNK_END) :].partition(CHUNK_END)
        return bool(data)

    def _parse_lines(self, data):
        if not data:
            return [Incomplete("the engine closed the stream")]
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        messages = []
        for line in lines:
            messages.append(self._parse_line(line))
            if isinstance(messages[-1], Done):
                self._release_connection()
            if isinstance(messages[-1], TERMINAL_MESSAGES):
                return messages
        if self._body.isclosed():
            messages.append(Incomplete("the response ended without a token count"))
        return messages

    def _parse_line(self, raw):
        try:
            line = self._decoder.decode(raw)
        except msgspec.DecodeError as error:
            return Mismatch(f"malformed line: {error}")
        if line.request_id != self.request.request_id:
            return Mismatch("a line has the ID of another request")
        if line.done:
            return self._parse_done(line)
        if line.index is None:
            return self._parse_started(line)
        return self._parse_token(line)

    def _parse_started(self, line):
        if line.version != self.request.version:
            return Mismatch("the engine serves another weight version")
        return Started(
            line.boot_id or "",
            line.version,
            line.cached_tokens or 0,
            line.prompt_tokens or 0,
            line.software_version or "",
        )

    def _parse_token(self, line):
        if line.index != self._next_index:
            return Mismatch(f"received token {line.index}, expected {self._next_index}")
        if line.text is None:
            return Mismatch(f"token {line.index} has no text")
        self._next_index += 1
        return Token(line.text)

    def _parse_done(self, line):
        if line.count != self._next_index:
            return Mismatch(f"token count is {line.count}, expected {self._next_index}")
        return Done(line.reason or "stop")

    def _release_connection(self):
        self.response.drain_conn()
        self.response.release_conn()
