"""Client for plain services."""

import re
import time

import attrs
import urllib3

from sycamorespoke import domain
from sycamorespoke.clients import _checked_http, _header_values

CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65536
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    )
)
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[!-~]*")
_HEADER_TEXT = re.compile(r"[\t -~\x80-\xff]*")


@attrs.frozen
class ServiceResponse:
    """Complete response of a plain service.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without the hop-by-hop headers.
    body : bytes
        Complete body, still encoded as its ``Content-Encoding`` says.
    has_framing : bool, default=True
        Whether the response stated its length or came in chunks. Without that, a
        connection that broke may have cut it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    has_framing: bool = True

    @property
    def is_success(self):
        """Whether the status is one of success."""
        return 200 <= self.status < 300


class ServiceClient:
    """Client for plain services; thread-safe.

    Parameters
    ----------
    connections : int, default=32
        Maximum number of idle connections kept per upstream, 1 to 1000.

    Notes
    -----
    No request is sent twice. A non-idempotent request uses a new connection: the
    upstream may have closed an idle one, and if sending on it fails, it is unknown
    whether the request ran. So does a request to an upstream that does not echo
    request IDs: nothing else tells its response from an earlier one. A connection is
    closed after a timeout, an incomplete response or a request ID mismatch.
    """

    def __init__(self, connections=32):
        self.connections = connections
        self._pool_manager = _checked_http.CheckedPoolManager(
            num_pools=1000, maxsize=connections, block=False, retries=False
        )

    def send(
        self,
        host,
        method,
        path,
        headers,
        body,
        remaining_s,
        request_id,
        is_idempotent=False,
        echoes_request_id=True,
    ):
        """Send a request once.

        Parameters
        ----------
        host : domain.Host
            The upstream.
        method : str
            HTTP method.
        path : str
            Path and query, as sent by the caller.
        headers : iterable of (str, str)
            Headers to forward; hop-by-hop headers are removed.
        body : bytes
            Request body; may be empty.
        remaining_s : float
            Time left to receive the complete response, in seconds.
        request_id : str
            Request ID, sent as ``X-Request-Id``.
        is_idempotent : bool, default=False
            Whether the request may use an idle connection, if its ID is echoed.
        echoes_request_id : bool, default=True
            Whether the response must echo the request ID, see `domain.Contract`.

        Returns
        -------
        ServiceResponse or domain.Refusal
            The complete response, or the reason why there is none. The kind of the
            refusal says whether the request ran.
        """
        headers = _select_headers(headers, request_id)
        if not _is_well_formed(method, path, headers):
            return domain.Refusal(
                domain.ErrorKind.BAD_REQUEST,
                "the method, path or a header is malformed",
            )
        if remaining_s <= 0.0:
            return domain.Refusal(
                domain.ErrorKind.DEADLINE_BEFORE_SEND,
                "the deadline passed before the request was sent",
            )
        expires_at_s = time.monotonic() + remaining_s
        may_reuse = is_idempotent and echoes_request_id
        pool = self._open_pool(host, may_reuse)
        try:
            response = _send_request(pool, method, path, headers, body, remaining_s)
            if isinstance(response, domain.Refusal):
                return response
            if echoes_request_id and response.headers.get("X-Request-Id") != request_id:
                response.close()
                return domain.Refusal(
                    domain.ErrorKind.ANSWER_MISMATCH,
                    "the response belongs to another request",
                )
            return _read_response(response, expires_at_s)
        finally:
            if not may_reuse:
                pool.close()

    def _open_pool(self, host, may_reuse):
        if may_reuse:
            return self._pool_manager.connection_from_url(f"http://{host.address}")
        return _checked_http.open_single_use_pool(host.address)


def _send_request(pool, method, path, headers, body, remaining_s):
    connect_timeout_s = min(CONNECT_TIMEOUT_S, remaining_s)
    timeout = urllib3.Timeout(connect=connect_timeout_s, read=remaining_s)
    try:
        return pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            timeout=timeout,
            retries=False,
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            decode_content=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ):
        return domain.Refusal(
            domain.ErrorKind.UPSTREAM_UNREACHABLE, "cannot connect to the upstream"
        )
    except urllib3.exceptions.TimeoutError:
        return _refuse_deadline_exceeded()
    except (urllib3.exceptions.HTTPError, OSError):
        return _refuse_lost()


def _read_response(response, expires_at_s):
    body = bytearray()
    try:
        while chunk := response.read1(READ_BYTES, decode_content=False):
            body += chunk
            if time.monotonic() > expires_at_s:
                response.close()
                return _refuse_deadline_exceeded()
    except urllib3.exceptions.TimeoutError:
        response.close()
        return _refuse_deadline_exceeded()
    except (urllib3.exceptions.HTTPError, OSError):
        response.close()
        return _refuse_lost()
    response.release_conn()
    if response.status == 503 and response.headers.get("X-Not-Run") == "1":
        return domain.Refusal(
            domain.ErrorKind.UPSTREAM_REFUSED,
            "the upstream refused the request before running it",
            _header_values.parse_retry_after(response),
        )
    headers = tuple(
        (name, text)
        for name, text in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    has_framing = not FRAMING_HEADERS.isdisjoint(map(str.lower, response.headers))
    return ServiceResponse(response.status, headers, bytes(body), has_framing)


def _select_headers(headers, request_id):
    selected = urllib3.HTTPHeaderDict()
    for name, text in headers:
        if name.lower() not in HOP_BY_HOP_HEADERS:
            selected.add(name, text)
    selected["X-Request-Id"] = request_id
    return selected


def _is_well_formed(method, path, headers):
    # Checked before sending: after an error that the library raises while sending,
    # it would be unknown whether anything was sent.
    return (
        _TOKEN.fullmatch(method) is not None
        and _PATH.fullmatch(path) is not None
        and all(_TOKEN.fullmatch(name) for name in headers)
        and all(_HEADER_TEXT.fullmatch(text) for text in headers.values())
    )


def _refuse_deadline_exceeded():
    return domain.Refusal(
        domain.ErrorKind.DEADLINE_AFTER_SEND,
        "the deadline passed before the complete response was received",
    )


def _refuse_lost():
    return domain.Refusal(
        domain.ErrorKind.UPSTREAM_LOST, "the connection to the upstream broke"
    )
