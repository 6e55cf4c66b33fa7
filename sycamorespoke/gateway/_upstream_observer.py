"""Records what the attempts of a request show of upstreams and of the links to them."""

from sycamorespoke import domain
from sycamorespoke.gateway import _requests, _statements

# How strongly a failure of each kind indicates a fault of the upstream, 0 to 1.
FAILURE_WEIGHT_BY_KIND = {
    domain.ErrorKind.UPSTREAM_UNREACHABLE: 1.0,
    domain.ErrorKind.UPSTREAM_LOST: 0.7,
    domain.ErrorKind.ANSWER_MISMATCH: 0.7,
    domain.ErrorKind.DEADLINE_AFTER_SEND: 0.5,
}
SERVER_ERROR_WEIGHT = 0.5
# Other upstreams are preferred for this long after an upstream refused a request
# because it was full.
FULL_AVOIDANCE_S = 0.1
# Kinds of failures after which nothing has been sent to the upstream.
NOT_SENT_KINDS = frozenset(
    {
        domain.ErrorKind.UPSTREAM_UNREACHABLE,
        domain.ErrorKind.OVERLOADED,
        domain.ErrorKind.NO_UPSTREAM,
    }
)
# Kinds of failures of a request that was given up before the upstream responded.
GIVEN_UP_KINDS = frozenset(
    {
        domain.ErrorKind.DEADLINE_AFTER_SEND,
        domain.ErrorKind.WITHDRAWN,
        domain.ErrorKind.CANCELLED,
    }
)
# Kinds of failures after which a request may have been sent.
UNANSWERED_KINDS = frozenset(
    {domain.ErrorKind.UPSTREAM_LOST, domain.ErrorKind.DEADLINE_AFTER_SEND}
)


class UpstreamObserver:
    """Records the outcomes of the attempts of one request.

    Parameters
    ----------
    gateway : Gateway
        Holds the states of the upstreams and of the links to them.
    log : AttemptLog
        Logs what is new.
    """

    def __init__(self, gateway, log):
        self.gateway = gateway
        self.log = log

    def record_opened(self, exchange, result):
        """Record an attempt that has a response or a failure.

        Parameters
        ----------
        exchange : Exchange
            Exchange of the attempt.
        result : ResponseHead or Failure
            What it returned.
        """
        self._record_links(exchange, result)
        self._record_statements(exchange, result)

    def record_failure(self, upstream, kind):
        """Record a failure of some kind, which may eject the upstream."""
        weight = FAILURE_WEIGHT_BY_KIND.get(kind)
        if weight is None:
            return
        now = self.gateway.read_clock()
        if self.gateway.table.record_failure(upstream, weight, now):
            self.log.record_ejection(upstream, kind)

    def record_broken(self, upstream, kind):
        """Record that a response of an upstream broke off."""
        self.record_failure(upstream, kind)
        if kind in UNANSWERED_KINDS:
            now = self.gateway.read_clock()
            self.gateway.reachability.record_unanswered(upstream, now)

    def record_full(self, upstream):
        """Record that an upstream refused a request because it was full."""
        until_s = self.gateway.read_clock() + FULL_AVOIDANCE_S
        self.gateway.table.record_full(upstream, until_s)

    def learn_version(self, choice, head, request):
        """Learn from a refusal that an upstream holds a newer version than expected.

        Parameters
        ----------
        choice : Choice
            Upstream that refused, and the weight version that was expected there.
        head : ResponseHead
            Head of the refusal.
        request : Request
            The request.

        Returns
        -------
        bool
            Whether a second try may be accepted. Of an older version the table keeps
            no record, so that it would be refused as well.
        """
        upstream = choice.upstream
        is_expected = head.statements.upstream_id in ("", upstream.id)
        if not is_expected or head.weight_version in (None, choice.weight_version):
            return False
        return request.prompt is not None and self.gateway.table.record_version(
            upstream, request.prompt.model, head.weight_version
        )

    def record_server_error(self, upstream, status):
        """Record a response with a server error as a failure of the upstream."""
        now = self.gateway.read_clock()
        self.gateway.table.record_failure(upstream, SERVER_ERROR_WEIGHT, now)
        self.log.record_server_error(upstream, status)

    def _record_links(self, exchange, result):
        now = self.gateway.read_clock()
        reachability = self.gateway.reachability
        if exchange.has_connected:
            reachability.record_connected(exchange.upstream, now)
        if exchange.head is not None:
            reachability.record_answered(exchange.upstream, now)
        elif result.refusal.kind is domain.ErrorKind.UPSTREAM_UNREACHABLE:
            reachability.record_unreachable(exchange.upstream, now)
        elif result.refusal.kind in UNANSWERED_KINDS:
            reachability.record_unanswered(exchange.upstream, now)

    def _record_statements(self, exchange, result):
        if exchange.head is None:
            return
        head = result if isinstance(result, _requests.ResponseHead) else result.head
        recorder = _statements.StatementRecorder(self.gateway.table, self.gateway.views)
        recorder.record(
            exchange.upstream,
            exchange.head.statements,
            self.gateway.read_clock(),
            self.log.record_statement,
            # A response that belongs to another request comes from the same upstream.
            ends_rate_limit=head is not None,
        )
