"""The answer of a model engine, checked line by line."""

import collections
import contextlib
import http.client

import attrs
import msgspec

READ_BYTES = 65536
CHUNK_END = b"\r\n"
BROKEN_STREAM_ERRORS = (http.client.HTTPException, OSError, ValueError)


class Line(msgspec.Struct):
    """One line of an engine's answer; which fields are set tells its kind."""

    request_id: str
    boot_id: str | None = None
    version: str | None = None
    cached_tokens: int | None = None
    prompt_tokens: int | None = None
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
        Changes with each start of the engine.
    version : str
        Weight version in use.
    cached_tokens : int
        Prompt tokens that were not computed anew.
    prompt_tokens : int
        All prompt tokens.
    """

    boot_id: str
    version: str
    cached_tokens: int
    prompt_tokens: int


@attrs.frozen
class Token:
    """The next token of a stream."""

    text: str


@attrs.frozen
class Done:
    """The stream is whole; ``reason`` is ``"stop"`` or ``"length"``."""

    reason: str


@attrs.frozen
class Incomplete:
    """Sentinel: the stream ended before it was whole."""

    reason: str


@attrs.frozen
class Mismatch:
    """Sentinel: the stream is not the answer to its request."""

    reason: str


TERMINAL_MESSAGES = (Done, Incomplete, Mismatch)


class EngineStream:
    """The answer of an engine, checked line by line.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        The open response.
    request : GenerationRequest
        The request that it answers.

    Notes
    -----
    Only `Done` says that every token has arrived: each line must carry the
    request's id, token indexes follow one another without gap or repetition,
    and the last line's count equals the tokens seen.
    """

    def __init__(self, response, request):
        self.response = response
        self.request = request
        self._next_index = request.start_at
        self._decoder = msgspec.json.Decoder(Line)
        self._rest = b""
        self._unread = collections.deque()
        # urllib3's own reading costs a third more for each token.
        self._body = response._fp

    def messages(self):
        """Iterate over the messages of the stream.

        Yields
        ------
        Started or Token or Done or Incomplete or Mismatch
            Nothing follows `Done`, `Incomplete` or `Mismatch`.
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
        """Read the messages that have arrived; wait while nothing has.

        Returns
        -------
        list of Started or Token or Done or Incomplete or Mismatch
            Nothing follows `Done`, `Incomplete` or `Mismatch`; empty when only a part
            of a line has arrived.
        """
        if self._unread:
            messages = list(self._unread)
            self._unread.clear()
            return messages
        try:
            return self._check_all(self._read_chunks())
        except BROKEN_STREAM_ERRORS as error:
            return [Incomplete(f"the stream broke: {type(error).__name__}")]

    def is_selectable(self):
        """Tell whether a selector may wait for this stream's next message.

        Returns
        -------
        bool
            False for an answer that is not sent in chunks.
        """
        connection = self.response.connection
        return bool(self._body.chunked and connection and connection.sock)

    def has_unread_messages(self):
        """Tell whether messages have arrived that no selector can see."""
        return bool(self._unread) or self._has_buffered()

    def fileno(self):
        """Return the file descriptor for a selector."""
        return self._body.fileno()

    def set_partial_chunk_timeout(self, timeout_s):
        """Bound the wait for the rest of a chunk that has arrived in part.

        Parameters
        ----------
        timeout_s : float
            Seconds, above 0; after it the stream counts as cut.
        """
        self.response.connection.sock.settimeout(timeout_s)

    def close(self):
        """Close the connection, which cancels a running request."""
        self.response.close()

    def _read_chunks(self):
        chunks = [self._body.read1(READ_BYTES)]
        # What has been read must not be lost; the next read fails again.
        with contextlib.suppress(*BROKEN_STREAM_ERRORS):
            while chunks[-1] and self._has_buffered():
                chunks.append(self._body.read1(READ_BYTES))
        return b"".join(chunks)

    def _has_buffered(self):
        buffer = self._body.fp
        if buffer is None or not self._body.chunked or self._body.chunk_left:
            return False
        # A chunk's own line end stays in the buffer until the next is read. Of
        # the next, its size and some data must be there, or reading would wait.
        _, _, data = buffer.peek()[len(CHUNK_END) :].partition(CHUNK_END)
        return bool(data)

    def _check_all(self, data):
        if not data:
            return [Incomplete("the engine closed the stream")]
        *lines, self._rest = (self._rest + data).split(b"\n")
        messages = []
        for line in lines:
            messages.append(self._check(line))
            if isinstance(messages[-1], Done):
                self._release()
            if isinstance(messages[-1], TERMINAL_MESSAGES):
                return messages
        if self._body.isclosed():
            messages.append(Incomplete("the engine ended the answer without a count"))
        return messages

    def _check(self, raw):
        try:
            line = self._decoder.decode(raw)
        except msgspec.DecodeError as error:
            return Mismatch(f"malformed line: {error}")
        if line.request_id != self.request.request_id:
            return Mismatch("a line carries the id of another request")
        if line.done:
            return self._check_done(line)
        if line.index is None:
            return self._check_started(line)
        return self._check_token(line)

    def _check_started(self, line):
        if line.version != self.request.version:
            return Mismatch("the engine answers with another weight version")
        return Started(
            line.boot_id or "",
            line.version,
            line.cached_tokens or 0,
            line.prompt_tokens or 0,
        )

    def _check_token(self, line):
        if line.index != self._next_index:
            return Mismatch(f"token {line.index} in place of {self._next_index}")
        if line.text is None:
            return Mismatch(f"token {line.index} has no text")
        self._next_index += 1
        return Token(line.text)

    def _check_done(self, line):
        if line.count != self._next_index:
            return Mismatch(f"{line.count} tokens counted, {self._next_index} seen")
        return Done(line.reason or "stop")

    def _release(self):
        self.response.drain_conn()
        self.response.release_conn()
