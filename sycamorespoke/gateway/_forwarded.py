"""Serves the requests that other hosts forward to this one."""

import threading

import attrs
import loguru

from sycamorespoke import domain, messages, serving
from sycamorespoke.gateway import _forward_format

# More than this at a time is refused, so that the other host tries another one.
MAX_FORWARDED = 64


class ForwardedApplication:
    """WSGI application for requests that other hosts forward.

    Parameters
    ----------
    gateway : Gateway
        Serves the requests.
    forwarding : Forwarding
        Verifies their marks.
    metrics : telemetry.Metrics
        Counts them.
    """

    def __init__(self, gateway, forwarding, metrics):
        self.gateway = gateway
        self.forwarding = forwarding
        self.metrics = metrics
        # IP address and port of the server; empty while it accepts no requests.
        self.address = ""
        self._lock = threading.Lock()
        self._count = 0

    def __call__(self, environ, start_response):
        """Serve one forwarded request; this is the WSGI entry point."""
        now = environ.get("caller.arrived_s") or self.gateway.read_clock()
        codec = self.forwarding.codec
        request = None
        if codec is not None:
            request = _forward_format.parse_request(codec, environ, now)
        if request is None:
            self._count_outcome("unverified")
            refusal = domain.Refusal(
                domain.ErrorKind.UNAUTHENTICATED, "no host has forwarded the request"
            )
            return self.gateway.refuse(start_response, None, None, refusal)
        if not self._begin():
            self._count_outcome("too many")
            refusal = domain.Refusal(
                domain.ErrorKind.OVERLOADED, "too many forwarded requests"
            )
            return self.gateway.refuse(start_response, request, None, refusal)
        self._count_outcome("accepted")
        loguru.logger.bind(request_id=request.id, peer=request.forward_mark.host).info(
            "forwarded call received"
        )
        try:
            body = self.gateway.serve(request, environ, start_response)
        except BaseException:
            self._end()
            raise
        return _CountedBody(body, self._end)

    def make_reply(self, request, now):
        """Make the reply to a host that asks which services this one reaches.

        Parameters
        ----------
        request : messages.ReachRequest
            The question.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        messages.ReachReply
            The reply.
        """
        ages_s = {
            service: self.forwarding.reachability.get_answer_age_s(service, now)
            for service in request.services
        }
        known = {name: age_s for name, age_s in ages_s.items() if age_s is not None}
        return messages.ReachReply(self.address, known, self._count)

    def _begin(self):
        with self._lock:
            if self._count >= MAX_FORWARDED:
                return False
            self._count += 1
            return True

    def _end(self):
        with self._lock:
            self._count -= 1

    def _count_outcome(self, outcome):
        self.metrics.count("forwarded_calls", direction="in", outcome=outcome)


class _CountedBody:
    """Body of a response that calls a function once it has been sent or given up."""

    def __init__(self, body, on_close):
        self._body = body
        self._on_close = on_close

    def __iter__(self):
        return iter(self._body)

    def close(self):
        """End the body."""
        try:
            if hasattr(self._body, "close"):
                self._body.close()
        finally:
            self._on_close()


def make_server(listen, application, connection_limit, limits, byte_budget=None):
    """Make the server for forwarded requests.

    Parameters
    ----------
    listen : str
        IP address and port; port 0 selects a free port.
    application : ForwardedApplication
        Gets the address of the server.
    connection_limit : int
        Maximum number of open connections.
    limits : serving.CallerLimits
        Limits on requests.
    byte_budget : serving.ByteBudget or None, default=None
        Bounds the bytes of requests that are held.

    Returns
    -------
    serving.CallerServer
        Not started yet.
    """
    server = serving.CallerServer(
        listen,
        application,
        MAX_FORWARDED,
        connection_limit,
        scale_limits(limits),
        byte_budget,
        owner="forwarded",
    )
    application.address = f"{listen.rpartition(':')[0]}:{server.port}"
    return server


def scale_limits(limits):
    """Return limits for forwarded requests, whose headers are longer."""
    header_bytes = limits.header_bytes * _forward_format.HEADER_GROWTH
    return attrs.evolve(limits, header_bytes=header_bytes)
