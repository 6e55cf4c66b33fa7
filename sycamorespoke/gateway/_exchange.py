"""One attempt of a call at one upstream."""

import http.client

import urllib3.exceptions

from sycamorespoke import world
from sycamorespoke.gateway import _requests

READ_BYTES = 65536
# Time that an upstream gets beyond the deadline to say so itself.
OWN_ANSWER_S = 0.05
SHORTEST_WAIT_S = 0.001

FAULTS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)


class Exchange:
    """Sends a call to an upstream and reads what comes back.

    Parameters
    ----------
    protocol : object
        Writes the headers to upstreams and reads theirs.
    pool : ConnectionPool
        Connections to upstreams.
    read_clock : callable
        Returns seconds of the boot clock.
    request : Request
        The call.
    dispatch : Dispatch
        Where it goes and what goes with it.
    ends_s : float
        Deadline, seconds of the boot clock.
    """

    def __init__(self, protocol, pool, read_clock, request, dispatch, ends_s):
        self.protocol = protocol
        self.pool = pool
        self.read_clock = read_clock
        self.request = request
        self.dispatch = dispatch
        self.ends_s = ends_s
        self.head = None
        self._connection = None
        self._response = None
        self._cancelled = False

    @property
    def upstream(self):
        """The upstream of this attempt."""
        return self.dispatch.upstream

    def cancel(self):
        """Cut the connection, so that the upstream stops; from any thread."""
        self._cancelled = True
        connection = self._connection
        if connection is not None:
            connection.abort()

    def open(self, limit, fresh):
        """Send the call and read the head of the answer.

        Parameters
        ----------
        limit : int
            Most connections of this host to the upstream.
        fresh : bool
            Use a new connection.

        Returns
        -------
        ResponseHead or Failure
            Status and headers; the body is read with `read_whole` or `read_chunk`.
        """
        now = self.read_clock()
        connection = self.pool.acquire(self.upstream, limit, now, fresh)
        if connection is None:
            return _fail(world.ErrorKind.OVERLOADED, "no connection is free")
        self._connection = connection
        if not connection.is_reused:
            failure = self._connect(connection)
            if failure is not None:
                return failure
        if self._cancelled:
            self.close()
            return _fail(world.ErrorKind.CANCELLED, "the caller left")
        return self._send(connection)

    def read_whole(self):
        """Read the rest of the answer.

        Returns
        -------
        Response or Failure
            The failure says that the outcome is unknown.
        """
        body = bytearray()
        while True:
            chunk = self.read_chunk()
            if isinstance(chunk, _requests.Failure):
                return chunk
            if not chunk:
                return _requests.Response(self.head, bytes(body))
            body += chunk

    def read_chunk(self, silence_s=None):
        """Read what arrives next of the body.

        Parameters
        ----------
        silence_s : float or None, default=None
            Longest wait, seconds; not beyond the deadline.

        Returns
        -------
        bytes or Failure
            Empty at the end of the whole body.
        """
        left_s = self._left_s()
        if silence_s is not None:
            left_s = min(left_s, silence_s)
        if left_s <= 0:
            return self._time_out()
        self._connection.set_timeout(left_s)
        try:
            chunk = self._response.read1(READ_BYTES, decode_content=False)
        except urllib3.exceptions.TimeoutError:
            return self._time_out()
        except FAULTS as error:
            return self._lose(error)
        if not chunk:
            self._finish()
        return chunk

    def close(self):
        """Close the connection; the upstream drops the request."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            self.pool.discard(self.upstream, connection)

    def _connect(self, connection):
        connection.set_timeout(self._bounded(connection.http.timeout))
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.close()
            reason = f"the upstream takes no connection: {type(error).__name__}"
            return _fail(world.ErrorKind.UPSTREAM_UNREACHABLE, reason)
        return None

    def _send(self, connection):
        # Looked at last, since the host may have been suspended in between.
        left_s = self.ends_s - self.read_clock()
        if left_s <= 0:
            self.close()
            return _fail(
                world.ErrorKind.DEADLINE_BEFORE_SEND, "the deadline passed before it"
            )
        headers = self.protocol.build_request_headers(
            self.request, self.dispatch, left_s
        )
        connection.set_timeout(left_s + OWN_ANSWER_S)
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
            return self._time_out()
        except TimeoutError:
            return self._time_out()
        except FAULTS as error:
            return self._lose(error)
        return self._judge()

    def _judge(self):
        self.head = self.protocol.parse_response_head(self._response)
        is_ours = self.head.request_id == self.request.id
        # An upstream may refuse a request before it reads the request's id.
        if self.head.is_not_run and (is_ours or not self.head.request_id):
            self._read_refusal()
            kind = world.ErrorKind.UPSTREAM_REFUSED
            return _requests.Failure(world.Refusal(kind, "it refused"), self.head)
        if not is_ours:
            self.close()
            return _fail(
                world.ErrorKind.ANSWER_MISMATCH, "the answer is of another request"
            )
        return self.head

    def _read_refusal(self):
        # Read to its end so that the connection can carry another request.
        if isinstance(self.read_whole(), _requests.Failure):
            self.close()

    def _finish(self):
        connection = self._connection
        self._connection = None
        closes = self.head.closes_connection or connection.http.sock is None
        if closes or self._cancelled:
            self.pool.discard(self.upstream, connection)
            return
        now = self.read_clock()
        self.pool.release(self.upstream, connection, self.head.keep_alive_s, now)

    def _left_s(self):
        return self.ends_s + OWN_ANSWER_S - self.read_clock()

    def _bounded(self, timeout_s):
        return max(min(timeout_s, self._left_s()), SHORTEST_WAIT_S)

    def _time_out(self):
        self.close()
        return _fail(world.ErrorKind.DEADLINE_AFTER_SEND, "the upstream was silent")

    def _lose(self, error):
        self.close()
        if self._cancelled:
            return _fail(world.ErrorKind.CANCELLED, "the caller left")
        reason = f"the connection to the upstream broke: {type(error).__name__}"
        return _fail(world.ErrorKind.UPSTREAM_LOST, reason)


def _fail(kind, reason):
    return _requests.Failure(world.Refusal(kind, reason))
