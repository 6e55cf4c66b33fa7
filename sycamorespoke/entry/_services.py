"""Calls of plain services."""

import time
import uuid

import loguru

from sycamorespoke import claims, decisions, world
from sycamorespoke.entry import _answers, _sending

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

    def handle(self, call, account, view, start_response):
        """Serve one call.

        Parameters
        ----------
        call : Call
            The call.
        account : world.ClientAccount
            Who calls.
        view : membership.View
            Configuration in force on arrival.
        start_response : callable
            As WSGI passes it.

        Returns
        -------
        iterable of bytes or world.Refusal
            Body for WSGI, or why there is no answer.
        """
        route = find_service_route(view.configuration, call.method, call.path)
        if isinstance(route, world.Refusal):
            return route
        deadline_s = call.limit_deadline(route.deadline_s)
        sending = _sending.Sending.admit(
            self.admission_control, account, route, deadline_s, time.monotonic()
        )
        if isinstance(sending, world.Refusal):
            return sending
        attempts = ServiceAttempts(self, route, sending)
        result = world.Refusal(world.ErrorKind.INTERNAL, "the call failed")
        try:
            result = self._send(call, account, view, route, deadline_s, attempts)
        finally:
            attempts.finish(result)
        self._log(call, account, attempts, result)
        if isinstance(result, world.Refusal):
            return result
        return _send_answer(start_response, result, call.request_id)

    def _send(self, call, account, view, route, deadline_s, attempts):
        contract = view.configuration.groups_by_name[route.group].contract
        request = make_service_request(call, account, route, contract)
        if route.idempotent:
            return self._send_idempotent(request, deadline_s, attempts)
        return claims.run_once(
            self.claim_keeper,
            self.service_client,
            request,
            attempts.hosts(),
            deadline_s,
            time.time(),
        )

    def _send_idempotent(self, request, deadline_s, attempts):
        result = world.Refusal(
            world.ErrorKind.NO_UPSTREAM, "no upstream takes the request"
        )
        earlier = None
        for host in attempts.hosts():
            result = self.service_client.send(
                host,
                request.method,
                request.path,
                request.headers,
                request.body,
                deadline_s - time.monotonic(),
                request.request_id,
                is_idempotent=True,
                echoes_request_id=request.echoes_request_id,
            )
            if not isinstance(result, world.Refusal):
                return result
            earlier = decisions.combine_refusals(earlier, result)
            if not attempts.may_retry(result):
                return earlier
        return earlier or result

    def _log(self, call, account, attempts, result):
        refused = isinstance(result, world.Refusal)
        loguru.logger.bind(
            request_id=call.request_id,
            client_account=account.name,
            revision=self.chooser.get_view().configuration.revision,
            route=attempts.route.name,
            error_kind=result.kind.value if refused else None,
            status=None if refused else result.status,
            attempts=attempts.count,
            duration_s=round(time.monotonic() - call.arrived_s, 4),
        ).info("service call ended")


class ServiceAttempts:
    """The attempts of one call, each counted by the admission and the table.

    Parameters
    ----------
    handler : ServiceHandler
        Its collaborators.
    route : world.Route
        Route of the call.
    sending : Sending
        The right to send.
    """

    def __init__(self, handler, route, sending):
        self.handler = handler
        self.route = route
        self.sending = sending
        self.count = 0
        self._host = None
        self._sent_s = 0.0

    def hosts(self):
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
                self.route.group, excluded, self.sending.free_names(), now
            )
            if isinstance(choice, world.Refusal):
                return
            excluded.add(choice.host.name)
            if not self.sending.begin(choice.host.name):
                continue
            self.count += 1
            self._host = choice.host
            self._sent_s = now
            self.handler.table.note_sent(choice.host.name, 0)
            yield choice.host
            unreachable = world.Refusal(
                world.ErrorKind.UPSTREAM_UNREACHABLE, "another upstream is tried"
            )
            self._end(unreachable)

    def may_retry(self, result):
        """Decide whether an idempotent call is sent again after a result."""
        if result.kind not in decisions.RETRYABLE_KINDS:
            return False
        return self.count <= self.route.retries and self.sending.take_retry()

    def finish(self, result):
        """Count the last attempt as ended and give the slot back."""
        delay_s = time.monotonic() - self._sent_s
        self._end(result)
        self.sending.release(result, delay_s if self.count else None)

    def _end(self, result):
        if self._host is None:
            return
        answered = not isinstance(result, world.Refusal)
        duration_s = time.monotonic() - self._sent_s if answered else None
        self.handler.table.note_ended(self._host.name, duration_s)
        self.sending.end(result, duration_s)
        self._host = None


def find_service_route(configuration, method, path):
    """Find the route of a plain service's call.

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
        The route with the longest path that covers the call.
    """
    matching = [
        route
        for route in configuration.routes_by_name.values()
        if route.path and _covers(route, method, path)
    ]
    if matching:
        return max(matching, key=lambda route: len(route.path))
    return world.Refusal(world.ErrorKind.NO_ROUTE, f"no route serves {method} {path}")


def make_service_request(call, account, route, contract):
    """Make the request to a plain service from a caller's call.

    Parameters
    ----------
    call : Call
        The call.
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
        for name, value in call.headers_by_name.items()
        if name not in PRIVATE_HEADERS
    )
    return claims.ServiceRequest(
        account=account.name,
        route=route.name,
        method=call.method,
        path=f"{call.path}?{call.query}" if call.query else call.path,
        headers=headers,
        body=call.body,
        # Two callers may choose the same id; the echo has to tell them apart.
        request_id=uuid.uuid4().hex,
        idempotency_key=call.idempotency_key,
        echoes_request_id=contract.echoes_request_id,
    )


def _covers(route, method, path):
    if route.methods and method not in route.methods:
        return False
    return path == route.path or path.startswith(route.path.rstrip("/") + "/")


def _send_answer(start_response, answer, request_id):
    headers = [
        *answer.headers,
        ("Content-Length", str(len(answer.body))),
        ("X-Request-Id", request_id),
    ]
    start_response(_answers.format_status(answer.status), headers)
    return [answer.body]
