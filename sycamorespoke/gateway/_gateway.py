"""Serves the calls of callers: route, account, upstream, answer."""

import attrs
import loguru

from sycamorespoke import serving, world
from sycamorespoke.gateway import _attempts, _events, _model, _requests, _views

# A refused caller comes back after this share of the time that it has left, so
# that its second attempt has time to succeed.
RETURN_SHARE = 0.15
SHORTEST_RETURN_S = 0.05
LONGEST_RETURN_S = 1.0
RESUMED_STATUS = 200


@attrs.define
class Gateway:
    """Serves calls; safe to use from many threads.

    Parameters
    ----------
    protocol : object
        Has ``parse_request``, ``build_request_headers``, ``parse_response_head`` and
        ``build_refusal_headers``.
    views : Views
        What this host believes.
    chooser : Chooser
        Chooses upstreams.
    table : UpstreamTable
        What was seen of the upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    blocks : BlockPlanner
        Stores of cached prompt parts.
    budgets : RetryBudgets
        Retries.
    request_metrics : RequestMetrics
        Counts and measures calls.
    read_clock : callable
        Returns seconds of the boot clock.
    """

    protocol: object
    views: object
    chooser: object
    table: object
    pool: object
    blocks: object
    budgets: object
    request_metrics: object
    read_clock: object

    def __call__(self, environ, start_response):
        """Serve one call as WSGI asks."""
        now = environ.get("caller.arrived_s") or self.read_clock()
        request = self.protocol.parse_request(environ, now)
        if isinstance(request, world.Refusal):
            return self._refuse(start_response, None, None, request)
        return self._serve(request, environ, start_response)

    def _serve(self, request, environ, start_response):
        view = self.views.get()
        route = self._find_route(view, request)
        if isinstance(route, world.Refusal):
            return self._refuse(start_response, request, None, route)
        account = self._find_account(view, request, route)
        if isinstance(account, world.Refusal):
            return self._refuse(start_response, request, route, account)
        ends_s = request.arrived_s + route.timeout_s
        if request.deadline_s is not None:
            ends_s = min(ends_s, request.deadline_s)
        attempts = _attempts.Attempts(self, request, route, account, ends_s)
        on_leave = environ.get("caller.on_leave")
        if on_leave is not None:
            on_leave(attempts.leave)
        try:
            if route.kind is _model.RouteKind.STREAM:
                return self._serve_stream(attempts, start_response)
            return self._serve_whole(attempts, start_response)
        except BaseException:
            _abandon(attempts)
            raise

    def _find_route(self, view, request):
        if not view.is_complete:
            return world.Refusal(
                world.ErrorKind.NOT_READY, "the configuration is not known yet"
            )
        route = view.configuration.find_route(request.host, request.path)
        if route is None:
            return world.Refusal(world.ErrorKind.NO_ROUTE, "no route covers the path")
        return route

    def _find_account(self, view, request, route):
        if route.is_anonymous or not view.configuration.needs_key:
            return None
        account = view.configuration.accounts_by_key.get(request.api_key)
        if account is None:
            return world.Refusal(
                world.ErrorKind.UNAUTHENTICATED, "the API key is not known"
            )
        return account

    def _serve_whole(self, attempts, start_response):
        while True:
            head = attempts.open()
            if isinstance(head, world.Refusal):
                return self._refuse_attempts(start_response, attempts, head)
            answer = attempts.exchange.read_whole()
            if isinstance(answer, _requests.Response):
                attempts.end()
                self._log_answer(attempts, answer.head.status)
                return _send(start_response, answer.head, [answer.body], answer.body)
            refusal = attempts.retry_after(answer)
            if refusal is not None:
                return self._refuse_attempts(start_response, attempts, refusal)

    def _serve_stream(self, attempts, start_response):
        stream = StreamBody(self, attempts)
        head = stream.begin()
        if isinstance(head, world.Refusal):
            return self._refuse_attempts(start_response, attempts, head)
        return _send(start_response, head, stream, None)

    def _refuse_attempts(self, start_response, attempts, refusal):
        attempts.end()
        return self._refuse(start_response, attempts.request, attempts.route, refusal)

    def _refuse(self, start_response, request, route, refusal):
        now = self.read_clock()
        refusal = _set_return_time(refusal, request, now)
        self.request_metrics.record_refusal(refusal.kind, route)
        view = self.views.get()
        loguru.logger.bind(
            request_id=request.id if request else "",
            route=route.name if route else "",
            error_kind=refusal.kind.value,
            reason=refusal.reason,
            status=refusal.answer().status,
            retry_after_s=refusal.answer().retry_after_s,
            configuration=view.configuration.version if view.configuration else None,
            configuration_age_s=_age_s(view, now),
            duration_ms=round((now - request.arrived_s) * 1000, 1) if request else None,
        ).info("call refused")
        headers = self.protocol.build_refusal_headers(
            refusal, request.id if request else ""
        )
        body = (refusal.reason + "\n").encode()
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        headers.append(("Content-Length", str(len(body))))
        start_response(f"{refusal.answer().status} {refusal.kind.value}", headers)
        return [body]

    def log_stream_end(self, attempts, status, reason):
        """Log how a stream ended; ``reason`` is empty if it is whole."""
        if reason:
            now = self.read_clock()
            self.request_metrics.record_broken_stream(attempts.route)
            loguru.logger.bind(
                request_id=attempts.request.id,
                route=attempts.route.name,
                reason=reason,
                duration_ms=round((now - attempts.request.arrived_s) * 1000, 1),
            ).info("stream broken off")
        else:
            self._log_answer(attempts, status)

    def _log_answer(self, attempts, status):
        now = self.read_clock()
        duration_s = now - attempts.request.arrived_s
        self.request_metrics.record_answered(attempts.route, attempts.timing, now)
        loguru.logger.bind(
            request_id=attempts.request.id,
            route=attempts.route.name,
            status=status,
            duration_ms=round(duration_s * 1000, 1),
        ).debug("call answered")


class StreamBody:
    """Body of a stream, which may go on at another upstream.

    Parameters
    ----------
    gateway : Gateway
        Serves the call.
    attempts : Attempts
        Its attempts.
    """

    def __init__(self, gateway, attempts):
        self.gateway = gateway
        self.attempts = attempts
        self._splitter = _events.EventSplitter(attempts.request.last_event_id)
        self._first = b""
        self._status = None
        self._ended = False

    def begin(self):
        """Send the call and wait for the first event.

        Returns
        -------
        ResponseHead or world.Refusal
            The head goes to the caller with the events that follow.
        """
        while True:
            head = self.attempts.open()
            if isinstance(head, world.Refusal):
                return head
            self._status = head.status
            chunk = self._read()
            if not isinstance(chunk, _requests.Failure):
                self.attempts.record_first_event()
                self._first = chunk
                return head
            refusal = self.attempts.retry_after(chunk)
            if refusal is not None:
                return refusal

    def __iter__(self):
        if self._first:
            yield self._first
        while not self._ended:
            chunk = self._read()
            if isinstance(chunk, _requests.Failure):
                self._go_on(chunk)
            elif chunk:
                yield chunk
        self.attempts.end()
        self.gateway.log_stream_end(self.attempts, self._status, "")

    def close(self):
        """End the stream; what still runs is cancelled."""
        if self._ended:
            return
        self._ended = True
        _abandon(self.attempts)
        self.gateway.log_stream_end(self.attempts, self._status, "the caller left")

    def _read(self):
        """Read until there is a whole event; empty at the end of the stream."""
        while True:
            chunk = self.attempts.exchange.read_chunk()
            if isinstance(chunk, _requests.Failure):
                return chunk
            if not chunk:
                self._ended = True
                return self._splitter.flush()
            events = self._splitter.feed(chunk)
            if events:
                return events

    def _go_on(self, failure):
        """Let another upstream go on after the last event, or break off."""
        refusal = self.attempts.retry_after(failure)
        if refusal is None:
            self._splitter.restart()
            head = self.attempts.open(self._splitter.last_id)
            if (
                isinstance(head, _requests.ResponseHead)
                and head.status == RESUMED_STATUS
            ):
                return
            refusal = head if isinstance(head, world.Refusal) else failure.refusal
        self._ended = True
        _abandon(self.attempts)
        self.gateway.log_stream_end(self.attempts, self._status, refusal.reason)
        raise serving.BrokenStreamError(refusal.reason)


def _abandon(attempts):
    exchange = attempts.exchange
    if exchange is not None:
        exchange.close()
    attempts.end()


def _send(start_response, head, body, whole):
    headers = [
        (name, text) for name, text in head.headers if name.lower() != "content-length"
    ]
    if whole is not None:
        headers.append(("Content-Length", str(len(whole))))
    start_response(f"{head.status} {head.reason}", headers)
    return body


def _age_s(view, now):
    confirmed_s = view.confirmed_s_by_section.get(_views.CONFIGURATION)
    return None if confirmed_s is None else round(now - confirmed_s, 3)


def _set_return_time(refusal, request, now):
    if (
        not refusal.answer().retry_after_s
        or request is None
        or request.deadline_s is None
    ):
        return refusal
    left_s = max(request.deadline_s - now, 0.0)
    wait_s = min(max(left_s * RETURN_SHARE, SHORTEST_RETURN_S), LONGEST_RETURN_S)
    return attrs.evolve(refusal, retry_after_s=wait_s)
