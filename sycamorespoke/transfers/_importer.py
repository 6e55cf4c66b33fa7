"""Imports of the blocks that a request waits for."""

import collections
import concurrent.futures
import threading

import attrs
import loguru

from sycamorespoke import clients
from sycamorespoke.transfers import _mover


@attrs.frozen
class ImportResult:
    """What an import has brought.

    Parameters
    ----------
    blocks : int
        Leading blocks that the engine caches now, those skipped included.
    size : int
        Bytes moved.
    reason : str, default=""
        Why it ended early; empty when everything came.
    """

    blocks: int
    size: int
    reason: str = ""


@attrs.define(eq=False)
class _Move:
    """A block on its way, and the requests that wait for it."""

    target: tuple[str, str]
    until: float
    future: concurrent.futures.Future | None = None
    waiters: int = 1


class Importer:
    """Imports blocks, a bounded number at once.

    Parameters
    ----------
    mover : BlockMover
        Moves one block.
    directory : StoreDirectory
        Knows where blocks are.
    concurrency : int
        Blocks imported at once, above 0.
    """

    def __init__(self, mover, directory, concurrency):
        self.mover = mover
        self.directory = directory
        self.concurrency = concurrency
        self.counts = collections.Counter()
        self.failures_by_kind = collections.Counter()
        self._lock = threading.Lock()
        self._moves_by_target = {}
        self._closed = False
        self._executor = concurrent.futures.ThreadPoolExecutor(
            concurrency, thread_name_prefix="import"
        )

    @property
    def running(self):
        """Blocks that are being moved or wait for it."""
        return len(self._moves_by_target)

    def import_blocks(self, keys, version, upstream, now, skip, timeout_s):
        """Import the leading blocks of a prompt; see `Transfers`."""
        location = self.directory.locate(keys, now)
        until = now + timeout_s
        moves = [
            self._start(key, version, upstream, location, position, until)
            for position, key in enumerate(keys[: location.blocks])
            if position >= skip
        ]
        size = 0
        for done, move in enumerate(moves):
            rest_s = max(0.0, until - self.mover.clock())
            result = _wait(move, rest_s)
            if not isinstance(result, _mover.MovedBlock):
                self._cancel(moves[done:])
                return ImportResult(skip + done, size, result.reason)
            size += result.size
        return ImportResult(max(skip, location.blocks), size)

    def close(self):
        """Let running imports end and take no more."""
        with self._lock:
            self._closed = True
        self._executor.shutdown(wait=True)

    def _start(self, key, version, upstream, location, position, until):
        store = self.directory.get_store(location.stores[position])
        size = location.lengths[position]
        target = (key, upstream.name)
        with self._lock:
            move = self._moves_by_target.get(target)
            if move is not None:
                move.waiters += 1
                move.until = max(move.until, until)
                return move
            move = _Move(target, until)
            if self._closed:
                move.future = _make_closed_future()
                return move
            move.future = self._executor.submit(
                self._move, key, version, store, upstream, size, lambda: move.until
            )
            self._moves_by_target[target] = move
        move.future.add_done_callback(lambda _: self._forget(move))
        return move

    def _forget(self, move):
        with self._lock:
            if self._moves_by_target.get(move.target) is move:
                del self._moves_by_target[move.target]

    def _move(self, key, version, store, upstream, size, until):
        if store is None:
            return clients.Missing("the store host has gone")
        try:
            result = self.mover.import_block(key, version, store, upstream, size, until)
        except Exception as error:
            # The request does not depend on it: the engine computes the block.
            name = type(error).__name__
            loguru.logger.bind(error=name).error("import failed")
            result = clients.Unavailable(f"the import failed: {name}")
        with self._lock:
            if isinstance(result, _mover.MovedBlock):
                self.counts["blocks"] += 1
                self.counts["bytes"] += result.size
                return result
            self.failures_by_kind[type(result).__name__] += 1
        return result

    def _cancel(self, moves):
        # A block is of no use without those before it.
        for move in moves:
            with self._lock:
                move.waiters -= 1
                is_unwanted = move.waiters == 0
                if is_unwanted and self._moves_by_target.get(move.target) is move:
                    del self._moves_by_target[move.target]
            if is_unwanted:
                move.future.cancel()


def _make_closed_future():
    future = concurrent.futures.Future()
    future.set_result(clients.Unavailable("the process is stopping"))
    return future


def _wait(move, rest_s):
    try:
        return move.future.result(rest_s)
    except concurrent.futures.TimeoutError:
        return clients.Unavailable(_mover.IMPORT_TIMED_OUT)
    except concurrent.futures.CancelledError:
        return clients.Unavailable("the import was cancelled")
