"""Serves completions requests, from the caller's body to the end of the response."""

import time

import loguru

from sycamorespoke import clients, domain
from sycamorespoke.entry import _admitted_request, _relay, _requests, _responses


class CompletionHandler:
    """Serves ``/v1/completions`` and ``/v1/chat/completions``.

    Parameters
    ----------
    engine_client : clients.EngineClient
        Client of engines.
    pump : relay.Pump
        Relays the streams.
    chooser : Chooser
        Chooses upstreams.
    table : UpstreamTable
        State of the upstreams.
    admission_control : admission.Admission
        Concurrency limits and fair queue of the client accounts.
    metrics : telemetry.Metrics
        Metrics of the daemon.
    crash_guard : CrashGuard
        Refuses prompts and requests that end engines.
    """

    def __init__(
        self,
        engine_client,
        pump,
        chooser,
        table,
        admission_control,
        metrics,
        crash_guard,
    ):
        self.engine_client = engine_client
        self.pump = pump
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
        completion = _requests.parse_completion(request)
        if isinstance(completion, domain.Refusal):
            return completion
        route = find_model_route(view.configuration, completion.model)
        if isinstance(route, domain.Refusal):
            return route
        build_request = _make_request_builder(request, account, completion)
        crash_watch = self.crash_guard.watch_completion(request, account)
        quarantined = self._find_quarantine_refusal(crash_watch, build_request, route)
        if quarantined is not None:
            return quarantined
        deadline_s = request.compute_deadline(route.deadline_s)
        admitted = _admitted_request.AdmittedRequest.admit(
            self.admission_control, account, route, deadline_s, time.monotonic()
        )
        if isinstance(admitted, domain.Refusal):
            return admitted
        relay = _relay.CompletionRelay(
            self.engine_client,
            self.pump,
            self.chooser,
            self.table,
            build_request,
            route,
            deadline_s,
            admitted,
            view.configuration.limits.queue_wait_s,
            crash_watch,
        )
        opened = domain.Refusal(domain.ErrorKind.INTERNAL, "the relay failed")
        try:
            opened = relay.open()
        finally:
            if isinstance(opened, domain.Refusal):
                relay.close()
                admitted.release(opened)
        if isinstance(opened, domain.Refusal):
            return self.chooser.state_backoff(opened, route.group, time.monotonic())
        response = CompletionResponse(
            self, request, account, completion, relay, admitted
        )
        return response.respond(start_response)

    def _find_quarantine_refusal(self, crash_watch, build_request, route):
        if not crash_watch.has_quarantine():
            return None
        version = self.chooser.get_target_version(route.group)
        return crash_watch.find_refusal(build_request(version).block_keys)


class CompletionResponse:
    """The response to a completion that an engine has accepted.

    Parameters
    ----------
    handler : CompletionHandler
        Handler whose collaborators are used.
    request : Request
        The caller's request.
    account : domain.ClientAccount
        Client account of the caller.
    completion : Completion
        The requested completion.
    relay : CompletionRelay
        The open relay.
    admitted : AdmittedRequest
        The admitted request, released when the response ends.
    """

    def __init__(self, handler, request, account, completion, relay, admitted):
        self.handler = handler
        self.request = request
        self.account = account
        self.completion = completion
        self.relay = relay
        self.admitted = admitted
        self._renderer = _responses.CompletionRenderer(
            completion, request.request_id, _requests.get_unix_time()
        )
        self._first_token_s = None
        self._outcome = domain.Refusal(
            domain.ErrorKind.CANCELLED, "the caller disconnected"
        )

    def respond(self, start_response):
        """Respond with an event stream or a single body, as the caller requested.

        Returns
        -------
        list of bytes or domain.Refusal
            Response body for WSGI, or the refusal.
        """
        try:
            if self.completion.stream:
                return self._respond_with_stream(start_response)
            return self._respond_with_body(start_response)
        finally:
            self._finish()

    def _respond_with_stream(self, start_response):
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-cache"),
            ("X-Request-Id", self.request.request_id),
        ]
        write = start_response("200 OK", headers)

        def write_tokens(tokens):
            self._record_first_token()
            write(b"".join(self._renderer.render_token(token.text) for token in tokens))

        self._outcome = self.relay.run(write_tokens)
        if isinstance(self._outcome, domain.Refusal):
            return [self._renderer.render_failure(self._outcome)]
        usage = self.relay.get_usage().as_json()
        return [self._renderer.render_end(self._outcome.reason, usage)]

    def _respond_with_body(self, start_response):
        texts = []

        def append_tokens(tokens):
            self._record_first_token()
            texts.extend(token.text for token in tokens)

        self._outcome = self.relay.run(append_tokens)
        if isinstance(self._outcome, domain.Refusal):
            return self._outcome
        usage = self.relay.get_usage().as_json()
        body = self._renderer.render_response(
            "".join(texts), self._outcome.reason, usage
        )
        return _responses.send_body(start_response, 200, body, self.request.request_id)

    def _record_first_token(self):
        if self._first_token_s is not None:
            return
        self._first_token_s = time.monotonic() - self.request.arrived_s
        self.handler.metrics.observe("first_token_seconds", self._first_token_s)

    def _finish(self):
        outcome = self._outcome
        now = time.monotonic()
        self.relay.close()
        self.admitted.release(outcome)
        usage = self.relay.get_usage()
        metrics = self.handler.metrics
        metrics.count("generated_tokens", usage.completion_tokens)
        metrics.count("prompt_tokens", usage.prompt_tokens)
        metrics.count("cached_tokens", usage.cached_tokens)
        refused = isinstance(outcome, domain.Refusal)
        loguru.logger.bind(
            request_id=self.request.request_id,
            client_account=self.account.name,
            revision=self.handler.chooser.get_view().configuration.revision,
            error_kind=outcome.kind.value if refused else None,
            attempts=self.relay.attempts,
            fingerprint=self.relay.crash_watch.fingerprint,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            completion_tokens=usage.completion_tokens,
            first_token_s=self._first_token_s,
            duration_s=round(now - self.request.arrived_s, 4),
        ).info("completion ended")


def find_model_route(configuration, model):
    """Find the route that serves a model.

    Parameters
    ----------
    configuration : domain.Configuration
        Configuration in force.
    model : str
        Model name from the request body.

    Returns
    -------
    domain.Route or domain.Refusal
        The route, or a ``NO_ROUTE`` refusal.
    """
    for route in configuration.routes_by_name.values():
        if route.model and route.model == model:
            return route
    return domain.Refusal(domain.ErrorKind.NO_ROUTE, f"no route serves model {model!r}")


def _make_request_builder(request, account, completion):
    """Return a function that makes the request to an engine for a weight version."""

    def build_request(version):
        chain = domain.chain_block_keys(
            account.name, completion.model, version, completion.prompt
        )
        return clients.GenerationRequest(
            request_id=request.request_id,
            account=account.name,
            model=completion.model,
            version=version,
            prompt=completion.prompt,
            block_keys=chain.keys,
            max_tokens=completion.max_tokens,
            priority=account.priority,
        )

    return build_request
