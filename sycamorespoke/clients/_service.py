"""Client of plain services."""

import re
import time

import attrs
import urllib3

from sycamorespoke import world

CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65536
RETRY_AFTER_LIMIT_S = 3600
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
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_PATH = re.compile(r"/[!-~]*")
_HEADER_TEXT = re.compile(r"[\t -~\x80-\xff]*")


@attrs.frozen
class ServiceResponse:
    """The whole answer of a plain service to its own request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers without those of the connection.
    body : bytes
        Whole body, in the encoding of its ``Content-Encoding``.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceClient:
    """Client of plain services; safe to share among threads.

    Parameters
    ----------
    connections : int, default=32
        Connections kept open per upstream, 1 to 1000.

    Notes
    -----
    Nothing is sent twice. A non-idempotent call gets a connection of its own:
    a kept connection may have been closed by the upstream meanwhile, and a send
    that breaks on it does not tell whether the call ran. A connection that saw a
    timeout, a broken answer or a mismatch is closed.
    """

    def __init__(self, connections=32):
        self.connections = connections
        self._pools = urllib3.PoolManager(
            num_pools=1000, maxsize=connections, block=False, retries=False
        )

    def send(
        self,
        host,
        method,
        path,
        headers,
        body,
        deadline_s,
        request_id,
        is_idempotent=False,
        echoes_request_id=True,
    ):
        """Send a call once.

        Parameters
        ----------
        host : world.Host
            The upstream.
        method : str
            HTTP method.
        path : str
            Path with its query, as the caller sent it.
        headers : iterable of (str, str)
            Headers to pass on; those of the connection are left out.
        body : bytes
            Body, may be empty.
        deadline_s : float
            Seconds left for the whole answer.
        request_id : str
            Sent as ``X-Request-Id``, and expected back.
        is_idempotent : bool, default=False
            The call may use a kept connection.
        echoes_request_id : bool, default=True
            The upstream echoes the id, see `world.Contract`.

        Returns
        -------
        ServiceResponse or world.Refusal
            The whole answer, or why there is none; the kind of the refusal says
            whether the call ran.
        """
        headers = _pass_on(headers, request_id)
        if not _is_well_formed(method, path, headers):
            return world.Refusal(
                world.ErrorKind.BAD_REQUEST, "the method, path or a header is malformed"
            )
        if deadline_s <= 0.0:
            return world.Refusal(
                world.ErrorKind.DEADLINE_BEFORE_SEND,
                "the deadline passed before the call was sent",
            )
        ends_at = time.monotonic() + deadline_s
        pool = self._open_pool(host, is_idempotent)
        try:
            response = _request(pool, method, path, headers, body, deadline_s)
            if isinstance(response, world.Refusal):
                return response
            if echoes_request_id and response.headers.get("X-Request-Id") != request_id:
                response.close()
                return world.Refusal(
                    world.ErrorKind.ANSWER_MISMATCH,
                    "the upstream's answer belongs to another request",
                )
            return _read_answer(response, ends_at)
        finally:
            if not is_idempotent:
                pool.close()

    def _open_pool(self, host, is_idempotent):
        if is_idempotent:
            return self._pools.connection_from_url(f"http://{host.address}")
        address, _, port = host.address.rpartition(":")
        return urllib3.HTTPConnectionPool(address, int(port), maxsize=1)


def _request(pool, method, path, headers, body, deadline_s):
    connect_s = min(CONNECT_TIMEOUT_S, deadline_s)
    timeout = urllib3.Timeout(connect=connect_s, read=deadline_s)
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
        return world.Refusal(
            world.ErrorKind.UPSTREAM_UNREACHABLE, "the upstream takes no connection"
        )
    except urllib3.exceptions.TimeoutError:
        return _deadline_passed()
    except (urllib3.exceptions.HTTPError, OSError):
        return _answer_lost()


def _read_answer(response, ends_at):
    body = bytearray()
    try:
        while chunk := response.read1(READ_BYTES, decode_content=False):
            body += chunk
            if time.monotonic() > ends_at:
                response.close()
                return _deadline_passed()
    except urllib3.exceptions.TimeoutError:
        response.close()
        return _deadline_passed()
    except (urllib3.exceptions.HTTPError, OSError):
        response.close()
        return _answer_lost()
    response.release_conn()
    if response.status == 503 and response.headers.get("X-Not-Run") == "1":
        return world.Refusal(
            world.ErrorKind.UPSTREAM_REFUSED,
            "the upstream refused the call before running it",
            _parse_retry_after(response),
        )
    headers = tuple(
        (name, text)
        for name, text in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    return ServiceResponse(response.status, headers, bytes(body))


def _pass_on(headers, request_id):
    passed = urllib3.HTTPHeaderDict()
    for name, text in headers:
        if name.lower() not in HOP_BY_HOP_HEADERS:
            passed.add(name, text)
    passed["X-Request-Id"] = request_id
    return passed


def _is_well_formed(method, path, headers):
    # Checked beforehand, since an error of the library while it sends would not
    # tell whether something had been sent.
    return (
        _TOKEN.fullmatch(method) is not None
        and _PATH.fullmatch(path) is not None
        and all(_TOKEN.fullmatch(name) for name in headers)
        and all(_HEADER_TEXT.fullmatch(text) for text in headers.values())
    )


def _parse_retry_after(response):
    text = response.headers.get("Retry-After", "")
    if not re.fullmatch(r"[0-9]{1,6}", text):
        return None
    return min(max(int(text), 1), RETRY_AFTER_LIMIT_S)


def _deadline_passed():
    return world.Refusal(
        world.ErrorKind.DEADLINE_AFTER_SEND,
        "the deadline passed before the upstream's whole answer was there",
    )


def _answer_lost():
    return world.Refusal(
        world.ErrorKind.UPSTREAM_LOST, "the connection to the upstream broke"
    )
