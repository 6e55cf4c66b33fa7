"""Client for exporting and importing the KV cache blocks of model engines."""

import urllib.parse

import xxhash

from sycamorespoke.clients import _envelope, _http, _platform, _store_results


class BlockClient:
    """Client for the block cache of every model engine; thread-safe.

    Parameters
    ----------
    timeout_s : float, default=2.0
        Read timeout, in seconds, above 0.
    connections : int, default=16
        Maximum number of idle connections kept per engine, 1 to 1000.
    pool : HostPool, optional
        Connection pool. By default it is created from `timeout_s` and
        `connections`.

    Notes
    -----
    Methods return sentinel values with a reason instead of raising.
    """

    def __init__(self, timeout_s=2.0, connections=16, pool=None):
        self.timeout_s = timeout_s
        self.connections = connections
        self.pool = pool
        self._pool = pool or _http.HostPool(timeout_s, connections)

    def export_block(self, host, key, version):
        """Export a block from the cache of an engine.

        Parameters
        ----------
        host : domain.Host
            The engine.
        key : str
            Block key.
        version : str
            Weight version that the block key was computed for.

        Returns
        -------
        Envelope or Missing or Invalid or Stale or Unavailable
            The block, or the reason why it was not exported. ``Stale`` if the
            engine's block is of another weight version.
        """
        response = self._pool.request("GET", host, _block_path(key))
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status == 404:
            return _platform.Missing(f"{host.name} does not cache the block")
        if response.status != 200:
            return _platform.Unavailable(f"{host.name} returned {response.status}")
        if response.headers.get("X-Version", version) != version:
            return _store_results.Stale("the block is of another weight version")
        checksum = xxhash.xxh3_64_hexdigest(response.data)
        if checksum != response.headers.get("X-Checksum"):
            return _store_results.Invalid("checksum mismatch in the exported block")
        return _envelope.Envelope(key, version, response.data)

    def import_block(self, host, envelope):
        """Import a verified block into the cache of an engine.

        Parameters
        ----------
        host : domain.Host
            The engine.
        envelope : Envelope
            The block.

        Returns
        -------
        Full or Invalid or Stale or Unavailable or None
            ``None`` if the engine has cached the block. ``Stale`` if the engine
            has loaded another weight version.
        """
        headers = {
            "X-Checksum": xxhash.xxh3_64_hexdigest(envelope.data),
            "X-Version": envelope.version,
        }
        response = self._pool.request(
            "PUT", host, _block_path(envelope.key), envelope.data, headers
        )
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status == 204:
            return None
        if response.status == 409:
            return _store_results.Stale(f"{host.name} has another weight version")
        if response.status == 422:
            return _store_results.Invalid(f"{host.name} reported a checksum mismatch")
        if response.status == 507:
            return _store_results.Full(f"{host.name} is full")
        return _platform.Unavailable(f"{host.name} returned {response.status}")


def _block_path(key):
    return f"/v1/blocks/{urllib.parse.quote(key, safe='')}"
