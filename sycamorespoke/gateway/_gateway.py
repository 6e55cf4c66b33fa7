"""WSGI application that serves callers' requests through upstreams."""

import attrs
import loguru

from sycamorespoke import domain, retries, serving
from sycamorespoke.gateway import (
    _attempts,
    _forward_format,
    _held_body,
    _model,
    _requests,
    _room_wait,
    _stream_body,
    _views,
)

# Share of a request's remaining time that a refusal asks the caller to wait before a
# retry; the rest is left for the retry to succeed.
RETRY_AFTER_RATIO = 0.15
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0


@attrs.define
class Gateway:
    """WSGI application of the gateway; safe to use from many threads.

    Parameters
    ----------
    protocol : object
        Has ``parse_request``, ``build_request_headers``, ``parse_response_head`` and
        ``build_refusal_headers``.
    views : Views
        Current view of the deployment.
    chooser : Chooser
        Chooses the upstream of each attempt.
    table : UpstreamTable
        Observed state of the upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    block_planner : BlockPlanner
        Plans imports and exports of blocks.
    crash_monitor : CrashMonitor
        Observes under which requests upstreams end.
    stream_versions : StreamVersions
        Keeps each stream at the software version that began it.
    reachability : Reachability
        Which services this host reaches.
    forwarding : Forwarding
        Forwards requests to other hosts.
    version_grace : VersionGrace
        Takes back requests that wait too long at older weights.
    overdue : OverdueWatch
        Notices requests that an upstream should have begun long ago.
    budgets : RetryBudgets
        Limits the retries of each service.
    request_metrics : RequestMetrics
        Counts and measures requests.
    byte_budget : serving.ByteBudget
        Bounds the bytes of responses that are held.
    shutdown : Shutdown
        Planned end of the process.
    read_clock : callable
        Returns the current time, seconds of the boot clock.
    rollouts : rollouts.Rollouts or None, default=None
        Rollouts of software versions, if they are followed.
    room_wait : RoomWait
        Holds less urgent requests while no engine has memory for them.
    contacts : retries.Contacts
        When each upstream was last heard of.
    """

    protocol: object
    views: object
    chooser: object
    table: object
    pool: object
    block_planner: object
    crash_monitor: object
    stream_versions: object
    reachability: object
    forwarding: object
    version_grace: object
    overdue: object
    budgets: object
    request_metrics: object
    byte_budget: object
    shutdown: object
    read_clock: object
    rollouts: object = None
    room_wait: object = attrs.field(factory=_room_wait.RoomWait)
    contacts: object = attrs.field(factory=retries.Contacts)

    def __call__(self, environ, start_response):
        """Serve one request; this is the WSGI entry point."""
        now = environ.get("caller.arrived_s") or self.read_clock()
        request = self.protocol.parse_request(environ, now)
        if isinstance(request, domain.Refusal):
            return self.refuse(start_response, None, None, request)
        return self.serve(request, environ, start_response)

    def serve(self, request, environ, start_response):
        """Serve a request.

        Parameters
        ----------
        request : Request
            The request, which another host may have forwarded.
        environ : dict
            WSGI environment.
        start_response : callable
            WSGI function.

        Returns
        -------
        iterable of bytes
            Body of the response.
        """
        view = self.views.get()
        route = self._find_route(view, request)
        if isinstance(route, domain.Refusal):
            return self.refuse(start_response, request, None, route)
        account = self._find_account(view, request, route)
        if isinstance(account, domain.Refusal):
            return self.refuse(start_response, request, route, account)
        deadline_s = request.arrived_s + route.timeout_s
        if request.deadline_s is not None:
            deadline_s = min(deadline_s, request.deadline_s)
        origin = None
        if route.kind is _model.RouteKind.STREAM and request.continues_stream:
            origin = self.stream_versions.find_origin(request, route, self.read_clock())
            if isinstance(origin, domain.Refusal):
                return self.refuse(start_response, request, route, origin)
        attempts = _attempts.Attempts(self, request, route, account, deadline_s)
        attempts.origin = origin
        self.shutdown.add(attempts)
        set_on_disconnect = environ.get("caller.on_leave")
        if set_on_disconnect is not None:
            set_on_disconnect(attempts.cancel)
        try:
            if route.kind is _model.RouteKind.STREAM:
                return self._serve_stream(attempts, start_response)
            return self._serve_buffered(attempts, start_response)
        except BaseException:
            attempts.abandon()
            raise

    def _find_route(self, view, request):
        if not view.is_complete:
            return domain.Refusal(
                domain.ErrorKind.NOT_READY, "the configuration is not known yet"
            )
        route = view.configuration.find_route(request.host, request.path)
        if route is None:
            return domain.Refusal(domain.ErrorKind.NO_ROUTE, "no route covers the path")
        return route

    def _find_account(self, view, request, route):
        if route.is_anonymous or not view.configuration.needs_key:
            return None
        account = view.configuration.accounts_by_key.get(request.api_key)
        if account is None:
            return domain.Refusal(
                domain.ErrorKind.UNAUTHENTICATED, "the API key is not known"
            )
        return account

    def _serve_buffered(self, attempts, start_response):
        while True:
            head = attempts.open()
            if isinstance(head, domain.Refusal):
                return self._refuse_attempts(start_response, attempts, head)
            owner = attempts.exchange.upstream.boot_id
            hold = self.byte_budget.open(serving.ByteKind.RESPONSE_BODIES, owner)
            try:
                result = attempts.exchange.read_whole(hold)
                if isinstance(result, _requests.Response):
                    return self._return_whole(start_response, attempts, result, hold)
            except BaseException:
                hold.release()
                raise
            hold.release()
            refusal = attempts.handle_broken_response(result)
            if refusal is not None:
                return self._refuse_attempts(start_response, attempts, refusal)

    def _return_whole(self, start_response, attempts, response, hold):
        head = self._name_upstream(attempts, response.head)
        attempts.record_whole_response()
        attempts.finish()
        self._log_response(attempts, head.status, head.framing)
        length = len(response.body)
        body = _held_body.HeldBody(response.body, hold)
        return _start_response(start_response, head, body, length)

    def _serve_stream(self, attempts, start_response):
        stream = _stream_body.StreamBody(self, attempts)
        head = stream.begin()
        if isinstance(head, domain.Refusal):
            return self._refuse_attempts(start_response, attempts, head)
        head = self._name_upstream(attempts, head)
        return _start_response(start_response, head, stream, None)

    def _name_upstream(self, attempts, head):
        """Add to the head, for a host that has forwarded the request, who answered."""
        if attempts.request.forward_mark is None:
            return head
        boot_id = attempts.exchange.upstream.boot_id
        return _forward_format.name_upstream(head, boot_id)

    def _refuse_attempts(self, start_response, attempts, refusal):
        attempts.finish()
        refusal = self._state_backoff(refusal, attempts.route)
        return self.refuse(
            start_response, attempts.request, attempts.route, refusal, attempts
        )

    def _state_backoff(self, refusal, route):
        """Add when to retry to a refusal if every upstream wants a backoff."""
        if not refusal.error_response().retry_after_s or refusal.retry_after_s:
            return refusal
        now = self.read_clock()
        opening_s = self.chooser.find_opening_s(self.views.get(), route, now)
        if not now < opening_s < float("inf"):
            return refusal
        return attrs.evolve(refusal, retry_after_s=opening_s - now)

    def refuse(self, start_response, request, route, refusal, attempts=None):
        """Refuse a request.

        Parameters
        ----------
        start_response : callable
            WSGI function.
        request : Request or None
            The request; ``None`` if it cannot be parsed.
        route : Route or None
            Its route; ``None`` if it has none or is unknown.
        refusal : domain.Refusal
            Why it is refused.
        attempts : Attempts or None, default=None
            Its attempts, if any began.

        Returns
        -------
        list of bytes
            Body of the response.
        """
        now = self.read_clock()
        refusal = _set_retry_after(refusal, request, now)
        self.request_metrics.record_refusal(refusal.kind, route)
        view = self.views.get()
        loguru.logger.bind(
            request_id=request.id if request else "",
            route=route.name if route else "",
            error_kind=refusal.kind.value,
            reason=refusal.reason,
            status=refusal.error_response().status,
            retry_after_s=refusal.error_response().retry_after_s,
            configuration=view.configuration.version if view.configuration else None,
            configuration_age_s=_age_s(view, now),
            duration_ms=round((now - request.arrived_s) * 1000, 1) if request else None,
        ).info("call refused")
        headers = self.protocol.build_refusal_headers(
            refusal, request.id if request else ""
        )
        if request is not None and request.forward_mark is not None:
            headers += _forward_format.build_refusal_headers(
                refusal,
                attempts.retries.count_reached() if attempts else 0,
                is_counted=attempts is not None and attempts.retries.is_counted,
            )
        body = (refusal.reason + "\n").encode()
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        headers.append(("Content-Length", str(len(body))))
        start_response(
            f"{refusal.error_response().status} {refusal.kind.value}", headers
        )
        return [body]

    def log_stream_end(self, attempts, head, reason):
        """Log and count the end of a stream.

        Parameters
        ----------
        attempts : Attempts
            Attempts of the request.
        head : ResponseHead
            Head of the last response.
        reason : str
            Why the stream broke off; empty if it is complete.
        """
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
            self._log_response(attempts, head.status, head.framing)

    def _log_response(self, attempts, status, framing):
        now = self.read_clock()
        duration_s = now - attempts.request.arrived_s
        self.request_metrics.record_answered(attempts.route, attempts.timing, now)
        loguru.logger.bind(
            request_id=attempts.request.id,
            route=attempts.route.name,
            status=status,
            framing=framing.value,
            duration_ms=round(duration_s * 1000, 1),
        ).debug("call answered")


def _start_response(start_response, head, body, length):
    headers = [
        (name, text) for name, text in head.headers if name.lower() != "content-length"
    ]
    if length is not None:
        headers.append(("Content-Length", str(length)))
    start_response(f"{head.status} {head.reason}", headers)
    return body


def _age_s(view, now):
    confirmed_s = view.confirmed_s_by_section.get(_views.CONFIGURATION)
    return None if confirmed_s is None else round(now - confirmed_s, 3)


def _set_retry_after(refusal, request, now):
    if (
        not refusal.error_response().retry_after_s
        or refusal.retry_after_s is not None
        or request is None
        or request.deadline_s is None
    ):
        return refusal
    remaining_s = max(request.deadline_s - now, 0.0)
    retry_after_s = min(
        max(remaining_s * RETRY_AFTER_RATIO, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
    )
    return attrs.evolve(refusal, retry_after_s=retry_after_s)
