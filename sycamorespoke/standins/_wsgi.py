"""Requests and responses of the stand-ins over WSGI."""

import collections
import http
import json
import urllib.parse

import attrs

MUTATING_METHODS = frozenset({"POST", "PUT", "DELETE", "PATCH"})


class AbortConnectionError(OSError):
    """Raised to close the connection of a request without a response.

    Notes
    -----
    On an ``OSError``, waitress closes the connection without sending an error page.
    """


class BadRequestError(Exception):
    """Raised for a malformed request; the response has status 400."""


@attrs.frozen
class Request:
    """HTTP request to a stand-in.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Decoded path.
    query : dict of str to str
        Query parameters by name.
    body : bytes
        Complete body.
    environ : dict
        WSGI environment.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    environ: dict

    def get_header(self, name, default=""):
        """Return the value of a header such as ``"If-Match"``."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), default)

    def get_number(self, name, default=0.0):
        """Return a query parameter as a float."""
        try:
            return float(self.query.get(name, default))
        except ValueError:
            raise BadRequestError(f"{name} is not a number") from None

    def parse_json(self):
        """Return the body parsed as a JSON object."""
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
    """Response to a request.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes or iterable of bytes, default=b""
        Body; the items of an iterable are sent one by one.
    headers : dict of str to str
        Headers.
    """

    status: int
    body: object = b""
    headers: dict[str, str] = attrs.field(factory=dict)


def make_json_response(status, value, headers=None):
    """Make a response with a JSON body."""
    headers = {"Content-Type": "application/json", **(headers or {})}
    return Response(status, json.dumps(value).encode(), headers)


def exhaust_body(response):
    """Run the generator of a streamed body to its end without sending the items."""
    if not isinstance(response.body, bytes):
        collections.deque(response.body, maxlen=0)


def parse_request(environ):
    """Parse the request of a WSGI environment and read its body."""
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
    """Send the status and headers of a response; return its WSGI body."""
    status = f"{response.status} {http.HTTPStatus(response.status).phrase}"
    headers = dict(response.headers)
    if isinstance(response.body, bytes):
        headers.setdefault("Content-Length", str(len(response.body)))
        start_response(status, list(headers.items()))
        return [response.body]
    start_response(status, list(headers.items()))
    return response.body
