"""Exports of blocks in the background, within what the links have to spare."""

import collections
import threading

import loguru

from sycamorespoke import clients, decisions, world
from sycamorespoke.transfers import _exports, _mover

SPARE_POLL_S = 0.02
EXPORT_MAX_AGE_S = 60.0
UPSTREAM_SUSPENSION_S = 5.0
ROOM_BLOCKS = 4


class Exporter:
    """Exports queued prompts, one block at a time.

    Parameters
    ----------
    mover : BlockMover
        Moves one block.
    directory : StoreDirectory
        Knows where blocks are.
    links : LinkBudgets
        Budgets of the links.
    capacity : int
        Prompts that may wait, above 0.
    """

    def __init__(self, mover, directory, links, capacity):
        self.mover = mover
        self.directory = directory
        self.links = links
        self.counts = collections.Counter()
        self.failures_by_kind = collections.Counter()
        self._suspended_until_by_upstream = {}
        self.queue = _exports.ExportQueue(capacity)
        self._thread = threading.Thread(target=self._run, name="export", daemon=True)

    def start(self):
        """Start the exporting thread."""
        self._thread.start()

    def close(self):
        """Drop what waits, and let the block that is being moved arrive."""
        self.queue.close()
        if self._thread.is_alive():
            self._thread.join()

    def put(self, export):
        """Queue an export."""
        self.queue.put(export)

    def run_queued(self):
        """Export what waits now in the calling thread."""
        while self.run_next():
            pass

    def run_next(self):
        """Export the next prompt in the calling thread; False if none waits."""
        export = self.queue.take()
        if export is None:
            return False
        self._run_safely(export)
        return True

    def _run_safely(self, export):
        try:
            self.run_one(export)
        except Exception as error:
            # One prompt that cannot be exported must not end all exports.
            name = type(error).__name__
            loguru.logger.bind(error=name).error("export failed")
            self.failures_by_kind[name] += 1

    def run_one(self, export):
        """Export what no store holds of a prompt.

        Parameters
        ----------
        export : Export
            The prompt.

        Notes
        -----
        Ends with the first block that the engine has evicted or no store
        takes: the blocks after it would be of no use.
        """
        if self._is_suspended(export.upstream):
            self.counts["given_up"] += 1
            return
        # Another entry host may have exported the prompt already.
        known = self.directory.discover(export.keys, self.mover.clock())
        blocks_by_store = collections.Counter(known.stores)
        for key in export.keys[known.blocks :]:
            store = self._choose_store(export, blocks_by_store)
            if store is None or not self._wait_for_spare(export, store):
                self.counts["given_up"] += 1
                return
            if not self._move(export, key, store):
                return
            blocks_by_store[store.name] += 1

    def _run(self):
        while (export := self.queue.get()) is not None:
            self._run_safely(export)

    def _is_suspended(self, upstream):
        until = self._suspended_until_by_upstream.get(upstream.name, 0.0)
        return self.mover.clock() < until

    def _choose_store(self, export, blocks_by_store):
        now = self.mover.clock()
        candidates = [
            decisions.StoreCandidate(
                store,
                self.links.estimate_transfer_s(
                    self._ends(store), self.mover.last_size, now
                ),
                blocks_by_store[store.name],
            )
            for store in self.directory.list_writable(now)
        ]
        chosen = decisions.choose_store(candidates, export.keys[0])
        return chosen.host if chosen else None

    def _wait_for_spare(self, export, store):
        """Wait until both links have room beside what requests wait for."""
        while not self.queue.is_closed:
            now = self.mover.clock()
            if now - export.queued_s > EXPORT_MAX_AGE_S:
                return False
            ends = (self._ends(export.upstream), self._ends(store))
            if all(self.links.has_spare_capacity(each, now) for each in ends):
                return True
            self.mover.sleep(SPARE_POLL_S)
        return False

    def _move(self, export, key, store):
        envelope = self.mover.read_for_export(key, export.version, export.upstream)
        if not isinstance(envelope, clients.Envelope):
            self.failures_by_kind[type(envelope).__name__] += 1
            if isinstance(envelope, clients.Unavailable):
                until = self.mover.clock() + UPSTREAM_SUSPENSION_S
                self._suspended_until_by_upstream[export.upstream.name] = until
            return False
        written = self.mover.write_for_export(envelope, store)
        if isinstance(written, clients.Full):
            self._make_room(store, len(envelope.data), export.keys)
            written = self.mover.write_for_export(envelope, store)
        if not isinstance(written, _mover.MovedBlock):
            self._note_write_failure(key, store, written)
            return False
        self.directory.record_stored(key, store, written.block)
        self.counts["blocks"] += 1
        self.counts["bytes"] += written.size
        return True

    def _note_write_failure(self, key, store, written):
        self.failures_by_kind[type(written).__name__] += 1
        now = self.mover.clock()
        if isinstance(written, clients.Full):
            self.directory.record_full(store, now)
        else:
            self.directory.record_read_failure(key, store, written, now)

    def _make_room(self, store, size, kept_keys):
        """Free the least recently used blocks of a store."""
        least_used = self.directory.list_least_used(
            store, ROOM_BLOCKS * size, ROOM_BLOCKS
        )
        for key in least_used:
            if key in kept_keys:
                continue
            self.directory.store_client.free(store, key)
            self.directory.remove(key)
            self.counts["freed"] += 1

    def _ends(self, host):
        return world.link_key(self.mover.data_centre, host.data_centre)
