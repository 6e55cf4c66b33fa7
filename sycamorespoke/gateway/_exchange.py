"""HTTP exchange of one attempt: sends the request and reads the response."""

import http.client

import urllib3.exceptions

from sycamorespoke import domain
from sycamorespoke.gateway import _requests

READ_BYTES = 65536
# An upstream gets this long beyond the deadline to respond that it has passed.
DEADLINE_GRACE_S = 0.05
MIN_TIMEOUT_S = 0.001
MAX_BODY_BYTES = 16 * 1024 * 1024
# A body that is not needed is read to its end within these limits, so that its
# connection can carry another request; otherwise the connection is closed.
MAX_DISCARDED_BYTES = 65_536
MAX_DISCARD_S = 0.2

CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class Exchange:
    """Sends a request to an upstream and reads the response.

    Parameters
    ----------
    protocol : object
        Builds the headers of requests to upstreams and parses those of responses.
    pool : ConnectionPool
        Connections to upstreams.
    read_clock : callable
        Returns the current time, seconds of the boot clock.
    request : Request
        The request.
    dispatch : Dispatch
        Upstream that gets the request, and the instructions for it.
    deadline_s : float
        Deadline of the request, seconds of the boot clock.
    gate : UpstreamGate
        Answers whether the request may still go to the upstream.

    Attributes
    ----------
    head : ResponseHead or None
        Head of the response, once it has been read.
    has_connected : bool
        Whether the upstream accepted a new connection for the request.
    """

    def __init__(self, protocol, pool, read_clock, request, dispatch, deadline_s, gate):
        self.protocol = protocol
        self.pool = pool
        self.read_clock = read_clock
        self.request = request
        self.dispatch = dispatch
        self.deadline_s = deadline_s
        self.gate = gate
        self.head = None
        self.has_connected = False
        self._connection = None
        self._response = None
        self._cancelled = False
        self._is_withdrawn = False

    @property
    def upstream(self):
        """The upstream of this attempt."""
        return self.dispatch.upstream

    def cancel(self):
        """Shut the connection down so that the upstream cancels the request.

        Safe to call from any thread.
        """
        self._cancelled = True
        connection = self._connection
        if connection is not None:
            connection.abort()

    def withdraw(self):
        """Take the request back from the upstream, so that it may go to another one.

        Safe to call from any thread.
        """
        self._is_withdrawn = True
        self.cancel()

    def open(self, limit):
        """Send the request and read the head of the response.

        Parameters
        ----------
        limit : int
            Maximum number of open connections of this host to the upstream.

        Returns
        -------
        ResponseHead or Failure
            Status and headers; the body is read with `read_whole` or `read_chunk`.
        """
        now = self.read_clock()
        # No response names a request without an ID.
        fresh = self.dispatch.needs_new_connection or not self.request.id
        connection = self.pool.acquire(self.upstream, limit, now, fresh)
        if connection is None:
            return _make_failure(domain.ErrorKind.OVERLOADED, "no connection is free")
        self._connection = connection
        if not connection.is_reused:
            failure = self._connect(connection)
            if failure is not None:
                return failure
        if self._cancelled:
            self.close()
            return self._make_cancelled()
        return self._send(connection)

    def read_whole(self, hold):
        """Read the rest of the response.

        Parameters
        ----------
        hold : serving.ByteHold
            Hold of the bytes of the body.

        Returns
        -------
        Response or Failure
            A failure means that the outcome of the request is unknown.
        """
        body = bytearray()
        while True:
            chunk = self.read_chunk()
            if isinstance(chunk, _requests.Failure):
                return chunk
            if not chunk:
                return _requests.Response(self.head, body)
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                return self.fail_too_long()
            if not hold.resize(len(body)):
                return self._fail_no_memory(hold)

    def discard_body(self):
        """Read the rest of a response that is not needed, or close the connection."""
        ends_s = self.read_clock() + MAX_DISCARD_S
        discarded_bytes = 0
        while discarded_bytes <= MAX_DISCARDED_BYTES:
            chunk = self.read_chunk(ends_s - self.read_clock())
            if not chunk or isinstance(chunk, _requests.Failure):
                return
            discarded_bytes += len(chunk)
        self.close()

    def fail_too_long(self):
        """Close the connection because the response is longer than can be held."""
        self.close()
        return _make_failure(
            domain.ErrorKind.UPSTREAM_LOST, "the response of the upstream is too long"
        )

    def _fail_no_memory(self, hold):
        if hold.is_owner_over:
            # This upstream's responses are too long together.
            return self.fail_too_long()
        self.close()
        reason = "there is no memory for the response of the upstream"
        return _make_failure(domain.ErrorKind.WITHDRAWN, reason)

    def read_chunk(self, timeout_s=None):
        """Read the next bytes of the body.

        Parameters
        ----------
        timeout_s : float or None, default=None
            Maximum time to wait, seconds; never beyond the deadline.

        Returns
        -------
        bytes or Failure
            Empty when the body is complete.
        """
        remaining_s = self._get_remaining_s()
        if timeout_s is not None:
            remaining_s = min(remaining_s, timeout_s)
        if remaining_s <= 0:
            return self._fail_timed_out()
        self._connection.set_timeout(remaining_s)
        try:
            chunk = self._response.read1(READ_BYTES, decode_content=False)
        except urllib3.exceptions.TimeoutError:
            return self._fail_timed_out()
        except CONNECTION_ERRORS as error:
            return self._fail_connection(error)
        if chunk:
            return chunk
        if self._cancelled:
            # Our own shutdown of the connection ends the read.
            self.close()
            return self._make_cancelled()
        self._finish()
        return chunk

    def close(self):
        """Close the connection, which cancels a request that still runs."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            self.pool.discard(self.upstream, connection)

    def _connect(self, connection):
        connection.set_timeout(self._limit_timeout(connection.http.timeout))
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.close()
            reason = f"cannot connect to the upstream: {type(error).__name__}"
            return _make_failure(domain.ErrorKind.UPSTREAM_UNREACHABLE, reason)
        self.has_connected = True
        return None

    def _send(self, connection):
        # Checked immediately before sending, because the connection may have taken
        # long and the host may have been suspended since the last check.
        now = self.read_clock()
        obstacle = self.gate.find_bar(self.upstream, now)
        if obstacle is not None:
            self.close()
            reason = f"the upstream gets no requests any more: {obstacle.value}"
            return _make_failure(domain.ErrorKind.NO_UPSTREAM, reason)
        remaining_s = self.deadline_s - now
        if remaining_s <= 0:
            self.close()
            return _make_failure(
                domain.ErrorKind.DEADLINE_BEFORE_SEND,
                "the deadline passed before the request was sent",
            )
        headers = self.protocol.build_request_headers(
            self.request, self.dispatch, remaining_s
        )
        connection.set_timeout(remaining_s + DEADLINE_GRACE_S)
        try:
            connection.http.request(
                self.request.method,
                self.request.target,
                body=self.request.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            self._response = connection.http.getresponse()
        except urllib3.exceptions.TimeoutError:
            return self._fail_timed_out()
        except TimeoutError:
            return self._fail_timed_out()
        except CONNECTION_ERRORS as error:
            return self._fail_connection(error)
        return self._parse_head()

    def _parse_head(self):
        self.head = self.protocol.parse_response_head(self._response)
        if self._proves_not_run():
            self.discard_body()
            kind = domain.ErrorKind.UPSTREAM_REFUSED
            return _requests.Failure(
                domain.Refusal(kind, "the upstream refused the request"), self.head
            )
        if self.head.request_id != self.request.id:
            self.close()
            return _make_failure(
                domain.ErrorKind.ANSWER_MISMATCH,
                "the response does not carry the ID of the request",
            )
        return self.head

    def _proves_not_run(self):
        if not self.head.is_not_run:
            return False
        if self.head.request_id:
            return self.head.request_id == self.request.id
        # An upstream may refuse a request before it has read the request ID. On a
        # reused connection, it may be an earlier refusal that was written once more.
        return not self._connection.is_reused

    def _finish(self):
        connection = self._connection
        self._connection = None
        if self.head.closes_connection or connection.http.sock is None:
            self.pool.discard(self.upstream, connection)
            return
        now = self.read_clock()
        self.pool.release(self.upstream, connection, self.head.keep_alive_s, now)

    def _get_remaining_s(self):
        return self.deadline_s + DEADLINE_GRACE_S - self.read_clock()

    def _limit_timeout(self, timeout_s):
        return max(min(timeout_s, self._get_remaining_s()), MIN_TIMEOUT_S)

    def _fail_timed_out(self):
        self.close()
        return _make_failure(
            domain.ErrorKind.DEADLINE_AFTER_SEND,
            "the upstream did not respond before the deadline",
        )

    def _make_cancelled(self):
        if self._is_withdrawn:
            return _make_failure(
                domain.ErrorKind.WITHDRAWN, "taken back from an upstream"
            )
        return _make_failure(domain.ErrorKind.CANCELLED, "the caller disconnected")

    def _fail_connection(self, error):
        self.close()
        if self._cancelled:
            return self._make_cancelled()
        reason = f"the connection to the upstream broke: {type(error).__name__}"
        return _make_failure(domain.ErrorKind.UPSTREAM_LOST, reason)


def _make_failure(kind, reason):
    return _requests.Failure(domain.Refusal(kind, reason))
