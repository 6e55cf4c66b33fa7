"""Forwards requests to other hosts while this host has lost its links to upstreams."""

import attrs
import loguru

from sycamorespoke import domain, messages
from sycamorespoke.gateway import (
    _exchange,
    _forward_format,
    _model,
    _requests,
    _statements,
)

CONNECTION_LIMIT = 64
# The other host has to refuse this much earlier than this host, so that its refusal
# arrives in time.
DEADLINE_MARGIN_S = 0.02
# Hosts that get the same request, one after the other; it has run at none of them.
MAX_HOSTS = 2
# Refusals for what only that host knows or lacks; another one may serve the request.
HOST_KINDS = frozenset(
    {
        domain.ErrorKind.UNAUTHENTICATED,
        domain.ErrorKind.NO_ROUTE,
        domain.ErrorKind.NOT_READY,
        domain.ErrorKind.DRAINING,
        domain.ErrorKind.OVERLOADED,
        domain.ErrorKind.NO_UPSTREAM,
        domain.ErrorKind.UPSTREAM_UNREACHABLE,
    }
)


@attrs.frozen
class _Target:
    """Another host in the place of an upstream, for the pool and the exchange."""

    id: str
    address: str

    @property
    def boot_id(self):
        return self.address


class _OpenGate:
    """Lets every request pass: the other host asks what its upstreams want."""

    def find_bar(self, upstream, now):
        return None


@attrs.define
class Forwarding:
    """What forwarding needs of this host; shared by all requests.

    Parameters
    ----------
    host : str
        Name of this host.
    protocol : object
        Has ``parse_response_head``.
    reachability : Reachability
        Which services this host reaches.
    peers : PeerReach
        Which services other hosts reach.
    pool : ConnectionPool
        Connections to other hosts.
    metrics : telemetry.Metrics
        Counts the forwarded requests.
    codec : messages.Codec or None, default=None
        Signs forwarded requests; ``None`` until this host has joined the others.
    """

    host: str
    protocol: object
    reachability: object
    peers: object
    pool: object
    metrics: object
    codec: object = None

    def start(self, shared_key):
        """Forward requests from now on, and accept forwarded ones.

        Parameters
        ----------
        shared_key : str
            The hosts' shared key.
        """
        self.codec = messages.Codec(shared_key)
        self.peers.start(self.codec)


class Forwarder:
    """Forwards one request to other hosts, one after the other.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the request.
    request : Request
        The request.
    route : Route
        Route of the request.
    deadline_s : float
        Deadline of the request, seconds of the boot clock.

    Attributes
    ----------
    peer : decisions.PeerReport or None
        Host that has the request now.
    """

    def __init__(self, gateway, request, route, deadline_s):
        self.gateway = gateway
        self.forwarding = gateway.forwarding
        self.request = request
        self.route = route
        self.deadline_s = deadline_s
        self.peer = None
        self._tried_hosts = set()

    def choose(self, origin, now):
        """Choose the host to which the request is forwarded.

        Parameters
        ----------
        origin : decisions.StreamOrigin or None
            Upstreams that may continue the stream, once it has begun.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        decisions.PeerReport or domain.Refusal or None
            ``None`` if this host shall try by itself; a refusal if it cannot, and no
            other host is known that can.
        """
        services = [origin.service] if origin else list(self.route.weights_by_service)
        reachability = self.forwarding.reachability
        lost = [each for each in services if reachability.is_lost(each, now)]
        if not lost:
            return None
        if self.request.forward_mark is not None:
            return _refuse("the host to which it was forwarded has lost its links too")
        if len(self._tried_hosts) >= MAX_HOSTS:
            return _refuse("no other host could serve it")
        may_repeat = self.route.may_repeat
        if not self._tried_hosts and reachability.begin_trials(lost, may_repeat, now):
            return None
        peer = None
        if self.forwarding.codec is not None:
            peer = self.forwarding.peers.find(services, self._tried_hosts, now)
        if peer is None and all(reachability.has_lost_all(each, now) for each in lost):
            return _refuse("no host is known that reaches an upstream")
        return peer

    def open(self, peer, mark, last_event_id, set_exchange):
        """Forward the request and read the head of the response.

        Parameters
        ----------
        peer : decisions.PeerReport
            Host that gets the request.
        mark : ForwardMark
            Mark without its signature.
        last_event_id : int or None
            ID of the event after which a stream resumes.
        set_exchange : callable
            Called with the `Exchange` before it begins.

        Returns
        -------
        ResponseHead or Failure
            As of an upstream.
        """
        self.peer = peer
        self._tried_hosts.add(peer.host)
        self.forwarding.peers.begin(peer.host)
        exchange = _exchange.Exchange(
            _ForwardProtocol(self.forwarding, self._resume_after(last_event_id), mark),
            self.forwarding.pool,
            self.gateway.read_clock,
            attrs.evolve(
                self.request,
                method=_forward_format.METHOD,
                target=_forward_format.TARGET,
            ),
            _requests.Dispatch(
                _Target(peer.host, peer.address),
                None,
                0.0,
                needs_new_connection=self.route.kind is _model.RouteKind.UNSAFE,
            ),
            self.deadline_s,
            _OpenGate(),
        )
        set_exchange(exchange)
        result = exchange.open(CONNECTION_LIMIT)
        self._record(result)
        return _reject_refusal(exchange, result)

    def finish(self):
        """Count the request as ended at the host that has it, if any."""
        if self.peer is not None:
            self.forwarding.peers.end(self.peer.host)
            self.peer = None

    def may_try_another(self, failure):
        """Return whether another host may get the request after a failure."""
        kind = failure.refusal.kind
        if kind is domain.ErrorKind.UPSTREAM_UNREACHABLE and failure.head is None:
            self.forwarding.peers.discard(self.peer.host)
        return kind in HOST_KINDS

    def record_end(self, outcome, **fields):
        """Log and count how a forwarded request ended."""
        self.forwarding.metrics.count(
            "forwarded_calls", direction="out", outcome=outcome
        )
        now = self.gateway.read_clock()
        loguru.logger.bind(
            request_id=self.request.id,
            route=self.route.name,
            peer=self.peer.host,
            outcome=outcome,
            left_ms=int((self.deadline_s - now) * 1000),
            **fields,
        ).info("call forwarded")

    def _resume_after(self, last_event_id):
        if last_event_id is None:
            return self.request
        # This host has begun the stream: its own request brought the first event.
        first_id = self.request.resumed_request_id or self.request.id
        return attrs.evolve(
            self.request,
            last_event_id=last_event_id,
            resumed_request_id=first_id,
            continues_stream=True,
        )

    def _record(self, result):
        if isinstance(result, _requests.Failure):
            kind = result.refusal.kind.value
            self.record_end("failed", reason=result.refusal.reason, error_kind=kind)
            return
        if result.refusal is not None:
            self.record_end("refused", error_kind=result.refusal.kind.value)
            return
        self.record_end("answered", status=result.status, upstream=result.answered_by)
        self._record_statements(result)

    def _record_statements(self, head):
        """Record what the upstream says, which binds this host that passes it on."""
        gateway = self.gateway
        upstreams = (gateway.views.get().upstreams_by_id or {}).values()
        for upstream in upstreams:
            if upstream.boot_id == head.answered_by:
                recorder = _statements.StatementRecorder(gateway.table, gateway.views)
                now = gateway.read_clock()
                recorder.record(upstream, head.statements, now, self._log_statement)

    def _log_statement(self, event, upstream, **fields):
        loguru.logger.bind(
            request_id=self.request.id,
            route=self.route.name,
            upstream=upstream.id,
            peer=self.peer.host,
            **fields,
        ).info(event)


class _ForwardProtocol:
    """Builds the headers of one forwarded request and parses those of the response."""

    def __init__(self, forwarding, request, mark):
        self._forwarding = forwarding
        self._request = request
        self._mark = mark

    def build_request_headers(self, request, dispatch, remaining_s):
        return _forward_format.build_request_headers(
            self._forwarding.codec,
            self._request,
            self._mark,
            remaining_s - DEADLINE_MARGIN_S,
        )

    def parse_response_head(self, response):
        head = self._forwarding.protocol.parse_response_head(response)
        return _forward_format.read_response_head(head)


def _reject_refusal(exchange, result):
    """Return a failure in place of the head of another host's refusal."""
    if isinstance(result, _requests.Failure) or result.refusal is None:
        return result
    exchange.discard_body()
    return _requests.Failure(result.refusal, result)


def _refuse(reason):
    return domain.Refusal(
        domain.ErrorKind.NO_UPSTREAM, f"this host reaches no upstream; {reason}"
    )
