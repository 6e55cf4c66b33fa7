"""Parses requests of callers, within the byte budget of the process."""

import waitress.parser
import waitress.utilities

from sycamorespoke.serving import _byte_budget, _clock

# The load balancer hides which caller sends a body.
CALLERS = "callers"
RETRY_AFTER_S = 1


class _BodyRefused(waitress.utilities.Error):
    """Response to a request whose body does not fit into memory."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident=None):
        status, headers, body = super().to_response(ident)
        return status, [*headers, ("Retry-After", str(RETRY_AFTER_S))], body


class Parser(waitress.parser.HTTPRequestParser):
    """Parser that records when the request began to arrive, and bounds its body.

    Parameters
    ----------
    adj : waitress.adjustments.Adjustments
        Settings of the server; ``byte_budget`` is the budget of the process.
    """

    def __init__(self, adj):
        super().__init__(adj)
        self.arrived_s = _clock.read_clock()
        self._hold = adj.byte_budget.open(_byte_budget.ByteKind.REQUEST_BODIES, CALLERS)

    def received(self, data):
        """Parse bytes; return how many of them belong to this request."""
        consumed = super().received(data)
        if self.body_rcv is not None and self.error is None:
            # A stated length is reserved at once: half a body is of no use.
            size_bytes = max(self.content_length, self.body_bytes_received)
            if not self._hold.resize(size_bytes):
                self._refuse_body()
        return consumed

    def close(self):
        """Drop the body."""
        super().close()
        self.release()

    def release(self):
        """Return the bytes of the body to the budget."""
        self._hold.release()

    def _refuse_body(self):
        self.error = _BodyRefused("the body does not fit into memory now")
        # Otherwise the server asks for the body.
        self.expect_continue = False
        self.completed = True
        self.close()
