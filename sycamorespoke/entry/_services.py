"""Calls of plain services."""

import time
import uuid

import loguru

from sycamorespoke import claims, decisions, world
from sycamorespoke.entry import _admitted_request, _responses

PRIVATE_HEADERS = frozenset({"authorization", "x-deadline-s"})


class ServiceHandler:
    """Serves the paths of plain services.

    Parameters
    ----------
    service_client : clients.ServiceClient
        Client of plain services.
    claim_keeper : claims.Claims
        Claims of the non-idempotent calls.
    chooser : Chooser
        Finds upstreams.
    table : UpstreamTable
        What is known about the upstreams.
    admission_control : admission.Admission
        Limits and fair queue of the client accounts.
    metrics : telemetry.Metrics
        Metrics of the daemon.
    """

    def __init__(
        self, service_client, claim_keeper, chooser, table, admission_control, metrics
    ):
        self.service_client = service_client
        self.claim_keeper = claim_keeper
        self.chooser = chooser
        self.table = table
        self.admission_control = admission_control
        self.metrics = metrics

    def handle(self, request, account, view, start_response):
        """Serve one request.

        Parameters
        ----------
        request : Request
            The request.
        account : world.ClientAccount
            Who calls.
        view : membership.View
            Configuration in force on arrival.
        start_response : callable
            As WSGI passes it.

        Returns
        -------
        iterable of bytes or world.Refusal
            Body for WSGI, or why there is no response.
        """
        route = find_service_route(view.configuration, request.method, request.path)
        if isinstance(route, world.Refusal):
            return route
        deadline_s = request.compute_deadline(route.deadline_s)
        admitted = _admitted_request.AdmittedRequest.admit(
            self.admission_control, account, route, deadline_s, time.monotonic()
        )
        if isinstance(admitted, world.Refusal):
            return admitted
        attempts = ServiceAttempts(self, route, admitted)
        result = world.Refusal(world.ErrorKind.INTERNAL, "the request failed")
        try:
            result = self._send(request, account, view, route, deadline_s, attempts)
        finally:
            attempts.finish(result)
        self._log(request, account, attempts, result)
        if isinstance(result, world.Refusal):
            return result
        return _send_response(start_response, result, request.request_id)

    def _send(self, request, account, view, route, deadline_s, attempts):
        contract = view.configuration.groups_by_name[route.group].contract
        service_request = make_service_request(request, account, route, contract)
        if route.idempotent:
            return self._send_idempotent(service_request, deadline_s, attempts)
        return claims.run_once(
            self.claim_keeper,
            self.service_client,
            service_request,
            attempts.iterate_hosts(),
            deadline_s,
            time.time(),
        )

    def _send_idempotent(self, service_request, deadline_s, attempts):
        result = world.Refusal(
            world.ErrorKind.NO_UPSTREAM, "no upstream takes the request"
        )
        earlier = None
        for host in attempts.iterate_hosts():
            result = self.service_client.send(
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
            if not isinstance(result, world.Refusal):
                return result
            earlier = decisions.combine_refusals(earlier, result)
            if not attempts.may_retry(result):
                return earlier
        return earlier or result

    def _log(self, request, account, attempts, result):
        refused = isinstance(result, world.Refusal)
        loguru.logger.bind(
            request_id=request.request_id,
            client_account=account.name,
            revision=self.chooser.get_view().configuration.revision,
            route=attempts.route.name,
            error_kind=result.kind.value if refused else None,
            status=None if refused else result.status,
            attempts=attempts.count,
            duration_s=round(time.monotonic() - request.arrived_s, 4),
        ).info("service call ended")


class ServiceAttempts:
    """The attempts of one request, each counted by the admission and the table.

    Parameters
    ----------
    handler : ServiceHandler
        Its collaborators.
    route : world.Route
        Route of the request.
    admitted : AdmittedRequest
        The right to send.
    """

    def __init__(self, handler, route, admitted):
        self.handler = handler
        self.route = route
        self.admitted = admitted
        self.count = 0
        self._host = None
        self._sent_s = 0.0

    def iterate_hosts(self):
        """Iterate over the upstreams to try, each counted as sent to.

        Yields
        ------
        world.Host
            The next one is asked for only after the one before has failed.
        """
        excluded = set()
        while self.count <= self.route.retries:
            now = time.monotonic()
            choice = self.handler.chooser.choose_service(
                self.route.group, excluded, self.admitted.free_names(), now
            )
            if isinstance(choice, world.Refusal):
                return
            excluded.add(choice.host.name)
            if not self.admitted.begin_attempt(choice.host.name):
                continue
            self.count += 1
            self._host = choice.host
            self._sent_s = now
            self.handler.table.record_sent(choice.host.name, 0)
            yield choice.host
            unreachable = world.Refusal(
                world.ErrorKind.UPSTREAM_UNREACHABLE, "another upstream is tried"
            )
            self._end(unreachable)

    def may_retry(self, result):
        """Decide whether an idempotent request is sent again after a result."""
        if result.kind not in decisions.RETRYABLE_KINDS:
            return False
        return self.count <= self.route.retries and self.admitted.take_retry()

    def finish(self, result):
        """Count the last attempt as ended and give the slot back."""
        delay_s = time.monotonic() - self._sent_s
        self._end(result)
        self.admitted.release(result, delay_s if self.count else None)

    def _end(self, result):
        if self._host is None:
            return
        answered = not isinstance(result, world.Refusal)
        duration_s = time.monotonic() - self._sent_s if answered else None
        self.handler.table.record_finished(self._host.name, duration_s)
        self.admitted.end_attempt(result, duration_s)
        self._host = None


def find_service_route(configuration, method, path):
    """Find the route of a plain service's request.

    Parameters
    ----------
    configuration : world.Configuration
        The configuration in force.
    method : str
        HTTP method.
    path : str
        Path without the query.

    Returns
    -------
    world.Route or world.Refusal
        The route with the longest path that covers the request.
    """
    matching = [
        route
        for route in configuration.routes_by_name.values()
        if route.path and _matches(route, method, path)
    ]
    if matching:
        return max(matching, key=lambda route: len(route.path))
    return world.Refusal(world.ErrorKind.NO_ROUTE, f"no route serves {method} {path}")


def make_service_request(request, account, route, contract):
    """Make the request to a plain service from a caller's request.

    Parameters
    ----------
    request : Request
        The request.
    account : world.ClientAccount
        Who calls.
    route : world.Route
        Its route.
    contract : world.Contract
        Contract of the group that serves it.

    Returns
    -------
    claims.ServiceRequest
        Without the caller's API key.
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
        # Two callers may choose the same id; the echo has to tell them apart.
        request_id=uuid.uuid4().hex,
        idempotency_key=request.idempotency_key,
        echoes_request_id=contract.echoes_request_id,
    )


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
