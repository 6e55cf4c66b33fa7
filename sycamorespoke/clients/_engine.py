"""Client for model engines."""

import msgspec
import urllib3

from sycamorespoke import domain
from sycamorespoke.clients import (
    _boot,
    _checked_http,
    _engine_stream,
    _header_values,
    _json_documents,
    _json_fields,
)

CONNECT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 1.0
STATUS_OVERLOADED = 503
REQUEST_ID_HEADER = "X-Request-Id"


class GenerationRequest(msgspec.Struct, kw_only=True):
    """Request to an engine to generate tokens.

    Parameters
    ----------
    request_id : str
        ID that the engine echoes on each line of the response.
    account : str
        Name of the client account.
    model, adapter, version : str
        Model, adapter and weight version that must serve the request.
    prompt : str
        Complete prompt.
    block_keys : tuple of str
        Keys of the full blocks of the prompt.
    max_tokens : int
        Maximum number of tokens to generate, above 0.
    priority : int
        0 (highest) to 9 (lowest).
    start_at : int, default=0
        Index of the first token to send.
    emitted : str, default=""
        Text of the tokens before `start_at`.
    """

    request_id: str
    account: str
    model: str
    version: str
    prompt: str
    block_keys: tuple[str, ...]
    max_tokens: int
    priority: int
    adapter: str = ""
    start_at: int = 0
    emitted: str = ""


def make_continuation(request, emitted):
    """Make a request that continues a generation after the received tokens.

    Parameters
    ----------
    request : GenerationRequest
        Original request.
    emitted : list of str
        Texts of the received tokens; may be empty.

    Returns
    -------
    GenerationRequest
        Request for the tokens that follow.
    """
    return msgspec.structs.replace(
        request, start_at=len(emitted), emitted="".join(emitted)
    )


def replace_request_id(request, request_id):
    """Copy a request with another request ID.

    Parameters
    ----------
    request : GenerationRequest
        Request to copy.
    request_id : str
        ID that is unique among all requests of all callers.

    Returns
    -------
    GenerationRequest
        The copy.
    """
    return msgspec.structs.replace(request, request_id=request_id)


class EngineClient:
    """Client for every model engine; thread-safe.

    Parameters
    ----------
    connections : int, default=64
        Maximum number of idle connections kept per engine, 1 to 10000.
    """

    def __init__(self, connections=64):
        self.connections = connections
        self._pool = _checked_http.CheckedPoolManager(
            _boot.BootCheckingPool,
            num_pools=1000,
            maxsize=connections,
            retries=False,
        )

    def generate(self, host, request, timeout_s, boot_id=""):
        """Send a generation request to an engine.

        Parameters
        ----------
        host : domain.Host
            The engine.
        request : GenerationRequest
            The request.
        timeout_s : float
            Read timeout, in seconds, above 0.
        boot_id : str, default=""
            Required boot ID; empty to accept any. If the engine has restarted,
            the request is not sent and the result is ``UPSTREAM_UNREACHABLE``.

        Returns
        -------
        EngineStream or domain.Refusal
            Stream of the response, or the reason why there is none. The kinds
            ``UPSTREAM_REFUSED`` and ``UPSTREAM_UNREACHABLE`` guarantee that the
            engine has not run the request.
        """
        _boot.BootCheckingPool.set_expected_boot_id(boot_id)
        try:
            response = self._pool.request(
                "POST",
                f"http://{host.address}/v1/generate",
                body=msgspec.json.encode(request),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return domain.Refusal(
                domain.ErrorKind.UPSTREAM_UNREACHABLE, "cannot connect to the upstream"
            )
        except urllib3.exceptions.HTTPError as error:
            return domain.Refusal(
                domain.ErrorKind.UPSTREAM_LOST,
                f"no response from the upstream: {type(error).__name__}",
            )
        finally:
            _boot.BootCheckingPool.set_expected_boot_id("")
        if response.status == 200:
            return _engine_stream.EngineStream(response, request)
        if not _is_response_to(response, request.request_id):
            response.close()
            return domain.Refusal(
                domain.ErrorKind.ANSWER_MISMATCH,
                "the response does not carry the ID of the request",
            )
        return _make_refusal(response)

    def cancel(self, host, request_id):
        """Cancel a request.

        Errors are ignored, since the engine ends the request by itself.

        Parameters
        ----------
        host : domain.Host
            The engine.
        request_id : str
            ID of the request.
        """
        url = f"http://{host.address}/v1/generate/{request_id}"
        try:
            self._pool.request("DELETE", url, timeout=CANCEL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return

    def read_load(self, host, now):
        """Read the load report of an engine.

        Parameters
        ----------
        host : domain.Host
            The engine.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        domain.LoadReport or domain.Refusal
            The report, which may be out of date, or the reason why there is none.
        """
        value = self._get_json(host, "/v1/load")
        if isinstance(value, domain.Refusal):
            return value
        read_field = _json_fields.read_field
        try:
            return domain.LoadReport(
                boot_id=read_field(value, "boot_id", str),
                running=read_field(value, "running", int),
                queued=read_field(value, "queued", int),
                version=read_field(value, "version", str),
                warm=read_field(value, "warm", bool),
                reported_s=now,
            )
        except _json_fields.MalformedFieldError as error:
            reason = f"no valid report: {error}"
        return domain.Refusal(domain.ErrorKind.UPSTREAM_UNREACHABLE, reason)

    def read_cache_events(self, host, after):
        """Read the cache events of an engine.

        Parameters
        ----------
        host : domain.Host
            The engine.
        after : int
            Number of the last event that was received; 0 to read all events.

        Returns
        -------
        dict or domain.Refusal
            ``{"boot_id", "events": [{"number", "kind", "key", "tokens"}]}``.
        """
        return self._get_json(host, f"/v1/cache-events?after={after}&wait=0")

    def _get_json(self, host, path):
        try:
            response = self._pool.request(
                "GET", f"http://{host.address}{path}", timeout=REPORT_TIMEOUT_S
            )
            if response.status == 200:
                return _json_documents.decode_document(response.data)
            if response.status == STATUS_OVERLOADED:
                return _make_refusal(response)
            reason = f"the upstream returned {response.status}"
        except (
            urllib3.exceptions.HTTPError,
            _json_documents.MalformedDocumentError,
        ) as error:
            reason = f"no valid report: {type(error).__name__}"
        return domain.Refusal(domain.ErrorKind.UPSTREAM_UNREACHABLE, reason)


def _is_response_to(response, request_id):
    named_id = response.headers.get(REQUEST_ID_HEADER)
    if named_id is not None:
        return named_id == request_id
    # On a connection that has carried another request, it may be the response to
    # that one, written once more.
    return response.connection.sent_requests == 1


def _make_refusal(response):
    status = response.status
    response.drain_conn()
    response.release_conn()
    if status in (409, 429, 503):
        is_overloaded = status == STATUS_OVERLOADED
        return domain.Refusal(
            domain.ErrorKind.UPSTREAM_REFUSED,
            f"the upstream refused with {status}",
            _header_values.parse_retry_after(response) if is_overloaded else None,
        )
    return domain.Refusal(
        domain.ErrorKind.UPSTREAM_LOST, f"the upstream returned {status}"
    )
