"""Serves requests to plain services."""

import time
import uuid

import loguru

from sycamorespoke import claims, decisions, domain
from sycamorespoke.entry import (
    _admitted_request,
    _responses,
    _service_attempts,
    _service_gate,
)

PRIVATE_HEADERS = frozenset({"authorization", "x-deadline-s"})


class ServiceHandler:
    """Serves the paths of plain services.

    Parameters
    ----------
    service_client : clients.ServiceClient
        Client of plain services.
    claim_client : claims.Claims
        Claims of the non-idempotent requests.
    chooser : Chooser
        Chooses upstreams.
    table : UpstreamTable
        State of the upstreams.
    admission_control : admission.Admission
        Concurrency limits and fair queue of the client accounts.
    metrics : telemetry.Metrics
        Metrics of the daemon.
    crash_guard : CrashGuard
        Refuses requests that end upstreams.
    """

    def __init__(
        self,
        service_client,
        claim_client,
        chooser,
        table,
        admission_control,
        metrics,
        crash_guard,
    ):
        self.service_client = _service_gate.GatedServiceClient(
            service_client, chooser, table
        )
        self.claim_client = claim_client
        self.chooser = chooser
        self.table = table
        self.admission_control = admission_control
        self.metrics = metrics
        self.crash_guard = crash_guard

    def handle(self, request, account, view, start_response):
        """Serve one request.

        Parameters
        ----------
        request : Request
            The caller's request.
        account : domain.ClientAccount
            Client account of the caller.
        view : membership.View
            Configuration in force on arrival.
        start_response : callable
            ``start_response`` of WSGI.

        Returns
        -------
        iterable of bytes or domain.Refusal
            Response body for WSGI, or the refusal.
        """
        route = find_service_route(view.configuration, request.method, request.path)
        if isinstance(route, domain.Refusal):
            return route
        service_client = self.crash_guard.watch_service_request(
            request, account, self.service_client
        )
        # A request whose idempotency key is claimed may have run before. Its claim is
        # checked first, and the quarantine before each attempt.
        if route.idempotent or not request.idempotency_key:
            quarantined = service_client.find_refusal()
            if quarantined is not None:
                return quarantined
        deadline_s = request.compute_deadline(route.deadline_s)
        admitted = _admitted_request.AdmittedRequest.admit(
            self.admission_control, account, route, deadline_s, time.monotonic()
        )
        if isinstance(admitted, domain.Refusal):
            return admitted
        attempts = _service_attempts.ServiceAttempts(self, route, admitted)
        result = domain.Refusal(domain.ErrorKind.INTERNAL, "the request failed")
        try:
            result = self._send(
                service_client, request, account, view, route, deadline_s, attempts
            )
        finally:
            attempts.finish(result)
        fingerprint = service_client.watch.fingerprint
        self._log(request, account, attempts, fingerprint, result)
        if isinstance(result, domain.Refusal):
            return self.chooser.state_backoff(result, route.group, time.monotonic())
        return _send_response(start_response, result, request.request_id)

    def _send(
        self, service_client, request, account, view, route, deadline_s, attempts
    ):
        contract = view.configuration.groups_by_name[route.group].contract
        service_request = make_service_request(request, account, route, contract)
        if route.idempotent:
            return _send_idempotent(
                service_client, service_request, deadline_s, attempts
            )
        return claims.run_once(
            self.claim_client,
            service_client,
            service_request,
            attempts.iterate_hosts(),
            deadline_s,
            time.time(),
        )

    def _log(self, request, account, attempts, fingerprint, result):
        refused = isinstance(result, domain.Refusal)
        loguru.logger.bind(
            request_id=request.request_id,
            client_account=account.name,
            revision=self.chooser.get_view().configuration.revision,
            route=attempts.route.name,
            error_kind=result.kind.value if refused else None,
            status=None if refused else result.status,
            attempts=attempts.count,
            fingerprint=fingerprint,
            duration_s=round(time.monotonic() - request.arrived_s, 4),
        ).info("service call ended")


def find_service_route(configuration, method, path):
    """Find the route that serves a request to a plain service.

    Parameters
    ----------
    configuration : domain.Configuration
        Configuration in force.
    method : str
        HTTP method.
    path : str
        Path without the query.

    Returns
    -------
    domain.Route or domain.Refusal
        The matching route with the longest path prefix, or a ``NO_ROUTE`` refusal.
    """
    matching = [
        route
        for route in configuration.routes_by_name.values()
        if route.path and _matches(route, method, path)
    ]
    if matching:
        return max(matching, key=lambda route: len(route.path))
    return domain.Refusal(domain.ErrorKind.NO_ROUTE, f"no route serves {method} {path}")


def make_service_request(request, account, route, contract):
    """Make the request to a plain service from a caller's request.

    Parameters
    ----------
    request : Request
        The caller's request.
    account : domain.ClientAccount
        Client account of the caller.
    route : domain.Route
        Route of the request.
    contract : domain.Contract
        Contract of the group that serves the request.

    Returns
    -------
    claims.ServiceRequest
        The request without the caller's API key and deadline header.
    """
    headers = tuple(
        (name, value)
        for name, value in request.headers_by_name.items()
        if name not in PRIVATE_HEADERS
    )
    return claims.ServiceRequest(
        account=account.name,
        route=route.name,
        method=request.method,
        path=f"{request.path}?{request.query}" if request.query else request.path,
        headers=headers,
        body=request.body,
        # Callers may choose equal request IDs, so a unique one is sent: the echoed
        # ID must identify this request.
        request_id=uuid.uuid4().hex,
        idempotency_key=request.idempotency_key,
        echoes_request_id=contract.echoes_request_id,
    )


def _send_idempotent(service_client, service_request, deadline_s, attempts):
    result = domain.Refusal(domain.ErrorKind.NO_UPSTREAM, "no upstream is available")
    combined = None
    for host in attempts.iterate_hosts():
        result = service_client.send(
            host,
            service_request.method,
            service_request.path,
            service_request.headers,
            service_request.body,
            deadline_s - time.monotonic(),
            service_request.request_id,
            is_idempotent=True,
            echoes_request_id=service_request.echoes_request_id,
        )
        if not isinstance(result, domain.Refusal):
            return result
        combined = decisions.combine_refusals(combined, result)
        if not attempts.may_retry(result):
            return combined
    return combined or result


def _matches(route, method, path):
    if route.methods and method not in route.methods:
        return False
    return path == route.path or path.startswith(route.path.rstrip("/") + "/")


def _send_response(start_response, response, request_id):
    headers = [
        *response.headers,
        ("Content-Length", str(len(response.body))),
        ("X-Request-Id", request_id),
    ]
    start_response(_responses.format_status(response.status), headers)
    return [response.body]
