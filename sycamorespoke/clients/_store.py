"""Client for store hosts of KV cache blocks."""

import json
import urllib.parse

import xxhash

from sycamorespoke import domain
from sycamorespoke.clients import (
    _block_checks,
    _envelope,
    _http,
    _json_documents,
    _platform,
    _store_responses,
    _store_results,
)

METADATA_TIMEOUT_S = 0.5


class StoreClient:
    """Client for every store host; thread-safe.

    Parameters
    ----------
    timeout_s : float, default=2.0
        Read timeout, in seconds, above 0.
    connections : int, default=16
        Maximum number of idle connections kept per store host, 1 to 1000.
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

    def write(self, host, envelope):
        """Write a block and commit it.

        Parameters
        ----------
        host : domain.Host
            The store host.
        envelope : Envelope
            The block.

        Returns
        -------
        domain.Block or Full or Stale or Invalid or Unavailable
            Metadata of the committed block, or the reason why this write has not
            made it visible to readers.
        """
        encoded = _envelope.encode_envelope(envelope)
        slot = self.allocate(host, envelope.key, encoded)
        if not isinstance(slot, _store_results.Slot):
            return slot
        filled = self.fill(slot, encoded)
        if filled is not slot:
            return filled
        return self.commit(slot)

    def allocate(self, host, key, encoded):
        """Allocate space for a block.

        Parameters
        ----------
        host : domain.Host
            The store host.
        key : str
            Block key.
        encoded : bytes
            Encoded block that will be written.

        Returns
        -------
        Slot or Full or Unavailable
            The slot, which is not visible to readers yet.
        """
        checksum = xxhash.xxh3_64_hexdigest(encoded)
        value = {"key": key, "length": len(encoded), "checksum": checksum}
        body = json.dumps(value).encode()
        response = self._pool.request("POST", host, "/v1/slots", body)
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 201:
            return _store_responses.make_error(host, response)
        try:
            result = _json_documents.decode_document(response.data)
            number, generation = int(result["slot"]), int(result["generation"])
        except (ValueError, KeyError, TypeError):
            return _platform.Unavailable(f"malformed response from {host.name}")
        block = domain.Block(key, len(encoded), checksum, generation)
        return _store_results.Slot(host, number, block)

    def fill(self, slot, encoded):
        """Write an encoded block to its slot.

        Parameters
        ----------
        slot : Slot
            The allocated slot.
        encoded : bytes
            Encoded block.

        Returns
        -------
        Slot or Stale or Unavailable
            The same slot if all bytes were written.
        """
        path = _slot_path(slot, "")
        response = self._pool.request("PUT", slot.host, path, encoded)
        return _store_responses.check_response(slot.host, response, slot)

    def commit(self, slot):
        """Make a written block visible to readers.

        Parameters
        ----------
        slot : Slot
            Slot that holds the written block.

        Returns
        -------
        domain.Block or Stale or Invalid or Unavailable
            Metadata of the block if it is now visible to readers.
        """
        path = _slot_path(slot, "/commit")
        response = self._pool.request("POST", slot.host, path)
        return _store_responses.check_response(slot.host, response, slot.block)

    def read(self, host, key, version):
        """Read a block and verify it.

        Parameters
        ----------
        host : domain.Host
            The store host.
        key : str
            Block key.
        version : str
            Weight version that the block must have been computed with.

        Returns
        -------
        Envelope or Missing or Invalid or Unavailable
            The block; any other result is a cache miss.

        Notes
        -----
        Length and checksum are computed from the received bytes. The key is compared
        with the response headers and with the key in the encoded block. The
        generation is read again after the last byte, since the space may have been
        freed and overwritten between lookup and read.
        """
        response = self._pool.request("GET", host, _block_path(key))
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 200:
            return _store_responses.make_error(host, response)
        metadata = _store_responses.parse_metadata(response)
        if metadata is None:
            return _store_results.Invalid("the block metadata is malformed")
        error = _block_checks.find_block_error(key, version, metadata, response.data)
        if error:
            return _store_results.Invalid(error)
        changed = self.check_unchanged(host, metadata)
        if changed is not None:
            return changed
        return _envelope.parse_envelope(response.data)

    def check_unchanged(self, host, metadata):
        """Check that the metadata of a stored block has not changed.

        Parameters
        ----------
        host : domain.Host
            The store host.
        metadata : domain.Block
            Metadata received before the bytes of the block.

        Returns
        -------
        Missing or Invalid or Unavailable or None
            ``None`` if the store host still has the same generation of the block.
        """
        current = self.describe(host, metadata.key)
        if not isinstance(current, domain.Block):
            return current
        if current != metadata:
            return _store_results.Invalid("the space was overwritten during the read")
        return None

    def describe(self, host, key):
        """Read the current metadata of a block.

        Parameters
        ----------
        host : domain.Host
            The store host.
        key : str
            Block key.

        Returns
        -------
        domain.Block or Missing or Invalid or Unavailable
            The metadata, or the reason why there is none.
        """
        response = self._pool.request(
            "HEAD", host, _block_path(key), timeout_s=METADATA_TIMEOUT_S
        )
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 200:
            return _store_responses.make_error(host, response)
        metadata = _store_responses.parse_metadata(response)
        if metadata is None or metadata.key != key:
            return _store_results.Invalid(
                "the metadata is malformed or of another block"
            )
        return metadata

    def free(self, host, key):
        """Free the space of a block.

        Parameters
        ----------
        host : domain.Host
            The store host.
        key : str
            Block key.

        Returns
        -------
        Missing or Unavailable or None
            ``None`` if the space was freed.
        """
        response = self._pool.request("DELETE", host, _block_path(key))
        return _store_responses.check_response(host, response, None)

    def list_least_used(self, host, blocks):
        """List the least recently read blocks of a store host.

        Parameters
        ----------
        host : domain.Host
            The store host.
        blocks : int
            Maximum number of blocks to list, above 0.

        Returns
        -------
        list of str or Missing or Unavailable
            Block keys; ``Missing`` if the store host does not support listing.
        """
        path = f"/v1/blocks?least_used={blocks}"
        response = self._pool.request("GET", host, path, timeout_s=METADATA_TIMEOUT_S)
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 200:
            return _platform.Missing(f"{host.name} does not list its blocks")
        try:
            return [
                _check_key(key)
                for key in _json_documents.decode_document(response.data)["keys"]
            ]
        except (ValueError, KeyError, TypeError):
            return _platform.Unavailable(f"malformed response from {host.name}")

    def read_usage(self, host):
        """Read the space used in a store host.

        Parameters
        ----------
        host : domain.Host
            The store host.

        Returns
        -------
        StoreUsage or Unavailable
            Current usage, or the reason why there is none.
        """
        response = self._pool.request("GET", host, "/v1/usage")
        if isinstance(response, _platform.Unavailable):
            return response
        try:
            value = _json_documents.decode_document(response.data)
            return _store_results.StoreUsage(
                value["used_bytes"], value["capacity_bytes"], value["blocks"]
            )
        except (ValueError, KeyError, TypeError):
            return _platform.Unavailable(f"malformed response from {host.name}")


def _slot_path(slot, action):
    return f"/v1/slots/{slot.number}{action}?generation={slot.block.generation}"


def _block_path(key):
    return f"/v1/blocks/{urllib.parse.quote(key, safe='')}"


def _check_key(key):
    bytes.fromhex(key)
    return key
