"""HTTP connections that reject responses which are cut off, malformed or endless.

`http.client` accepts the end of the connection as the end of a line: a cut-off list
of headers counts as complete, without the length of the body, and a cut-off chunk
size may be read as 0, which ends the body. It also limits each read of a socket but
not all of them together, so that a head or a list of trailers may go on without end.
Of interim responses, it takes all but those with status 100 for the response itself.
A line without a colon ends its list of headers, so that it loses those that follow,
and a body whose length or encoding it cannot read ends with the connection. It takes
numbers of more digits, and those beyond 599, for a status.

The kernel reports a reset once. If that is while a request is sent, which `urllib3`
ignores, what has arrived of a response seems to end regularly.
"""

import contextlib
import email.errors
import http
import http.client
import io
import re
import time

import urllib3
import urllib3.connection

# Lines of a head, or lines between two parts of a body.
MAX_LINES_BYTES = 65_536
MAX_BODY_BYTES = 64 * 1024 * 1024
# A few objects of the largest size that the platform's store accepts.
MAX_REPLY_BYTES = 8 * 1024 * 1024
MAX_BODY_S = 30.0
READ_BYTES = 65_536
MIN_TIMEOUT_S = 0.001
INTERIM_STATUSES = range(100, 200)
# The headers after a malformed line have not been parsed.
LOST_HEADERS_DEFECT = email.errors.MissingHeaderBodySeparatorDefect

_LENGTH = re.compile(r"[0-9]+[ \t]*")
_STATUS = re.compile(rb"[1-5][0-9][0-9]")


class _TimedReader(io.RawIOBase):
    """Reader of a socket that may have to end by a point in time."""

    def __init__(self, raw, sock):
        self.raw = raw
        self.sock = sock
        self._ends_s = None

    @contextlib.contextmanager
    def limit_time(self, ends_s):
        """Limit all reads in the context together, to a time of the monotonic clock."""
        timeout_s = self.sock.gettimeout()
        remaining_s = ends_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the lines of a response took too long")
        self._ends_s = ends_s
        try:
            yield
        finally:
            self._ends_s = None
            self.sock.settimeout(timeout_s)

    def readinto(self, buffer):
        if self._ends_s is not None:
            remaining_s = max(self._ends_s - time.monotonic(), MIN_TIMEOUT_S)
            self.sock.settimeout(remaining_s)
        return self.raw.readinto(buffer)

    def readable(self):
        return True

    def fileno(self):
        return self.raw.fileno()

    def close(self):
        self.raw.close()
        super().close()


class _LineReader(io.BufferedReader):
    """Reader that raises for lines that are malformed, or together too long or slow.

    Lines count together until a part of a body is read. They have the time that the
    timeout of the socket allows for a single read.
    """

    has_ended = False
    last_line = b""
    _lines_bytes = 0
    _lines_end_s = None

    def readline(self, size=-1):
        if self._lines_end_s is None:
            timeout_s = self.raw.sock.gettimeout()
            self._lines_end_s = time.monotonic() + (timeout_s or MAX_BODY_S)
        with self.raw.limit_time(self._lines_end_s):
            line = super().readline(size)
        self.has_ended = not line
        self.last_line = line
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            raise http.client.LineTooLong("head or chunk")
        if line and len(line) != size and not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        if b"\r" in line.removesuffix(b"\n").removesuffix(b"\r"):
            raise http.client.HTTPException("a carriage return inside a line")
        return line

    def read(self, size=-1):
        self._begin_body()
        return super().read(size)

    def read1(self, size=-1):
        self._begin_body()
        return super().read1(size)

    def readinto(self, buffer):
        self._begin_body()
        return super().readinto(buffer)

    def _begin_body(self):
        self._lines_bytes = 0
        self._lines_end_s = None


class _CheckedResponse(http.client.HTTPResponse):
    """Response whose head is whole and of limited size, as is a body read at once."""

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp = _LineReader(_TimedReader(self.fp.detach(), sock))

    def begin(self):
        """Read the head of the response, and those of interim responses before it.

        Raises
        ------
        http.client.HTTPException
            If a head is cut off or malformed, or switches to another protocol.
        """
        self._read_head()
        while self.status in INTERIM_STATUSES:
            if self.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise http.client.UnknownProtocol("switched to another protocol")
            # The base class reads a head only if it has none yet.
            self.headers = None
            self._read_head()

    def read(self, amt=None):
        """Read up to ``amt`` bytes of the body, or all of it.

        Raises
        ------
        http.client.HTTPException
            If all of the body is longer than `get_max_body_bytes`, takes longer than
            `MAX_BODY_S` or is cut off.
        """
        if amt is not None:
            return super().read(amt)
        body = bytearray()
        max_bytes = self.get_max_body_bytes()
        ends_s = time.monotonic() + MAX_BODY_S
        while chunk := self.read1(READ_BYTES):
            body += chunk
            if len(body) > max_bytes or time.monotonic() > ends_s:
                raise http.client.HTTPException("the body is too long")
        if self.length:
            raise http.client.IncompleteRead(bytes(body), self.length)
        if not self.isclosed():
            # Mark a response as read whose length has been read exactly.
            super().read()
        return bytes(body)

    def get_max_body_bytes(self):
        """Return the maximum size of a body that is read at once, in bytes."""
        return MAX_BODY_BYTES

    def _read_status(self):
        line = super()._read_status()
        if not _STATUS.fullmatch(self.fp.last_line.split()[1]):
            raise http.client.BadStatusLine("no status")
        return line

    def _read_head(self):
        super().begin()
        if self.fp is not None and self.fp.has_ended:
            raise http.client.IncompleteRead(b"")
        if any(isinstance(each, LOST_HEADERS_DEFECT) for each in self.headers.defects):
            raise http.client.HTTPException("a line of the head is no header")
        self._check_framing()

    def _check_framing(self):
        lengths = self.headers.get_all("Content-Length", [])
        if not all(map(_LENGTH.fullmatch, lengths)):
            raise http.client.HTTPException("the length of the body is no number")
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if encodings and not (self.chunked and len(encodings) == 1):
            raise http.client.HTTPException("the body is not only chunked")


class _CheckedReply(_CheckedResponse):
    """Response that holds a document, not a caller's body."""

    def get_max_body_bytes(self):
        return MAX_REPLY_BYTES


class CheckedConnection(urllib3.connection.HTTPConnection):
    """Connection that raises for a response whose lines are cut off or endless.

    Attributes
    ----------
    sent_requests : int
        Requests that were sent since it was last opened.
    """

    response_class = _CheckedResponse
    sent_requests = 0
    _has_broken = False

    def connect(self):
        """Open the connection."""
        super().connect()
        self.sent_requests = 0
        self._has_broken = False

    def request(self, *args, **kwargs):
        """Send a request, see `urllib3.connection.HTTPConnection.request`."""
        try:
            super().request(*args, **kwargs)
        except (BrokenPipeError, ConnectionResetError):
            self._has_broken = True
            raise
        self.sent_requests += 1

    def getresponse(self):
        """Read the head of the response.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If the connection broke while the request was sent, and the response does
            not state its length: it may have been cut.
        """
        response = super().getresponse()
        is_framed = response.chunked or response.length_remaining is not None
        if self._has_broken and not is_framed:
            self.close()
            raise urllib3.exceptions.ProtocolError("broke while a request was sent")
        return response


class CheckedPool(urllib3.HTTPConnectionPool):
    """Pool of checked connections to one host."""

    ConnectionCls = CheckedConnection


class _ReplyConnection(CheckedConnection):
    """Connection whose responses are documents of limited size."""

    response_class = _CheckedReply


class ReplyPool(CheckedPool):
    """Pool of connections to one host whose responses are documents.

    A longer body than `MAX_REPLY_BYTES` raises `urllib3.exceptions.ProtocolError`.
    """

    ConnectionCls = _ReplyConnection


def open_single_use_pool(address):
    """Open a pool for one request, whose connection has carried no other.

    Parameters
    ----------
    address : str
        IP address and port.

    Returns
    -------
    CheckedPool
        Pool to close after the request; it does not retry.
    """
    url = urllib3.util.parse_url(f"http://{address}")
    return CheckedPool(url.host, url.port, maxsize=1, retries=False)


def open_single_use_reply_pool(address):
    """Open a `ReplyPool` for one request, see `open_single_use_pool`."""
    url = urllib3.util.parse_url(f"http://{address}")
    return ReplyPool(url.host, url.port, maxsize=1, retries=False)


class CheckedPoolManager(urllib3.PoolManager):
    """Pools of checked connections to many hosts.

    Parameters
    ----------
    pool_class : type, default=CheckedPool
        Class of the pools.
    **options : object
        Parameters of `urllib3.PoolManager`.
    """

    def __init__(self, pool_class=CheckedPool, **options):
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": pool_class}


class ReplyPoolManager(CheckedPoolManager):
    """Pools of connections to many hosts whose responses are documents.

    Parameters
    ----------
    **options : object
        Parameters of `urllib3.PoolManager`.
    """

    def __init__(self, **options):
        super().__init__(ReplyPool, **options)
