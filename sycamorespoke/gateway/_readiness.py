"""The address on which the balancer asks whether this host takes callers."""


def make_readiness_app(path, is_ready):
    """Make the WSGI application of the balancer's questions.

    Parameters
    ----------
    path : str
        Path of the question.
    is_ready : callable
        Returns whether new callers are taken.

    Returns
    -------
    callable
        It answers 200 or 503.
    """

    def app(environ, start_response):
        if environ["PATH_INFO"] != path:
            return _reply(start_response, "404 Not Found")
        return _reply(
            start_response, "200 OK" if is_ready() else "503 Service Unavailable"
        )

    return app


def _reply(start_response, status):
    body = status.encode() + b"\n"
    headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]
