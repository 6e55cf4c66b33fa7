"""Client of model engines."""

import msgspec
import urllib3

from sycamorespoke import world
from sycamorespoke.clients import _boot, _engine_stream

CONNECT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 1.0


class GenerationRequest(msgspec.Struct, kw_only=True):
    """A request to an engine.

    Parameters
    ----------
    request_id : str
        Echoed on each line of the answer.
    account : str
        Name of the client account.
    model, adapter, version : str
        What is to serve it.
    prompt : str
        The whole prompt.
    block_keys : tuple of str
        Keys of its full blocks.
    max_tokens : int
        Most tokens to generate, above 0.
    priority : int
        0 (first) to 9 (last).
    start_at : int, default=0
        Index of the first token wanted.
    emitted : str, default=""
        Text of the tokens before it.
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
    """Copy a request so that it continues after tokens that have arrived.

    Parameters
    ----------
    request : GenerationRequest
        The first request.
    emitted : list of str
        Texts of the tokens that have arrived; may be empty.

    Returns
    -------
    GenerationRequest
        Asks for the tokens that follow.
    """
    return msgspec.structs.replace(
        request, start_at=len(emitted), emitted="".join(emitted)
    )


def replace_request_id(request, request_id):
    """Copy a request under another id.

    Parameters
    ----------
    request : GenerationRequest
        The request.
    request_id : str
        Unique among all requests of all callers.

    Returns
    -------
    GenerationRequest
        The copy.
    """
    return msgspec.structs.replace(request, request_id=request_id)


class EngineClient:
    """Client of every model engine; safe to share among threads.

    Parameters
    ----------
    connections : int, default=64
        Connections kept open for each engine, 1 to 10000.
    """

    def __init__(self, connections=64):
        self.connections = connections
        self._pool = urllib3.PoolManager(
            num_pools=1000, maxsize=connections, retries=False
        )
        self._pool.pool_classes_by_scheme = {"http": _boot.BootPool}

    def generate(self, host, request, timeout_s, boot_id=""):
        """Send a request to an engine.

        Parameters
        ----------
        host : world.Host
            The engine.
        request : GenerationRequest
            The request.
        timeout_s : float
            Longest silence of the engine in seconds, above 0.
        boot_id : str, default=""
            Boot that the request is meant for; empty for any. A restarted engine
            is ``UPSTREAM_UNREACHABLE``.

        Returns
        -------
        EngineStream or world.Refusal
            A refusal of kind ``UPSTREAM_REFUSED`` or ``UPSTREAM_UNREACHABLE``
            is a true "not run".
        """
        _boot.BootPool.expect(boot_id)
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
            return world.Refusal(
                world.ErrorKind.UPSTREAM_UNREACHABLE, "cannot connect to the upstream"
            )
        except urllib3.exceptions.HTTPError as error:
            return world.Refusal(
                world.ErrorKind.UPSTREAM_LOST,
                f"the upstream did not answer: {type(error).__name__}",
            )
        finally:
            _boot.BootPool.expect("")
        if response.status == 200:
            return _engine_stream.EngineStream(response, request)
        return _refuse(response)

    def cancel(self, host, request_id):
        """Cancel a request; a failure is ignored, the engine ends it by itself.

        Parameters
        ----------
        host : world.Host
            The engine.
        request_id : str
            Id of the request.
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
        host : world.Host
            The engine.
        now : float
            Time of the asking, seconds of the monotonic clock.

        Returns
        -------
        world.LoadReport or world.Refusal
            The report, which lags.
        """
        value = self._get_json(host, "/v1/load")
        if isinstance(value, world.Refusal):
            return value
        return world.LoadReport(
            boot_id=value["boot_id"],
            running=value["running"],
            queued=value["queued"],
            version=value["version"],
            warm=value["warm"],
            reported_s=now,
        )

    def read_cache_events(self, host, after):
        """Read the cache events of an engine.

        Parameters
        ----------
        host : world.Host
            The engine.
        after : int
            Number of the last event known, 0 for none.

        Returns
        -------
        dict or world.Refusal
            ``{"boot_id", "events": [{"number", "kind", "key", "tokens"}]}``.
        """
        return self._get_json(host, f"/v1/cache-events?after={after}&wait=0")

    def _get_json(self, host, path):
        try:
            response = self._pool.request(
                "GET", f"http://{host.address}{path}", timeout=REPORT_TIMEOUT_S
            )
            if response.status == 200:
                return msgspec.json.decode(response.data)
            reason = f"the upstream answered {response.status}"
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            reason = f"no report: {type(error).__name__}"
        return world.Refusal(world.ErrorKind.UPSTREAM_UNREACHABLE, reason)


def _refuse(response):
    status = response.status
    response.drain_conn()
    response.release_conn()
    if status in (409, 429, 503):
        return world.Refusal(
            world.ErrorKind.UPSTREAM_REFUSED, f"the upstream refused with {status}"
        )
    return world.Refusal(
        world.ErrorKind.UPSTREAM_LOST, f"the upstream answered {status}"
    )
