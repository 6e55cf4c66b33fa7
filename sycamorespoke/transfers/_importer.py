"""Imports of blocks that requests wait for."""

import collections
import concurrent.futures
import threading

import attrs
import loguru

from sycamorespoke import clients
from sycamorespoke.transfers import _mover


@attrs.frozen
class ImportResult:
    """Result of an import.

    Parameters
    ----------
    blocks : int
        Number of leading blocks that the engine caches now, including skipped
        ones.
    size_bytes : int
        Bytes imported.
    reason : str, default=""
        Why the import ended early; empty if it is complete.
    """

    blocks: int
    size_bytes: int
    reason: str = ""


@attrs.define(eq=False)
class _PendingImport:
    """A pending import of one block and the number of requests waiting for it."""

    target: tuple[str, str]
    deadline_s: float
    future: concurrent.futures.Future | None = None
    waiters: int = 1


class Importer:
    """Imports blocks with bounded concurrency.

    Parameters
    ----------
    mover : BlockMover
        Transfers single blocks.
    directory : StoreDirectory
        Index of the stored blocks.
    concurrency : int
        Maximum number of concurrent block imports, above 0.
    """

    def __init__(self, mover, directory, concurrency):
        self.mover = mover
        self.directory = directory
        self.concurrency = concurrency
        self.counts = collections.Counter()
        self.failures_by_kind = collections.Counter()
        self._lock = threading.Lock()
        self._imports_by_target = {}
        self._closed = False
        self._executor = concurrent.futures.ThreadPoolExecutor(
            concurrency, thread_name_prefix="import"
        )

    @property
    def running(self):
        """Number of block imports that are running or queued."""
        return len(self._imports_by_target)

    def import_blocks(self, keys, version, upstream, now, skip, timeout_s):
        """Import the leading blocks of a prompt; see `Transfers.import_blocks`."""
        location = self.directory.locate(keys, now)
        deadline_s = now + timeout_s
        pending_imports = [
            self._start_import(key, version, upstream, location, position, deadline_s)
            for position, key in enumerate(keys[: location.blocks])
            if position >= skip
        ]
        size_bytes = 0
        for imported, pending in enumerate(pending_imports):
            remaining_s = max(0.0, deadline_s - self.mover.clock())
            result = _wait(pending, remaining_s)
            if not isinstance(result, _mover.MovedBlock):
                self._cancel_unwanted(pending_imports[imported:])
                return ImportResult(skip + imported, size_bytes, result.reason)
            size_bytes += result.size_bytes
        return ImportResult(max(skip, location.blocks), size_bytes)

    def close(self):
        """Wait for running imports and accept no new ones."""
        with self._lock:
            self._closed = True
        self._executor.shutdown(wait=True)

    def _start_import(self, key, version, upstream, location, position, deadline_s):
        store = self.directory.get_store(location.stores[position])
        size_bytes = location.lengths[position]
        target = (key, upstream.name)
        with self._lock:
            pending = self._imports_by_target.get(target)
            if pending is not None:
                pending.waiters += 1
                pending.deadline_s = max(pending.deadline_s, deadline_s)
                return pending
            pending = _PendingImport(target, deadline_s)
            if self._closed:
                pending.future = _make_closed_future()
                return pending
            pending.future = self._executor.submit(
                self._import_block,
                key,
                version,
                store,
                upstream,
                size_bytes,
                lambda: pending.deadline_s,
            )
            self._imports_by_target[target] = pending
        pending.future.add_done_callback(lambda _: self._remove(pending))
        return pending

    def _remove(self, pending):
        with self._lock:
            if self._imports_by_target.get(pending.target) is pending:
                del self._imports_by_target[pending.target]

    def _import_block(self, key, version, store, upstream, size_bytes, get_deadline_s):
        if store is None:
            return clients.Missing("the store host is not configured")
        try:
            result = self.mover.import_block(
                key, version, store, upstream, size_bytes, get_deadline_s
            )
        except Exception as error:
            # The request must not fail: the engine can compute the block.
            name = type(error).__name__
            loguru.logger.bind(error=name).error("import failed")
            result = clients.Unavailable(f"the import failed: {name}")
        with self._lock:
            if isinstance(result, _mover.MovedBlock):
                self.counts["blocks"] += 1
                self.counts["bytes"] += result.size_bytes
                return result
            self.failures_by_kind[type(result).__name__] += 1
        return result

    def _cancel_unwanted(self, pending_imports):
        # A block cannot be used without the preceding ones. An import that other
        # requests wait for continues.
        for pending in pending_imports:
            with self._lock:
                pending.waiters -= 1
                is_unwanted = pending.waiters == 0
                if (
                    is_unwanted
                    and self._imports_by_target.get(pending.target) is pending
                ):
                    del self._imports_by_target[pending.target]
            if is_unwanted:
                pending.future.cancel()


def _make_closed_future():
    future = concurrent.futures.Future()
    future.set_result(clients.Unavailable("the process is stopping"))
    return future


def _wait(pending, remaining_s):
    try:
        return pending.future.result(remaining_s)
    except concurrent.futures.TimeoutError:
        return clients.Unavailable(_mover.IMPORT_TIMED_OUT)
    except concurrent.futures.CancelledError:
        return clients.Unavailable("the import was cancelled")
