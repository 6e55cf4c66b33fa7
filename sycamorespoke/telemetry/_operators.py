"""Operators' HTTP endpoint of a daemon: metrics, state dump, drain."""

import threading

import msgspec
import waitress

OPERATOR_THREADS = 2


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
    """

    def __init__(self, listen, app):
        self.listen = listen
        self.app = app
        self._server = None

    def start(self):
        """Start to listen; serve until the process exits."""
        self._server = waitress.create_server(
            self.app, listen=self.listen, threads=OPERATOR_THREADS, ident=None
        )
        thread = threading.Thread(
            target=self._server.run, name="operators", daemon=True
        )
        thread.start()


def _respond(start_response, body, content_type, status="200 OK"):
    headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]


def _respond_json(start_response, value, status="200 OK"):
    body = msgspec.json.encode(value, enc_hook=str) + b"\n"
    return _respond(start_response, body, "application/json", status)
