"""Readiness endpoint for the load balancer."""


def make_readiness_app(path, is_ready):
    """Make the WSGI application of the readiness endpoint.

    Parameters
    ----------
    path : str
        Path that the load balancer requests.
    is_ready : callable
        Returns whether the host accepts new callers.

    Returns
    -------
    callable
        WSGI application; responds with 200 if the host is ready, else with 503.
    """

    def app(environ, start_response):
        if environ["PATH_INFO"] != path:
            return _respond(start_response, "404 Not Found")
        return _respond(
            start_response, "200 OK" if is_ready() else "503 Service Unavailable"
        )

    return app


def _respond(start_response, status):
    body = status.encode() + b"\n"
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
