"""Client of KV store hosts."""

import json
import urllib.parse

import xxhash

from sycamorespoke import world
from sycamorespoke.clients import (
    _block_checks,
    _envelope,
    _http,
    _platform,
    _store_messages,
)

LOOK_UP_TIMEOUT_S = 0.5


class StoreClient:
    """Client of every KV store host; safe to share among threads.

    Parameters
    ----------
    timeout_s : float, default=2.0
        Longest silence of a host, seconds, above 0.
    connections : int, default=16
        Connections kept open for each host, 1 to 1000.
    pool : HostPool, optional
        How calls are sent; made from the other two when left out.

    Notes
    -----
    Methods return sentinel values with a reason in place of raising.
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
        host : world.Host
            The store host.
        envelope : Envelope
            The block.

        Returns
        -------
        world.Block or Full or Stale or Invalid or Unavailable
            The committed block, or why it is not visible from this write.
        """
        sealed = _envelope.encode_envelope(envelope)
        slot = self.allocate(host, envelope.key, sealed)
        if not isinstance(slot, _store_messages.Slot):
            return slot
        filled = self.fill(slot, sealed)
        if filled is not slot:
            return filled
        return self.commit(slot)

    def allocate(self, host, key, sealed):
        """Ask for space for a block.

        Parameters
        ----------
        host : world.Host
            The store host.
        key : str
            Block key.
        sealed : bytes
            The bytes that will be written.

        Returns
        -------
        Slot or Full or Unavailable
            The space, not yet visible to readers.
        """
        checksum = xxhash.xxh3_64_hexdigest(sealed)
        value = {"key": key, "length": len(sealed), "checksum": checksum}
        body = json.dumps(value).encode()
        response = self._pool.request("POST", host, "/v1/slots", body)
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 201:
            return _explain(host, response)
        try:
            answer = json.loads(response.data)
            number, generation = int(answer["slot"]), int(answer["generation"])
        except (ValueError, KeyError, TypeError):
            return _platform.Unavailable(f"{host.name} gave a malformed answer")
        block = world.Block(key, len(sealed), checksum, generation)
        return _store_messages.Slot(host, number, block)

    def fill(self, slot, sealed):
        """Write the bytes of a block into its space.

        Parameters
        ----------
        slot : Slot
            The space.
        sealed : bytes
            The bytes.

        Returns
        -------
        Slot or Stale or Unavailable
            The same slot once they are written.
        """
        path = _slot_path(slot, "")
        response = self._pool.request("PUT", slot.host, path, sealed)
        return _accept(slot.host, response, slot)

    def commit(self, slot):
        """Make a written block visible to readers.

        Parameters
        ----------
        slot : Slot
            The written space.

        Returns
        -------
        world.Block or Stale or Invalid or Unavailable
            The block once it is visible.
        """
        path = _slot_path(slot, "/commit")
        response = self._pool.request("POST", slot.host, path)
        return _accept(slot.host, response, slot.block)

    def read(self, host, key, version):
        """Read a block and verify it.

        Parameters
        ----------
        host : world.Host
            The store host.
        key : str
            Block key.
        version : str
            Weight version that must have computed it.

        Returns
        -------
        Envelope or Missing or Invalid or Unavailable
            The block; anything else is a miss.

        Notes
        -----
        Length and checksum are taken over the bytes received, the key is
        compared with the host's answer and with the bytes themselves, and the
        generation is asked for again after the last byte, since the space may
        have been freed and written anew between look-up and read.
        """
        response = self._pool.request("GET", host, _block_path(key))
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 200:
            return _explain(host, response)
        described = _describe(response)
        if described is None:
            return _store_messages.Invalid("the description of the block is malformed")
        fault = _block_checks.find_block_error(key, version, described, response.data)
        if fault:
            return _store_messages.Invalid(fault)
        changed = self.check_unchanged(host, described)
        if changed is not None:
            return changed
        return _envelope.parse_envelope(response.data)

    def check_unchanged(self, host, described):
        """Check that a store host still holds a block as it was described.

        Parameters
        ----------
        host : world.Host
            The store host.
        described : world.Block
            The description that came before the bytes.

        Returns
        -------
        Missing or Invalid or Unavailable or None
            ``None`` when the same generation is still there.
        """
        after = self.read_metadata(host, described.key)
        if not isinstance(after, world.Block):
            return after
        if after != described:
            return _store_messages.Invalid("the space was written anew during the read")
        return None

    def read_metadata(self, host, key):
        """Ask for the description of a block as of now.

        Parameters
        ----------
        host : world.Host
            The store host.
        key : str
            Block key.

        Returns
        -------
        world.Block or Missing or Invalid or Unavailable
            The description.
        """
        response = self._pool.request(
            "HEAD", host, _block_path(key), timeout_s=LOOK_UP_TIMEOUT_S
        )
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 200:
            return _explain(host, response)
        described = _describe(response)
        if described is None or described.key != key:
            return _store_messages.Invalid(
                "the description is not of the block asked for"
            )
        return described

    def free(self, host, key):
        """Free the space of a block.

        Parameters
        ----------
        host : world.Host
            The store host.
        key : str
            Block key.

        Returns
        -------
        Missing or Unavailable or None
            ``None`` once it is free.
        """
        response = self._pool.request("DELETE", host, _block_path(key))
        return _accept(host, response, None)

    def list_least_used(self, host, blocks):
        """List the least recently read blocks of a store host.

        Parameters
        ----------
        host : world.Host
            The store host.
        blocks : int
            Most blocks to list, above 0.

        Returns
        -------
        list of str or Missing or Unavailable
            Block keys; ``Missing`` when the host does not offer the call.
        """
        path = f"/v1/blocks?least_used={blocks}"
        response = self._pool.request("GET", host, path, timeout_s=LOOK_UP_TIMEOUT_S)
        if isinstance(response, _platform.Unavailable):
            return response
        if response.status != 200:
            return _platform.Missing(f"{host.name} does not list its blocks")
        try:
            return [_check_key(key) for key in json.loads(response.data)["keys"]]
        except (ValueError, KeyError, TypeError):
            return _platform.Unavailable(f"{host.name} gave a malformed answer")

    def read_usage(self, host):
        """Read how full a store host is.

        Parameters
        ----------
        host : world.Host
            The store host.

        Returns
        -------
        StoreUsage or Unavailable
            As of now.
        """
        response = self._pool.request("GET", host, "/v1/usage")
        if isinstance(response, _platform.Unavailable):
            return response
        try:
            value = json.loads(response.data)
            return _store_messages.StoreUsage(
                value["used_bytes"], value["capacity_bytes"], value["blocks"]
            )
        except (ValueError, KeyError, TypeError):
            return _platform.Unavailable(f"{host.name} gave a malformed answer")


def _slot_path(slot, action):
    return f"/v1/slots/{slot.number}{action}?generation={slot.block.generation}"


def _block_path(key):
    return f"/v1/blocks/{urllib.parse.quote(key, safe='')}"


def _check_key(key):
    bytes.fromhex(key)
    return key


def _describe(response):
    headers = response.headers
    try:
        return world.Block(
            key=headers["X-Key"],
            length=int(headers["X-Length"]),
            checksum=headers["X-Checksum"],
            generation=int(headers["X-Generation"]),
        )
    except (KeyError, ValueError):
        return None


def _accept(host, response, result):
    if isinstance(response, _platform.Unavailable):
        return response
    if response.status in (200, 204):
        return result
    return _explain(host, response)


def _explain(host, response):
    status = response.status
    if status == 404:
        return _platform.Missing(f"{host.name} does not hold the block")
    if status == 409:
        return _store_messages.Stale(
            f"{host.name} has given the space to another block"
        )
    if status == 422:
        return _store_messages.Invalid(f"{host.name} found length or checksum wrong")
    if status == 507:
        return _store_messages.Full(f"{host.name} has no room")
    return _platform.Unavailable(f"{host.name} answered {status}")
