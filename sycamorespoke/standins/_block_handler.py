"""Handling of block exports and imports of an engine."""

import time

import attrs
import xxhash

from sycamorespoke.standins import _cache, _wsgi


@attrs.define(eq=False)
class BlockHandler:
    """Exports and imports blocks of an engine's cache.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    cache : PrefixCache
        Prefix cache of the engine.
    loader : WeightLoader
        Holds the weight version of the engine.
    changed : threading.Condition
        Lock of the engine, notified after each import.
    faults : callable
        Returns the active faults.
    counts : collections.Counter
        Counts of the engine.
    """

    options: object
    cache: _cache.PrefixCache
    loader: object
    changed: object
    faults: object
    counts: object

    def export_block(self, key):
        """Handle a read of a block."""
        with self.changed:
            block = self.cache.get(key)
            if block is None:
                return _wsgi.make_json_response(404, {"error": "not cached"})
            self.counts["exported_blocks"] += 1
        data = block.data or _cache.make_block_bytes(
            key, block.version, self.options.block_bytes
        )
        self._simulate_transfer_time(len(data))
        headers = {
            "X-Checksum": xxhash.xxh3_64_hexdigest(data),
            "X-Version": block.version,
        }
        return _wsgi.Response(200, self._corrupt(data), headers)

    def import_block(self, request, key):
        """Handle a write of a block."""
        data = request.body
        self._simulate_transfer_time(len(data))
        if xxhash.xxh3_64_hexdigest(data) != request.get_header("X-Checksum"):
            return _wsgi.make_json_response(422, {"error": "checksum"})
        with self.changed:
            version = request.get_header("X-Version")
            if version != self.loader.version or self.loader.loading:
                return _wsgi.make_json_response(409, {"error": "version"})
            if self.faults()["import_full"] or not self.options.cache_blocks:
                return _wsgi.make_json_response(507, {"error": "full"})
            block = _cache.CachedBlock(version, data)
            self.cache.add(key, block, time.monotonic())
            self.counts["imported_blocks"] += 1
            if not _cache.matches_key(block, key, self.options.block_bytes):
                self.counts["wrong_imports"] += 1
            self.changed.notify_all()
        return _wsgi.Response(204)

    def _corrupt(self, data):
        if self.faults()["truncate_export"]:
            return data[: len(data) // 2]
        if self.faults()["flip_bit_export"]:
            return bytes([data[0] ^ 1]) + data[1:]
        return data

    def _simulate_transfer_time(self, length):
        if self.options.block_bytes_per_s:
            time.sleep(length / self.options.block_bytes_per_s)
