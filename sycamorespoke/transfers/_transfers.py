"""Transfers of blocks between engines and store hosts."""

import time

from sycamorespoke import clients, world
from sycamorespoke.transfers import (
    _directory,
    _exporter,
    _exports,
    _importer,
    _links,
    _mover,
    _stats,
)


class Transfers:
    """Moves blocks through this process and knows which store holds which.

    Parameters
    ----------
    data_centre : str
        Data centre of this process.
    store_client : clients.StoreClient, optional
        Client of store hosts.
    block_client : clients.BlockClient, optional
        Client of engines.
    concurrency : int, default=4
        Blocks that are imported at once, 1 to 64; one more is exported.
    index_capacity : int, default=200000
        Blocks that the index knows, above 0.
    export_capacity : int, default=1000
        Prompts that may wait for their export, above 0.
    clock, sleep : callable, default=time.monotonic, time.sleep
        Clock and wait of the moving threads.

    Notes
    -----
    Safe to share among threads. Whatever fails is a miss: the engine computes
    the block anew.
    """

    def __init__(
        self,
        data_centre,
        store_client=None,
        block_client=None,
        concurrency=4,
        index_capacity=200000,
        export_capacity=1000,
        clock=time.monotonic,
        sleep=time.sleep,
    ):
        self.data_centre = data_centre
        self.store_client = store_client or clients.StoreClient()
        self.block_client = block_client or clients.BlockClient()
        self.concurrency = concurrency
        self.index_capacity = index_capacity
        self.export_capacity = export_capacity
        self.clock = clock
        self.sleep = sleep
        self._links = _links.LinkBudgets()
        self._directory = _directory.StoreDirectory(self.store_client, index_capacity)
        self._mover = _mover.BlockMover(
            data_centre,
            self.store_client,
            self.block_client,
            self._directory,
            self._links,
            clock,
            sleep,
        )
        self._importer = _importer.Importer(self._mover, self._directory, concurrency)
        self._exporter = _exporter.Exporter(
            self._mover, self._directory, self._links, export_capacity
        )

    def start(self):
        """Start exporting in the background; return self."""
        self._exporter.start()
        return self

    def run_queued_exports(self):
        """Export what is queued now in this thread, for tests and tools."""
        self._exporter.run_queued()

    def run_next_export(self):
        """Export the next queued prompt in this thread, if there is one.

        Returns
        -------
        bool
            There was one.
        """
        return self._exporter.run_next()

    def close(self):
        """Let the blocks that are being moved arrive and take no more."""
        self._exporter.close()
        self._importer.close()

    def configure(self, links_by_ends, stores, share=1.0):
        """Set what the rules and the list of hosts say; cheap when unchanged.

        Parameters
        ----------
        links_by_ends : dict of (str, str) to world.Link
            Links by the sorted names of their ends.
        stores : list of world.Host
            Store hosts that may be used.
        share : float, default=1.0
            Share of each link that this process may use, above 0, at most 1;
            the reciprocal of the entry hosts alive.
        """
        self._links.configure(links_by_ends, share)
        self._directory.configure(stores)

    def locate(self, keys, now):
        """Return where the leading blocks of a prompt are believed to be.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, first to last.
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        Location
            Number of leading blocks that can be imported, and from where.
        """
        return self._directory.locate(keys, now)

    def discover(self, keys, now):
        """Ask the store hosts for a prompt that `locate` does not know.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, first to last.
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        Location
            As `locate`, after a number of look-ups that grows with the
            logarithm of the number of blocks.
        """
        return self._directory.discover(keys, now)

    def record_stored(self, key, store, block):
        """Note that a store holds a block, as a peer may say.

        Parameters
        ----------
        key : str
            Block key.
        store : world.Host
            The store host.
        block : world.Block
            How the store host describes it.

        Notes
        -----
        A false note costs a look-up that fails.
        """
        self._directory.record_stored(key, store, block)

    def estimate_import_s(self, location, upstream, now, skip=0):
        """Estimate the time to import what is at a location.

        Parameters
        ----------
        location : Location
            Where the blocks are.
        upstream : world.Host
            The engine.
        now : float
            Present time, seconds of the monotonic clock.
        skip : int, default=0
            Leading blocks that the engine caches already.

        Returns
        -------
        float
            Seconds over the slower of the links, with the wait for what was
            promised earlier.
        """
        size_by_ends = {}
        for name, length in zip(
            location.stores[skip:], location.lengths[skip:], strict=True
        ):
            store = self._directory.get_store(name)
            if store is None:
                continue
            for host in (store, upstream):
                ends = world.link_key(self.data_centre, host.data_centre)
                size_by_ends[ends] = size_by_ends.get(ends, 0) + length
        estimates = [
            self._links.estimate_transfer_s(ends, size, now)
            for ends, size in size_by_ends.items()
        ]
        return max(estimates, default=0.0)

    def import_blocks(self, keys, version, upstream, now, skip=0, timeout_s=10.0):
        """Import the leading blocks of a prompt and wait for them.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, first to last.
        version : str
            Weight version that the request uses.
        upstream : world.Host
            The engine that is to serve it.
        now : float
            Present time, seconds of the monotonic clock.
        skip : int, default=0
            Leading blocks that the engine caches already.
        timeout_s : float, default=10.0
            Longest wait, seconds, above 0; the rest is computed.

        Returns
        -------
        ImportResult
            How many leading blocks the engine caches now.
        """
        return self._importer.import_blocks(
            keys, version, upstream, now, skip, timeout_s
        )

    def export_blocks(self, keys, version, upstream, now, is_repeated=False):
        """Queue the export of a prompt's blocks; does not wait.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, first to last.
        version : str
            Weight version that computed them.
        upstream : world.Host
            The engine that caches them.
        now : float
            Present time, seconds of the monotonic clock.
        is_repeated : bool, default=False
            The prompt has come back before, so it is likely to again.

        Returns
        -------
        int
            Blocks that no store is known to hold.
        """
        missing = len(keys) - self._directory.locate(keys, now).blocks
        if missing:
            export = _exports.Export(tuple(keys), version, upstream, is_repeated, now)
            self._exporter.put(export)
        return missing

    def stats(self, now):
        """Return counts for the metrics and the state dump.

        Parameters
        ----------
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        TransferStats
            The counts; no key and no prompt is among them.
        """
        importer, exporter = self._importer, self._exporter
        failures_by_kind = importer.failures_by_kind + exporter.failures_by_kind
        return _stats.TransferStats(
            indexed_blocks=len(self._directory),
            queued_exports=len(exporter.queue),
            running_imports=importer.running,
            imported_blocks=importer.counts["blocks"],
            imported_bytes=importer.counts["bytes"],
            exported_blocks=exporter.counts["blocks"],
            exported_bytes=exporter.counts["bytes"],
            dropped_exports=exporter.queue.dropped + exporter.counts["given_up"],
            freed_blocks=exporter.counts["freed"],
            failures_by_kind=dict(failures_by_kind),
            bytes_by_link=self._links.count_bytes(),
            suspended_stores=self._directory.list_suspended(now),
        )
