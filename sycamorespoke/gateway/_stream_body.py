"""Body of a stream: relays events of an upstream and resumes at another one."""

import loguru

from sycamorespoke import domain, serving
from sycamorespoke.gateway import _attempts, _continuations, _events, _requests

# An upstream may cut a response that the caller has kept unread for this long in all.
UNREAD_S = 2.0


class StreamBody:
    """WSGI body of a stream, which may resume at another upstream.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the request.
    attempts : Attempts
        Attempts of the request.
    """

    def __init__(self, gateway, attempts):
        self.gateway = gateway
        self.attempts = attempts
        self._splitter = _events.EventSplitter(attempts.request.last_event_id)
        self._first_events = b""
        self._head = None
        self._ended = False
        self._unread_s = 0.0

    def begin(self):
        """Send the request and wait for the first event.

        Returns
        -------
        ResponseHead or domain.Refusal
            Head of the response, or the refusal if no upstream sent an event.
        """
        request = self.attempts.request
        # Of a caller's own request, the headers say where the stream goes on.
        is_forwarded = request.forward_mark is not None
        last_event_id = request.last_event_id if is_forwarded else None
        while True:
            head = self.attempts.open(last_event_id)
            if isinstance(head, domain.Refusal):
                return head
            self._head = head
            chunk = self._read()
            if not isinstance(chunk, _requests.Failure):
                self.attempts.record_first_event()
                self._first_events = chunk
                return head
            refusal = self._handle_broken_response(chunk)
            if refusal is not None:
                return refusal

    def __iter__(self):
        if self._first_events:
            yield from self._hand_over(self._first_events)
        while not self._ended:
            chunk = self._read()
            if isinstance(chunk, _requests.Failure):
                self._resume(chunk)
            elif chunk:
                yield from self._hand_over(chunk)
        self.attempts.record_whole_response()
        self.attempts.finish()
        self.gateway.log_stream_end(self.attempts, self._head, "")

    def _hand_over(self, events):
        """Yield events, and count for how long the caller keeps them waiting."""
        begun_s = self.gateway.read_clock()
        yield events
        self._unread_s += self.gateway.read_clock() - begun_s

    def close(self):
        """End the stream; cancel the request if it still runs."""
        if self._ended:
            return
        self._ended = True
        self.attempts.abandon()
        self.gateway.log_stream_end(
            self.attempts, self._head, "the caller disconnected"
        )

    def _read(self):
        """Read until an event is complete; return what is left at the stream's end."""
        is_stream = _continuations.find_bar(self.attempts.exchange.head) is None
        while True:
            if self._splitter.has_error:
                return self._fail_with_error()
            chunk = self.attempts.exchange.read_chunk()
            if isinstance(chunk, _requests.Failure):
                return chunk
            self.attempts.retries.record_heard()
            if not chunk:
                failure = self._find_early_end()
                if failure is not None:
                    return failure
                self._ended = True
                return self._splitter.flush()
            events = self._splitter.split_chunk(chunk, is_stream)
            if events:
                self.attempts.record_begun()
                return events
            if self._splitter.is_event_too_long:
                return self.attempts.exchange.fail_too_long()

    def _fail_with_error(self):
        self.attempts.exchange.close()
        refusal = domain.Refusal(
            domain.ErrorKind.ANSWER_MISMATCH,
            "the upstream has written an error into its stream",
        )
        return _requests.Failure(refusal)

    def _find_early_end(self):
        """Return a failure if the response ended before its stream was complete."""
        head = self.attempts.exchange.head
        if not head.is_event_stream:
            return None
        if self._splitter.partial_event_bytes:
            self._log_partial_event()
            return _make_lost("the response ended inside an event")
        is_unframed = head.framing is _requests.Framing.CONNECTION_END
        if is_unframed and not self._splitter.has_events:
            return _make_lost("the connection ended before the first event")
        return None

    def _log_partial_event(self):
        exchange = self.attempts.exchange
        loguru.logger.bind(
            request_id=self.attempts.request.id,
            route=self.attempts.route.name,
            upstream=exchange.upstream.id,
            framing=exchange.head.framing.value,
            last_event_id=self._splitter.last_id,
            partial_event_bytes=self._splitter.partial_event_bytes,
        ).info("response ended inside an event")

    def _handle_broken_response(self, failure):
        last_event_id = self._splitter.last_id
        refusal = self.attempts.handle_broken_response(failure, last_event_id)
        self._splitter.restart()
        return refusal

    def _resume(self, failure):
        """Resume the stream at another upstream, or raise `BrokenStreamError`."""
        is_lost = failure.refusal.kind is domain.ErrorKind.UPSTREAM_LOST
        if is_lost and self._unread_s >= UNREAD_S:
            self._end_unread()
        refusal = self._handle_broken_response(failure)
        if refusal is None:
            refusal = self._open_next(failure)
        if refusal is None:
            return
        self._ended = True
        self.attempts.abandon()
        self.gateway.log_stream_end(self.attempts, self._head, refusal.reason)
        raise serving.BrokenStreamError(refusal.reason)

    def _end_unread(self):
        """End a stream that the upstream has cut because its caller did not read it."""
        reason = "the caller did not read the stream"
        self._ended = True
        self.attempts.record_unread(self._unread_s)
        self.attempts.abandon()
        self.gateway.log_stream_end(self.attempts, self._head, reason)
        raise serving.BrokenStreamError(reason)

    def _open_next(self, failure):
        """Send the request again; return a refusal if no upstream continues it."""
        is_stream = _continuations.find_bar(self._head) is None
        if not is_stream or not self._splitter.is_resumable:
            return failure.refusal
        while True:
            head = self.attempts.open(self._splitter.last_id)
            if isinstance(head, domain.Refusal):
                return head
            bar = _continuations.find_bar(head)
            if bar is None:
                self._head = head
                return None
            refusal = self._reject(head, bar)
            if refusal is not None:
                return refusal

    def _reject(self, head, bar):
        """Give up a response that cannot continue the stream; may return a refusal."""
        if head.status >= _attempts.SERVER_ERROR_STATUS:
            # It is returned only if no other attempt may follow.
            return bar
        self.attempts.exchange.close()
        return self._handle_broken_response(_requests.Failure(bar))


def _make_lost(reason):
    return _requests.Failure(domain.Refusal(domain.ErrorKind.UPSTREAM_LOST, reason))
