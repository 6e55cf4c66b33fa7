"""Requests and replies of the stand-ins over WSGI."""

import collections
import http
import json
import urllib.parse

import attrs

MUTATING_METHODS = frozenset({"POST", "PUT", "DELETE", "PATCH"})


class AbortConnectionError(OSError):
    """Closes the connection of the present request without an answer.

    Notes
    -----
    waitress closes a connection on an ``OSError`` without sending an error page.
    """


class BadRequestError(Exception):
    """The request is malformed; answered with 400."""


@attrs.frozen
class Request:
    """One request to a stand-in.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path, decoded.
    query : dict of str to str
        Query parameters by name.
    body : bytes
        The whole body.
    environ : dict
        The WSGI environment.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    environ: dict

    def header(self, name, default=""):
        """Return a header by its usual name, for example ``"If-Match"``."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), default)

    def number(self, name, default=0.0):
        """Return a query parameter as a number."""
        try:
            return float(self.query.get(name, default))
        except ValueError:
            raise BadRequestError(f"{name} is not a number") from None

    def json(self):
        """Return the body as an object of JSON."""
        try:
            value = json.loads(self.body)
        except ValueError as error:
            raise BadRequestError(f"the body is not JSON: {error}") from None
        if not isinstance(value, dict):
            raise BadRequestError("the body is not a JSON object")
        return value

    def is_disconnected(self):
        """Return whether the caller has closed the connection."""
        check = self.environ.get("waitress.client_disconnected")
        return bool(check and check())


@attrs.frozen
class Response:
    """The answer to a request.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes or iterable of bytes, default=b""
        Body; an iterable is sent piece by piece.
    headers : dict of str to str
        Further headers.
    """

    status: int
    body: object = b""
    headers: dict[str, str] = attrs.field(factory=dict)


def make_json_response(status, value, headers=None):
    """Make a reply that carries JSON."""
    headers = {"Content-Type": "application/json", **(headers or {})}
    return Response(status, json.dumps(value).encode(), headers)


def exhaust_body(response):
    """Let a reply that is made piece by piece run to its end, unsent."""
    if not isinstance(response.body, bytes):
        collections.deque(response.body, maxlen=0)


def parse_request(environ):
    """Read the request from a WSGI environment."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""), True)
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query={name: values[-1] for name, values in query.items()},
        body=body,
        environ=environ,
    )


def start_wsgi_response(response, start_response):
    """Start the response and return the WSGI body."""
    status = f"{response.status} {http.HTTPStatus(response.status).phrase}"
    headers = dict(response.headers)
    if isinstance(response.body, bytes):
        headers.setdefault("Content-Length", str(len(response.body)))
        start_response(status, list(headers.items()))
        return [response.body]
    start_response(status, list(headers.items()))
    return response.body
