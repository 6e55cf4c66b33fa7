"""Sequential attempts of one request at different upstreams."""

import threading

from sycamorespoke import decisions, domain
from sycamorespoke.gateway import (
    _attempt_checks,
    _attempt_log,
    _attempt_work,
    _crash_watch,
    _dispatcher,
    _exchange,
    _forwarding,
    _model,
    _request_retries,
    _requests,
    _rollout_watch,
    _take_back,
    _upstream_gate,
    _upstream_observer,
    _version_grace,
)

SERVER_ERROR_STATUS = 500


class Attempts:
    """Sends a request to one upstream after the other until one responds.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the request.
    request : Request
        The request.
    route : Route
        Route of the request.
    account : Account or None
        Client account of the caller.
    deadline_s : float
        Deadline of the request, seconds of the boot clock.
    """

    def __init__(self, gateway, request, route, account, deadline_s):
        self.gateway = gateway
        self.request = request
        self.route = route
        self.account = account
        self.deadline_s = deadline_s
        self.cancelled = False
        self.has_ended = False
        # Ends a wait for memory, or for an upstream to be heard of, early.
        self.hold_ended = threading.Event()
        self.was_held = False
        self.exchange = None
        # Upstreams that may continue the stream, once it has begun.
        self.origin = None
        self._work = _attempt_work.AttemptWork(gateway, request)
        self._refusal = None
        model = request.prompt.model if request.prompt else None
        self.gate = _version_grace.RequestGate(
            _upstream_gate.UpstreamGate(gateway.views, gateway.table),
            gateway.version_grace,
            model,
        )
        self.retries = _request_retries.RequestRetries(
            gateway, request, route, deadline_s, self.gate, self.hold_ended
        )
        # Whether a request without a stream has begun does not show.
        is_stream = route.kind is _model.RouteKind.STREAM
        self._grace_watch = _version_grace.GraceWatch(
            gateway.version_grace, model if is_stream else None
        )
        self._forwarder = _forwarding.Forwarder(gateway, request, route, deadline_s)
        self._dispatcher = _dispatcher.Dispatcher(
            gateway, request, route, account, deadline_s
        )
        self.timing = _requests.RequestTiming(request.arrived_s)
        self.crash_watch = _crash_watch.CrashWatch(gateway, request, account)
        self.log = _attempt_log.AttemptLog(
            gateway,
            request,
            self.crash_watch,
            route,
            deadline_s,
            self.retries.reached_boot_ids,
            self._dispatcher,
        )
        self._rollout_watch = _rollout_watch.RolloutWatch(gateway, route)
        self._observer = _upstream_observer.UpstreamObserver(gateway, self.log)
        self._take_back = _take_back.TakeBack(
            self, self.retries, self._dispatcher, self._observer
        )

    def cancel(self):
        """Stop because the caller has disconnected; safe to call from any thread."""
        self.cancelled = True
        self.hold_ended.set()
        exchange = self.exchange
        if exchange is not None:
            exchange.cancel()

    def end_for_shutdown(self):
        """End the request, from any thread; return whether an attempt was running."""
        self.has_ended = True
        self.hold_ended.set()
        exchange = self.exchange
        if exchange is None:
            return False
        exchange.withdraw()
        return True

    def open(self, last_event_id=None):
        """Send the request to upstreams until one begins to respond.

        Parameters
        ----------
        last_event_id : int or None, default=None
            ID of the event after which a stream resumes.

        Returns
        -------
        ResponseHead or domain.Refusal
            The refusal covers all attempts: its kind says "not run" only if none of
            them may have run the request.
        """
        while True:
            choice = self._choose()
            if isinstance(choice, domain.Refusal):
                return decisions.combine_refusals(self._refusal, choice)
            if isinstance(choice, decisions.PeerReport):
                result = self._forward(choice, last_event_id)
                if result is not None:
                    return result
                continue
            head = self._attempt(choice, last_event_id)
            if isinstance(head, _requests.ResponseHead):
                if head.status < SERVER_ERROR_STATUS:
                    now = self.gateway.read_clock()
                    self.gateway.table.record_success(choice.upstream, now)
                    return head
                self._rollout_watch.record_status(head.status)
                self._observer.record_server_error(choice.upstream, head.status)
                self.retries.exclude_reached(choice.upstream)
                if not self._may_repeat(choice.upstream.service):
                    return head
                self._discard_error_response()
                continue
            refusal = self._handle_failure(choice, head)
            if refusal is not None:
                return refusal

    def record_whole_response(self):
        """Count the current response as read to its end."""
        head = self.exchange.head
        self.gateway.request_metrics.record_response_end(head.framing, is_whole=True)
        if self._forwarder.peer is not None:
            # The host that has sent the request relates it to its upstream.
            return
        self._rollout_watch.record_status(head.status)
        self.crash_watch.record_whole(head, self.gateway.read_clock())

    def handle_broken_response(self, failure, last_event_id=None):
        """Record that a response broke off and decide on another attempt.

        Parameters
        ----------
        failure : Failure
            Failure of the current attempt.
        last_event_id : int or None, default=None
            ID of the last complete event of a stream.

        Returns
        -------
        domain.Refusal or None
            ``None`` if the request may be sent again.
        """
        upstream = self.exchange.upstream
        framing = self.exchange.head.framing
        if self._forwarder.peer is not None:
            return self._end_forwarded(failure)
        now = self.gateway.read_clock()
        self._rollout_watch.record_failure(failure)
        kind = failure.refusal.kind
        self._observer.record_broken(upstream, kind)
        self.crash_watch.record_lost(upstream, kind, has_begun=True, now=now)
        self.gateway.request_metrics.record_response_end(framing, is_whole=False)
        self.log.record_broken(upstream, failure.refusal.reason, framing, last_event_id)
        self.finish()
        self.retries.exclude_reached(upstream)
        self._add_refusal(failure.refusal)
        if not self._may_repeat(upstream.service):
            return self._refusal
        return None

    def record_unread(self, unread_s):
        """Record that the upstream cut the response because it remained unread.

        Neither the upstream nor the link to it has failed.

        Parameters
        ----------
        unread_s : float
            Time for which the caller kept the response waiting, seconds.
        """
        framing = self.exchange.head.framing
        self.gateway.request_metrics.record_response_end(framing, is_whole=False)
        if self._forwarder.peer is None:
            self.log.record_unread(self.exchange.upstream, unread_s)

    def _discard_error_response(self):
        self.exchange.discard_body()
        reason = "the upstream responded with a server error"
        self._add_refusal(domain.Refusal(domain.ErrorKind.UPSTREAM_LOST, reason))
        self.finish()

    def finish(self):
        """Mark the current attempt, if any, as ended."""
        self.record_begun()
        self._rollout_watch.finish()
        if self._work.upstream is not None:
            self.gateway.table.discard_expected_event(self._work.upstream, self)
        self._work.end()
        self.retries.end()
        self._forwarder.finish()
        self.exchange = None

    def abandon(self):
        """End the current attempt, if any, which cancels a request that still runs."""
        exchange = self.exchange
        if exchange is not None:
            exchange.close()
        self.finish()

    def _choose(self):
        while True:
            now = self.gateway.read_clock()
            view = self.gateway.views.get()
            refusal = _attempt_checks.find_refusal(self, view, now)
            if refusal is not None:
                return refusal
            peer = self._forwarder.choose(self.origin, now)
            if peer is not None:
                return peer
            if self.gateway.room_wait.wait(self, view, now):
                continue
            if not self.retries.wait_for_contact(view, now):
                break
        return self.gateway.chooser.choose(
            view,
            self.route,
            self.request,
            self.retries.excluded_boot_ids,
            now,
            self.origin,
            self.gateway.contacts if self.retries.is_retry else None,
        )

    def _forward(self, peer, last_event_id):
        """Forward the request to another host.

        Returns
        -------
        ResponseHead or domain.Refusal or None
            ``None`` if it has not run there and may be tried again.
        """
        mark = _requests.ForwardMark(
            self.gateway.forwarding.host,
            self.retries.count_left(),
            is_counted=self.retries.is_counted,
        )
        if self.timing.sent_s is None:
            self.timing.sent_s = self.gateway.read_clock()
        result = self._forwarder.open(peer, mark, last_event_id, self._set_exchange)
        if isinstance(result, _requests.ResponseHead):
            return result
        may_try_another = self._forwarder.may_try_another(result)
        self.retries.count_elsewhere(result.head)
        self.finish()
        self._add_refusal(result.refusal)
        has_left = self.retries.count_left() > 0
        return None if may_try_another and has_left else self._refusal

    def _end_forwarded(self, failure):
        """End a forwarded request whose response broke off; it may have run."""
        reason = failure.refusal.reason
        self._forwarder.record_end("broke", reason=reason)
        self.finish()
        self._add_refusal(failure.refusal)
        return self._refusal

    def _set_exchange(self, exchange):
        self.exchange = exchange
        if self.cancelled:
            exchange.cancel()
        if self.has_ended:
            exchange.withdraw()

    def _attempt(self, choice, last_event_id):
        upstream = choice.upstream
        dispatch = self._dispatcher.build(choice, last_event_id)
        exchange = _exchange.Exchange(
            self.gateway.protocol,
            self.gateway.pool,
            self.gateway.read_clock,
            self.request,
            dispatch,
            self.deadline_s,
            self.gate,
        )
        self._set_exchange(exchange)
        if self.timing.sent_s is None:
            self.timing.sent_s = self.gateway.read_clock()
        self.log.record_sent(dispatch)
        self._log_retry(upstream)
        self.retries.begin(upstream)
        self._rollout_watch.begin(upstream)
        self._work.begin(choice)
        self._grace_watch.begin(exchange)
        self._take_back.watch(choice)
        if self._dispatcher.has_full_priority:
            expected_s = self._dispatcher.sent_s + self._dispatcher.prefill_s
            self.gateway.table.expect_first_event(upstream, self, expected_s)
        result = exchange.open(choice.connections)
        if exchange.head is not None:
            self.retries.record_heard()
        self._observer.record_opened(exchange, result)
        return result

    def _log_retry(self, upstream):
        if self.retries.is_retry:
            contact = self.gateway.contacts.get(upstream.boot_id)
            self.log.record_retry(upstream, contact, self.gateway.read_clock())

    def record_begun(self):
        """Record that the upstream has begun the request, or that it has ended."""
        self._grace_watch.end()
        self._take_back.unwatch()
        self._work.record_read()

    def record_first_event(self):
        """Record the time at which the first event of the stream arrived."""
        now = self.gateway.read_clock()
        self.timing.first_event_s = now
        if self._forwarder.peer is not None:
            return
        upstream = self.exchange.upstream
        waited_s = now - self._dispatcher.sent_s
        self.log.record_first_event(self.exchange.dispatch, waited_s)
        self.gateway.table.record_first_event(upstream, self, now)
        self._work.learn_pace(waited_s, now)
        self.origin = decisions.StreamOrigin(
            upstream.service, upstream.software_version
        )
        if self.route.is_resumable:
            self.gateway.stream_versions.record_begin(
                self.request, self.origin, self.deadline_s, now
            )

    def _handle_failure(self, choice, failure):
        """Handle a failed attempt; return a refusal if no other attempt follows."""
        upstream = choice.upstream
        refusal = failure.refusal
        self.log.record_failed(upstream, refusal.reason)
        self._rollout_watch.record_failure(failure)
        self.retries.end(refusal.kind)
        self.finish()
        self._add_refusal(refusal)
        if failure.head is not None:
            self._handle_refusal(choice, failure.head)
            return None if self._may_send_again(upstream.service) else self._refusal
        self.retries.excluded_boot_ids.add(upstream.boot_id)
        self._observer.record_failure(upstream, refusal.kind)
        now = self.gateway.read_clock()
        self.crash_watch.record_lost(upstream, refusal.kind, has_begun=False, now=now)
        if refusal.kind in _upstream_observer.NOT_SENT_KINDS:
            return None
        self.retries.reached_boot_ids.add(upstream.boot_id)
        return None if self._may_repeat(upstream.service) else self._refusal

    def _handle_refusal(self, choice, head):
        if not head.is_wrong_upstream:
            self.retries.exclude_reached(choice.upstream)
            self._observer.record_full(choice.upstream)
        elif not self._observer.learn_version(choice, head, self.request):
            self.retries.excluded_boot_ids.add(choice.upstream.boot_id)

    def _may_repeat(self, service):
        """Decide whether a request that may have run is sent again."""
        return self.route.may_repeat and self._may_send_again(service)

    def _may_send_again(self, service):
        """Decide whether the request is sent again; uses up one retry if so."""
        if self.cancelled or self.has_ended:
            return False
        return self.retries.withdraw(service)

    def _add_refusal(self, refusal):
        self._refusal = decisions.combine_refusals(self._refusal, refusal)
