"""Background exports of blocks, limited to the spare capacity of the links."""

import collections
import threading

import loguru

from sycamorespoke import clients, decisions, domain
from sycamorespoke.transfers import _exports, _mover

CAPACITY_POLL_INTERVAL_S = 0.02
MAX_EXPORT_AGE_S = 60.0
UPSTREAM_SUSPENSION_S = 5.0
EVICTION_BATCH_BLOCKS = 4


class Exporter:
    """Exports the blocks of queued prompts, one block at a time.

    Parameters
    ----------
    mover : BlockMover
        Transfers single blocks.
    directory : StoreDirectory
        Index of the stored blocks.
    links : LinkBudgets
        Bandwidth budgets of the links.
    capacity : int
        Maximum number of queued prompts, above 0.
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
        """Start the export thread."""
        self._thread.start()

    def close(self):
        """Drop queued exports and wait for the transfer in progress."""
        self.queue.close()
        if self._thread.is_alive():
            self._thread.join()

    def put(self, export):
        """Queue an export."""
        self.queue.put(export)

    def run_queued(self):
        """Run all queued exports in the calling thread."""
        while self.run_next():
            pass

    def run_next(self):
        """Run the next export in the calling thread; return False if none is queued."""
        export = self.queue.get_nowait()
        if export is None:
            return False
        self._run_export(export)
        return True

    def _run_export(self, export):
        try:
            self.export_prompt(export)
        except Exception as error:
            # An error in one export must not end the export thread.
            name = type(error).__name__
            loguru.logger.bind(error=name).error("export failed")
            self.failures_by_kind[name] += 1

    def export_prompt(self, export):
        """Export the blocks of a prompt that no store holds.

        Parameters
        ----------
        export : Export
            The export.

        Notes
        -----
        Stops at the first block that the engine has evicted or no store
        accepts: later blocks cannot be used without it.
        """
        if self._is_suspended(export.upstream):
            self.counts["given_up"] += 1
            return
        # Another entry host may have exported the prompt already.
        known = self.directory.discover(export.keys, self.mover.clock())
        blocks_by_store = collections.Counter(known.stores)
        for key in export.keys[known.blocks :]:
            store = self._choose_store(export, blocks_by_store)
            if store is None or not self._wait_for_spare_capacity(export, store):
                self.counts["given_up"] += 1
                return
            if not self._export_block(export, key, store):
                return
            blocks_by_store[store.name] += 1

    def _run(self):
        while (export := self.queue.get()) is not None:
            self._run_export(export)

    def _is_suspended(self, upstream):
        suspended_until_s = self._suspended_until_by_upstream.get(upstream.name, 0.0)
        return self.mover.clock() < suspended_until_s

    def _choose_store(self, export, blocks_by_store):
        now = self.mover.clock()
        candidates = [
            decisions.StoreCandidate(
                store,
                self.links.estimate_transfer_s(
                    self._get_link_ends(store), self.mover.last_block_bytes, now
                ),
                blocks_by_store[store.name],
            )
            for store in self.directory.list_writable(now)
        ]
        chosen = decisions.choose_store(candidates, export.keys[0])
        return chosen.host if chosen else None

    def _wait_for_spare_capacity(self, export, store):
        """Wait until both links have capacity that requests do not need.

        Return False if the export is too old or the exporter is closed.
        """
        while not self.queue.is_closed:
            now = self.mover.clock()
            if now - export.queued_s > MAX_EXPORT_AGE_S:
                return False
            ends = (self._get_link_ends(export.upstream), self._get_link_ends(store))
            if all(self.links.has_spare_capacity(each, now) for each in ends):
                return True
            self.mover.sleep(CAPACITY_POLL_INTERVAL_S)
        return False

    def _export_block(self, export, key, store):
        envelope = self.mover.read_for_export(key, export.version, export.upstream)
        if not isinstance(envelope, clients.Envelope):
            self.failures_by_kind[type(envelope).__name__] += 1
            if isinstance(envelope, clients.Unavailable):
                suspended_until_s = self.mover.clock() + UPSTREAM_SUSPENSION_S
                self._suspended_until_by_upstream[export.upstream.name] = (
                    suspended_until_s
                )
            return False
        written = self.mover.write_for_export(envelope, store)
        if isinstance(written, clients.Full):
            self._evict_least_used(store, len(envelope.data), export.keys)
            written = self.mover.write_for_export(envelope, store)
        if not isinstance(written, _mover.MovedBlock):
            self._record_write_failure(key, store, written)
            return False
        self.directory.record_stored(key, store, written.block)
        self.counts["blocks"] += 1
        self.counts["bytes"] += written.size_bytes
        return True

    def _record_write_failure(self, key, store, written):
        self.failures_by_kind[type(written).__name__] += 1
        now = self.mover.clock()
        if isinstance(written, clients.Full):
            self.directory.record_full(store, now)
        else:
            self.directory.record_failure(key, store, written, now)

    def _evict_least_used(self, store, size_bytes, kept_keys):
        """Evict the least recently used blocks of a store, except `kept_keys`."""
        least_used = self.directory.list_least_used(
            store, EVICTION_BATCH_BLOCKS * size_bytes, EVICTION_BATCH_BLOCKS
        )
        for key in least_used:
            if key in kept_keys:
                continue
            self.directory.store_client.free(store, key)
            self.directory.remove(key)
            self.counts["freed"] += 1

    def _get_link_ends(self, host):
        return domain.link_key(self.mover.data_centre, host.data_centre)
