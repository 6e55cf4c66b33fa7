"""Operators' HTTP endpoint of a daemon: metrics, state dump, drain."""

import msgspec

from sycamorespoke import serving

OPERATOR_THREADS = 2
# Few, since descriptors are reserved for them.
OPERATOR_CONNECTIONS = 32
# Requests of operators and load balancers are short.
OPERATOR_LIMITS = serving.CallerLimits(header_bytes=16_384, body_bytes=16_384)


def make_operators_app(metrics, dump, in_force, drain):
    """Make the WSGI application of the operators' endpoint.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    dump : callable
        Returns the state of the process as JSON values, without prompt text or
        keys.
    in_force : callable
        Returns the revisions in force as JSON values.
    drain : callable
        Starts a graceful shutdown.

    Returns
    -------
    callable
        WSGI application.
    """

    def app(environ, start_response):
        request = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if request == ("GET", "/metrics"):
            return _respond(
                start_response, metrics.render(), "text/plain; version=0.0.4"
            )
        if request == ("GET", "/dump"):
            return _respond_json(start_response, dump())
        if request == ("GET", "/in-force"):
            return _respond_json(start_response, in_force())
        if request == ("POST", "/drain"):
            drain()
            return _respond_json(start_response, {"draining": True})
        error = {"error": "no such page; try /metrics, /dump, /in-force, POST /drain"}
        return _respond_json(start_response, error, "404 Not Found")

    return app


class OperatorsServer:
    """HTTP server that runs in background threads.

    Parameters
    ----------
    listen : str
        IP address and port, ``"IP:port"``.
    app : callable
        WSGI application, for example of `make_operators_app`.
    byte_budget : serving.ByteBudget or None, default=None
        Budget of the process, if it has one.
    owner : str, default="operators"
        Name of the port in the budget.
    """

    def __init__(self, listen, app, byte_budget=None, owner="operators"):
        self.listen = listen
        self.app = app
        self.byte_budget = byte_budget
        self.owner = owner

    def start(self):
        """Start to listen; serve until the process exits."""
        serving.CallerServer(
            self.listen,
            self.app,
            OPERATOR_THREADS,
            OPERATOR_CONNECTIONS,
            OPERATOR_LIMITS,
            self.byte_budget,
            self.owner,
        ).start()


def _respond(start_response, body, content_type, status="200 OK"):
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def _respond_json(start_response, value, status="200 OK"):
    body = msgspec.json.encode(value, enc_hook=str) + b"\n"
    return _respond(start_response, body, "application/json", status)
