"""WSGI application that serves callers."""

import time

import loguru
import msgspec

from sycamorespoke import decisions, domain
from sycamorespoke.entry import _accounts, _requests, _responses

COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")


class Application:
    """Authenticates the requests of callers and dispatches them to handlers.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry host.
    get_view : callable
        Returns the current `membership.View`.
    apply_configuration : callable
        Applies the configuration of a view; called before a request is served
        with it.
    completions : CompletionHandler
        Serves the completions protocol.
    services : ServiceHandler
        Serves plain services.
    drain : DrainState
        Drain state, which counts the running requests.
    metrics : telemetry.Metrics
        Metrics of the daemon.
    """

    def __init__(
        self,
        data_centre,
        get_view,
        apply_configuration,
        completions,
        services,
        drain,
        metrics,
    ):
        self.data_centre = data_centre
        self.get_view = get_view
        self.apply_configuration = apply_configuration
        self.completions = completions
        self.services = services
        self.drain = drain
        self.metrics = metrics
        self._accounts = _accounts.AccountIndex(domain.Configuration())

    def __call__(self, environ, start_response):
        """Serve one request; the WSGI entry point."""
        now = time.monotonic()
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _responses.send_body(start_response, 200, b'{"alive":true}', "")
        if path == "/readyz":
            return self._send_readiness(start_response, now)
        self.drain.begin_request()
        body = self._serve(environ, start_response, now)
        return CountedResponse(body, self.drain)

    def _send_readiness(self, start_response, now):
        refusal = self._refuse_unready(now)
        if refusal is None and self.drain.is_draining:
            refusal = domain.Refusal(
                domain.ErrorKind.DRAINING, "the host is shutting down"
            )
        if refusal is None and not self._is_ready_for_traffic(now):
            refusal = domain.Refusal(
                domain.ErrorKind.NOT_READY, "the data centre is out of service"
            )
        if refusal is not None:
            return _responses.send_refusal(start_response, refusal, "")
        return _responses.send_body(start_response, 200, b'{"ready":true}', "")

    def _serve(self, environ, start_response, now):
        view = self.get_view()
        request = _requests.parse_request(
            environ, view.configuration.limits.body_bytes, now
        )
        if isinstance(request, domain.Refusal):
            return self._refuse(start_response, request, "", None)
        # An unconfirmed configuration may lack accounts, so readiness is checked
        # before the API key.
        unready = self._refuse_unready(now)
        if unready is not None:
            return self._refuse(start_response, unready, request.request_id, None)
        account = self._find_account(view, request)
        if isinstance(account, domain.Refusal):
            return self._refuse(start_response, account, request.request_id, None)
        try:
            self.apply_configuration(view)
            result = self._dispatch(request, account, view, start_response)
        except Exception:
            loguru.logger.bind(request_id=request.request_id).exception(
                "request failed"
            )
            result = domain.Refusal(domain.ErrorKind.INTERNAL, "internal error")
        if isinstance(result, domain.Refusal):
            return self._refuse(start_response, result, request.request_id, account)
        self.metrics.count("calls", outcome="answered")
        return result

    def _dispatch(self, request, account, view, start_response):
        if request.path in COMPLETION_PATHS and request.method == "POST":
            return self.completions.handle(request, account, view, start_response)
        if request.path == "/v1/models" and request.method == "GET":
            body = _render_models(view.configuration)
            return _responses.send_body(start_response, 200, body, request.request_id)
        return self.services.handle(request, account, view, start_response)

    def _refuse_unready(self, now):
        if decisions.is_ready(self.get_view(), now):
            return None
        return domain.Refusal(
            domain.ErrorKind.NOT_READY,
            "neither the platform nor enough peers have confirmed the configuration",
        )

    def _is_ready_for_traffic(self, now):
        # A request that arrives nevertheless is served by upstreams in other data
        # centres.
        return decisions.is_ready_for_traffic(self.data_centre, self.get_view(), now)

    def _find_account(self, view, request):
        if self._accounts.configuration is not view.configuration:
            self._accounts = _accounts.AccountIndex(view.configuration)
        return self._accounts.find(request.headers_by_name.get("authorization", ""))

    def _refuse(self, start_response, refusal, request_id, account):
        self.metrics.count("calls", outcome=refusal.kind.value)
        loguru.logger.bind(
            request_id=request_id,
            client_account=account.name if account else None,
            revision=self.get_view().configuration.revision,
            error_kind=refusal.kind.value,
        ).info("call refused")
        return _responses.send_refusal(start_response, refusal, request_id)


class CountedResponse:
    """Response body whose request counts as running until WSGI closes it.

    Parameters
    ----------
    body : iterable of bytes
        The response body.
    drain : DrainState
        Counts the running requests.
    """

    def __init__(self, body, drain):
        self.body = body
        self.drain = drain
        self._closed = False

    def __iter__(self):
        return iter(self.body)

    def close(self):
        """Close the body once; an incomplete stream is cancelled."""
        if self._closed:
            return
        self._closed = True
        try:
            if hasattr(self.body, "close"):
                self.body.close()
        finally:
            self.drain.end_request()


def _render_models(configuration):
    models = sorted(
        {route.model for route in configuration.routes_by_name.values() if route.model}
    )
    data = [
        {"id": model, "object": "model", "created": 0, "owned_by": "sycamorespoke"}
        for model in models
    ]
    return msgspec.json.encode({"object": "list", "data": data})
