"""Whether to take back a request whose first event is overdue."""

from sycamorespoke import domain
from sycamorespoke.gateway import _candidates, _model

# A request is taken back only if another upstream is expected to begin it within this
# share of the time for which it has waited.
FASTER_RATIO = 0.3


class TakeBack:
    """Has the `OverdueWatch` watch the attempts of one request.

    Parameters
    ----------
    attempts : Attempts
        The attempts.
    request_retries : RequestRetries
        Whether the request may be sent again.
    dispatcher : Dispatcher
        When it was sent, and how long its upstream reads it.
    observer : UpstreamObserver
        Records what the attempts show of upstreams.
    """

    def __init__(self, attempts, request_retries, dispatcher, observer):
        self.attempts = attempts
        self.gateway = attempts.gateway
        self.request_retries = request_retries
        self.dispatcher = dispatcher
        self.observer = observer
        self._upstream = None

    def watch(self, choice):
        """Watch the attempt at the upstream of a `Choice`, if it is a stream's."""
        is_stream = self.attempts.route.kind is _model.RouteKind.STREAM
        if choice.expected_wait_s is None or not is_stream:
            return
        self._upstream = choice.upstream
        expected_s = choice.expected_wait_s + self.dispatcher.prefill_s
        self.gateway.overdue.watch(self, expected_s, self.dispatcher.sent_s)

    def unwatch(self):
        """Stop watching the attempt, which has begun or ended."""
        self.gateway.overdue.unwatch(self)
        self._upstream = None

    def may_take_back(self):
        """Decide whether to take back the request, whose first event is overdue.

        Returns
        -------
        bool
            Whether another upstream would begin it much sooner, and its kind and the
            retry budget allow to send it again. That another one would counts against
            this upstream like a missing response.
        """
        upstream = self._upstream
        if upstream is None or not self._is_faster_elsewhere(upstream):
            return False
        self.attempts.log.record_overdue(upstream)
        self.observer.record_failure(upstream, domain.ErrorKind.DEADLINE_AFTER_SEND)
        return self.attempts.route.may_repeat and self.request_retries.reserve(
            upstream.service
        )

    def take_back(self):
        """Take the request back from its upstream; called from another thread."""
        exchange = self.attempts.exchange
        if exchange is not None:
            exchange.withdraw()

    def _is_faster_elsewhere(self, upstream):
        """Return whether another upstream would begin the request much sooner."""
        view = self.gateway.views.get()
        now = self.gateway.read_clock()
        excluded = self.request_retries.excluded_boot_ids | {upstream.boot_id}
        others = [
            each
            for each in view.list_upstreams(upstream.service)
            if each.software_version == upstream.software_version
            and each.boot_id not in excluded
        ]
        placed = self.gateway.chooser.preview(
            view,
            _candidates.select_heard(self.gateway.contacts, others, now),
            self.attempts.request,
            self.attempts.route,
            now,
        )
        if placed is None or placed.expected_wait_s is None:
            return False
        expected_s = placed.expected_wait_s + self.dispatcher.prefill_s
        return expected_s < (now - self.dispatcher.sent_s) * FASTER_RATIO
