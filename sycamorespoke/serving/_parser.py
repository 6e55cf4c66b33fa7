"""Parses requests of callers, within the byte budget of the process."""

import waitress.parser
import waitress.utilities

from sycamorespoke.serving import _byte_budget, _clock

RETRY_AFTER_S = 1
# The cost of a connection covers a head of this size.
FREE_HEAD_BYTES = 2_048
# What a field of a head costs beside its bytes: it becomes several objects.
FIELD_BYTES = 256
# Longest line with the size of a chunk and its extensions.
MAX_CHUNK_LINE_BYTES = 8_192


class _RequestRefused(waitress.utilities.Error):
    """Response to a request for which there is no room in memory, or no time."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident=None):
        status, headers, body = super().to_response(ident)
        return status, [*headers, ("Retry-After", str(RETRY_AFTER_S))], body


class Parser(waitress.parser.HTTPRequestParser):
    """Parser that records when the request began to arrive, and bounds its bytes.

    Parameters
    ----------
    adj : waitress.adjustments.Adjustments
        Settings of the server. ``byte_budget`` is the budget of the process,
        ``owner`` the name of the port there. ``make_room(missing_bytes)`` closes
        connections of slow callers; ``admit_fields(count)`` returns whether there is
        time for a head of many fields.
    """

    def __init__(self, adj):
        super().__init__(adj)
        self.arrived_s = _clock.read_clock()
        self._head_hold = None
        self._body_hold = None
        self._has_too_many_fields = False

    def received(self, data):
        """Parse bytes; return how many of them belong to this request."""
        consumed = super().received(data)
        if self._has_too_many_fields:
            self._refuse("there are many requests with very many fields now")
        elif self.error is None and not self.empty:
            self._hold_head()
            if self.body_rcv is not None:
                self._hold_body()
        if self.headers_finished:
            self.header_plus = b""
        return consumed

    def parse_header(self, header_plus):
        """Parse the head, see the base class."""
        if not self.adj.admit_fields(header_plus.count(b"\n")):
            self._has_too_many_fields = True
            # All that is needed for the refusal.
            header_plus = b"GET / HTTP/1.0\r\n"
        super().parse_header(header_plus)

    def count_held_bytes(self):
        """Return the number of bytes that are held for the request."""
        holds = (self._head_hold, self._body_hold)
        return sum(hold.size_bytes for hold in holds if hold is not None)

    def close(self):
        """Drop the request."""
        super().close()
        self.release()

    def release(self):
        """Return the bytes of the request to the budget."""
        for hold in (self._head_hold, self._body_hold):
            if hold is not None:
                hold.release()

    def _hold_head(self):
        size_bytes = len(self.header_plus)
        if self.headers_finished:
            size_bytes = self.header_bytes_received
            size_bytes += FIELD_BYTES * len(self.headers)
        if size_bytes <= FREE_HEAD_BYTES:
            return
        if self._head_hold is None:
            self._head_hold = self._open(_byte_budget.ByteKind.REQUEST_HEADS)
        self._resize(self._head_hold, size_bytes)

    def _hold_body(self):
        if self.error is not None:
            return
        if self.chunked and not self._check_chunk_lines():
            return
        if self._body_hold is None:
            self._body_hold = self._open(_byte_budget.ByteKind.REQUEST_BODIES)
        # A stated length is reserved at once: half a body is of no use.
        size_bytes = max(self.content_length, self.body_bytes_received)
        self._resize(self._body_hold, size_bytes)

    def _check_chunk_lines(self):
        """Return whether what is not body is short; it is searched again each time."""
        receiver = self.body_rcv
        if len(receiver.control_line) > MAX_CHUNK_LINE_BYTES:
            self._end(waitress.utilities.BadRequest("the size of a chunk is too long"))
        elif len(receiver.trailer) > self.adj.max_request_header_size:
            error = waitress.utilities.RequestHeaderFieldsTooLarge
            self._end(error("the fields after the body are too long"))
        return self.error is None

    def _open(self, kind):
        return self.adj.byte_budget.open(kind, self.adj.owner, free_bytes=0)

    def _resize(self, hold, size_bytes):
        if size_bytes <= hold.size_bytes:
            return
        missing_bytes = hold.count_missing(size_bytes)
        if missing_bytes > 0:
            self.adj.make_room(missing_bytes)
        if not hold.resize(size_bytes):
            self._refuse("the request does not fit into memory now")

    def _refuse(self, reason):
        self._end(_RequestRefused(reason))

    def _end(self, error):
        if not self.headers_finished:
            # As the base class does for a head that is too long.
            super().parse_header(b"GET / HTTP/1.0\r\n")
        self.error = error
        # Otherwise the server asks for the body.
        self.expect_continue = False
        self.completed = True
        self.close()
