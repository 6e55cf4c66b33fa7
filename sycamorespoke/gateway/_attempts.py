"""The attempts of one call, one after the other, each at another upstream."""

import loguru

from sycamorespoke import decisions, world
from sycamorespoke.gateway import _chooser, _dispatcher, _exchange, _model, _requests

# How much each failure says of its upstream, 0 to 1.
FAULT_WEIGHT_BY_KIND = {
    world.ErrorKind.UPSTREAM_UNREACHABLE: 1.0,
    world.ErrorKind.UPSTREAM_LOST: 0.7,
    world.ErrorKind.ANSWER_MISMATCH: 0.7,
    world.ErrorKind.DEADLINE_AFTER_SEND: 0.5,
}
# Failures before anything was sent.
NOT_SENT_KINDS = frozenset(
    {world.ErrorKind.UPSTREAM_UNREACHABLE, world.ErrorKind.OVERLOADED}
)
SERVER_ERROR_WEIGHT = 0.5
SERVER_ERROR_STATUS = 500
# A full upstream is passed over for this long.
FULL_S = 0.1
# A refusal is answered this long before the deadline at the latest.
LEAST_LEFT_S = 0.02


class Attempts:
    """Finds upstreams for a call until one answers.

    Parameters
    ----------
    gateway : Gateway
        Serves the request and holds the collaborators.
    request : Request
        The call.
    route : Route
        Its route.
    account : Account or None
        Its client account.
    ends_s : float
        Deadline, seconds of the boot clock.
    """

    def __init__(self, gateway, request, route, account, ends_s):
        self.gateway = gateway
        self.request = request
        self.route = route
        self.account = account
        self.ends_s = ends_s
        self.left = False
        self.exchange = None
        self._excluded = set()
        self._work = _chooser.estimate_work(request.prompt) if request.prompt else 1.0
        self._counted = None
        self._worst = None
        self._deposited = set()
        # Upstreams that received the call, whether or not they ran it.
        self._reached = set()
        self._dispatcher = _dispatcher.Dispatcher(
            gateway, request, route, account, ends_s
        )
        self.timing = _requests.RequestTiming(request.arrived_s)

    def leave(self):
        """Stop at once since the caller has gone; from any thread."""
        self.left = True
        exchange = self.exchange
        if exchange is not None:
            exchange.cancel()

    def open(self, last_event_id=None):
        """Send the call until an upstream begins to answer.

        Parameters
        ----------
        last_event_id : int or None, default=None
            Event after which a stream shall go on.

        Returns
        -------
        ResponseHead or world.Refusal
            The refusal tells truly whether the call may have run.
        """
        while True:
            choice = self._choose()
            if isinstance(choice, world.Refusal):
                return self._combine(choice)
            head = self._attempt(choice, last_event_id)
            if isinstance(head, _requests.ResponseHead):
                if not self._is_server_error(head):
                    self.gateway.table.record_success(choice.upstream)
                    return head
                self.fail_server_error(head)
                self._rule_out(choice.upstream)
                if not self._may_repeat(choice.upstream.service):
                    return head
                self._pass_over_error()
                continue
            refusal = self._take_failure(choice, head)
            if refusal is not None:
                return refusal

    def retry_after(self, failure):
        """Note a failure of an answer under way and decide on another attempt.

        Returns
        -------
        world.Refusal or None
            ``None`` if the call may be sent once more.
        """
        upstream = self.exchange.upstream
        self._note_fault(upstream, failure.refusal.kind)
        self._count("broke", upstream)
        self._log("attempt broke", upstream, reason=failure.refusal.reason)
        self.end()
        self._rule_out(upstream)
        self._keep_worst(failure.refusal)
        if not self._may_repeat(upstream.service):
            return self._worst
        return None

    def fail_server_error(self, head):
        """Note that the upstream answered with an error of its own."""
        upstream = self.exchange.upstream
        now = self.gateway.read_clock()
        self.gateway.table.record_failure(upstream, SERVER_ERROR_WEIGHT, now)
        self._count("upstream_error", upstream)
        self._log("upstream error", upstream, status=head.status)

    def _rule_out(self, upstream):
        """Note that an upstream received the call and is not asked again."""
        self._reached.add(upstream.boot_id)
        self._excluded.add(upstream.boot_id)

    def _pass_over_error(self):
        # Read to its end, so that the connection can carry another request.
        self.exchange.read_whole()
        reason = "the upstream answered with an error"
        self._keep_worst(world.Refusal(world.ErrorKind.UPSTREAM_LOST, reason))
        self.end()

    def end(self):
        """Count the present attempt as ended."""
        if self._counted is not None:
            self.gateway.table.discard_expected_event(self._counted, self)
            self.gateway.table.end_request(self._counted, self._work)
            self._counted = None
        self.exchange = None

    def _choose(self):
        now = self.gateway.read_clock()
        if self.left:
            return world.Refusal(world.ErrorKind.CANCELLED, "the caller left")
        if now >= self.ends_s - LEAST_LEFT_S:
            return world.Refusal(
                world.ErrorKind.DEADLINE_BEFORE_SEND, "no time is left to send it"
            )
        view = self.gateway.views.get()
        return self.gateway.chooser.choose(
            view, self.route, self.request, self._excluded, now
        )

    def _attempt(self, choice, last_event_id):
        upstream = choice.upstream
        self._deposit(upstream.service)
        dispatch = self._dispatcher.make(choice, last_event_id)
        exchange = _exchange.Exchange(
            self.gateway.protocol,
            self.gateway.pool,
            self.gateway.read_clock,
            self.request,
            dispatch,
            self.ends_s,
        )
        self.exchange = exchange
        if self.left:
            exchange.cancel()
        if self.timing.sent_s is None:
            self.timing.sent_s = self.gateway.read_clock()
        self._log_sent(dispatch)
        self.gateway.table.begin_request(upstream, self._work)
        self._counted = upstream
        if self._dispatcher.is_urgent:
            expected_s = self._dispatcher.sent_s + self._dispatcher.read_s
            self.gateway.table.expect_first_event(upstream, self, expected_s)
        fresh = self.route.kind is _model.RouteKind.UNSAFE
        return exchange.open(choice.connections, fresh)

    def _log_sent(self, dispatch):
        self._count("sent", dispatch.upstream)
        self._log(
            "call sent",
            dispatch.upstream,
            level="DEBUG",
            urgency=dispatch.priority,
            weight_version=dispatch.weight_version,
            fetched=sum(
                address is not None for address in dispatch.block_plan.import_from
            ),
            saved=sum(address is not None for address in dispatch.block_plan.export_to),
            resumed_after=dispatch.last_event_id,
        )

    def record_first_event(self):
        """Note how long the upstream took to begin."""
        now = self.gateway.read_clock()
        self.timing.first_event_s = now
        self.gateway.table.record_first_event(self.exchange.upstream, self, now)

    def _take_failure(self, choice, failure):
        """Handle a failed attempt; return a refusal if it was the last."""
        upstream = choice.upstream
        refusal = failure.refusal
        self._count("failed", upstream)
        self._log("attempt failed", upstream, reason=refusal.reason)
        self.end()
        self._keep_worst(refusal)
        if failure.head is not None:
            self._take_refusal(choice, failure.head)
            return None if self._may_send_on(upstream.service) else self._worst
        self._excluded.add(upstream.boot_id)
        self._note_fault(upstream, refusal.kind)
        if refusal.kind in NOT_SENT_KINDS:
            return None
        self._reached.add(upstream.boot_id)
        return None if self._may_repeat(upstream.service) else self._worst

    def _take_refusal(self, choice, head):
        upstream = choice.upstream
        now = self.gateway.read_clock()
        model = self.request.prompt.model if self.request.prompt else ""
        if not head.is_wrong_upstream:
            self._rule_out(upstream)
            self.gateway.table.record_full(upstream, now + FULL_S)
            return
        is_named = head.upstream_id in ("", upstream.id)
        if not is_named or head.weight_version in (None, choice.weight_version):
            self._excluded.add(upstream.boot_id)
            return
        # It is the one, with other weights than it was believed to hold.
        if model:
            self.gateway.table.record_version(upstream, model, head.weight_version)

    def _may_repeat(self, service):
        """Decide whether a call that may have run is sent once more."""
        return self.route.may_repeat and self._may_send_on(service)

    def _may_send_on(self, service):
        """Decide whether the call goes to an upstream once more."""
        if self.left or len(self._reached) >= self.route.attempts:
            return False
        return self._take_budget(service)

    def _take_budget(self, service):
        view = self.gateway.views.get()
        return self.gateway.budgets.withdraw(service, max(len(view.hosts), 1))

    def _deposit(self, service):
        if service in self._deposited:
            return
        self._deposited.add(service)
        view = self.gateway.views.get()
        self.gateway.budgets.deposit(service, max(len(view.hosts), 1))

    def _note_fault(self, upstream, kind):
        weight = FAULT_WEIGHT_BY_KIND.get(kind)
        if weight is None:
            return
        now = self.gateway.read_clock()
        if self.gateway.table.record_failure(upstream, weight, now):
            self._log("upstream left out", upstream, cause=kind.value)

    def _keep_worst(self, refusal):
        if self._worst is None:
            self._worst = refusal
        else:
            self._worst = decisions.combine_refusals(self._worst, refusal)

    def _combine(self, refusal):
        if self._worst is None:
            return refusal
        return decisions.combine_refusals(self._worst, refusal)

    def _is_server_error(self, head):
        return head.status >= SERVER_ERROR_STATUS

    def _count(self, outcome, upstream):
        self.gateway.request_metrics.record_attempt(outcome, upstream.service)

    def _log(self, event, upstream, level="INFO", **fields):
        now = self.gateway.read_clock()
        view = self.gateway.views.get()
        loguru.logger.bind(
            request_id=self.request.id,
            route=self.route.name,
            upstream=upstream.id,
            reached=len(self._reached),
            left_ms=int((self.ends_s - now) * 1000),
            urgent=self._dispatcher.is_urgent,
            configuration=view.configuration.version,
            upstreams_age_ms=_age_ms(view, "upstreams", now),
            **fields,
        ).log(level, event)


def _age_ms(view, part, now):
    confirmed_s = view.confirmed_s_by_section.get(part)
    return None if confirmed_s is None else int((now - confirmed_s) * 1000)
