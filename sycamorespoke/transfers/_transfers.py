"""Transfers of blocks between engines and store hosts, through this process."""

import time

from sycamorespoke import clients, domain
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
    """Transfers blocks through this process and indexes the stored blocks.

    Parameters
    ----------
    data_centre : str
        Data centre of this process.
    store_client : clients.StoreClient, optional
        Client of store hosts.
    block_client : clients.BlockClient, optional
        Client of engines.
    concurrency : int, default=4
        Maximum number of concurrent block imports, 1 to 64. One more block is
        exported at the same time.
    index_capacity : int, default=200000
        Maximum number of blocks in the index, above 0.
    export_capacity : int, default=1000
        Maximum number of queued prompts, above 0.
    clock, sleep : callable, default=time.monotonic, time.sleep
        Clock and sleep function of the transfer threads.

    Notes
    -----
    Thread-safe. Every failure is treated as a cache miss: the engine computes the
    block again.
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
        """Start background exports; return self."""
        self._exporter.start()
        return self

    def run_queued_exports(self):
        """Run all queued exports in the calling thread, for tests and tools."""
        self._exporter.run_queued()

    def run_next_export(self):
        """Run the next queued export in the calling thread, if there is one.

        Returns
        -------
        bool
            Whether an export was queued.
        """
        return self._exporter.run_next()

    def close(self):
        """Wait for running block transfers and accept no new ones."""
        self._exporter.close()
        self._importer.close()

    def configure(self, links_by_ends, stores, share=1.0):
        """Set the links and the store hosts; cheap if nothing has changed.

        Parameters
        ----------
        links_by_ends : dict of (str, str) to domain.Link
            Links by the sorted names of the data centres at their ends.
        stores : list of domain.Host
            Store hosts that may be used.
        share : float, default=1.0
            Share of each link that this process may use, above 0, at most 1;
            the reciprocal of the number of live entry hosts.
        """
        self._links.configure(links_by_ends, share)
        self._directory.configure(stores)

    def locate(self, keys, now):
        """Look up the leading blocks of a prompt in the index.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, in order.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        Location
            The leading blocks that can be imported, and the stores that hold them.
        """
        return self._directory.locate(keys, now)

    def discover(self, keys, now):
        """Query the store hosts for the blocks of a prompt that `locate` does not find.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, in order.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        Location
            As from `locate`. The number of look-ups per store grows with the
            logarithm of the number of blocks.
        """
        return self._directory.discover(keys, now)

    def record_stored(self, key, store, block):
        """Add a block that a store holds to the index.

        Parameters
        ----------
        key : str
            Block key.
        store : domain.Host
            The store host.
        block : domain.Block
            Description of the block by the store host.

        Notes
        -----
        A wrong entry, such as one reported by a peer, costs one failed look-up.
        """
        self._directory.record_stored(key, store, block)

    def estimate_import_s(self, location, upstream, now, skip=0):
        """Estimate the time to import the blocks of a location.

        Parameters
        ----------
        location : Location
            The blocks, from `locate` or `discover`.
        upstream : domain.Host
            The engine.
        now : float
            Current monotonic time, in seconds.
        skip : int, default=0
            Number of leading blocks that the engine already caches.

        Returns
        -------
        float
            Estimated seconds over the slowest link, including the wait for earlier
            reservations.
        """
        bytes_by_ends = {}
        for name, length in zip(
            location.stores[skip:], location.lengths[skip:], strict=True
        ):
            store = self._directory.get_store(name)
            if store is None:
                continue
            for host in (store, upstream):
                ends = domain.link_key(self.data_centre, host.data_centre)
                bytes_by_ends[ends] = bytes_by_ends.get(ends, 0) + length
        estimates = [
            self._links.estimate_transfer_s(ends, size_bytes, now)
            for ends, size_bytes in bytes_by_ends.items()
        ]
        return max(estimates, default=0.0)

    def import_blocks(self, keys, version, upstream, now, skip=0, timeout_s=10.0):
        """Import the leading blocks of a prompt and wait for them.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, in order.
        version : str
            Weight version of the request.
        upstream : domain.Host
            Engine that will serve the request.
        now : float
            Current monotonic time, in seconds.
        skip : int, default=0
            Number of leading blocks that the engine already caches.
        timeout_s : float, default=10.0
            Longest wait, in seconds, above 0. The engine computes the blocks that
            have not arrived by then.

        Returns
        -------
        ImportResult
            Number of leading blocks that the engine caches now.
        """
        return self._importer.import_blocks(
            keys, version, upstream, now, skip, timeout_s
        )

    def export_blocks(self, keys, version, upstream, now, is_repeated=False):
        """Queue the export of a prompt's blocks without waiting for it.

        Parameters
        ----------
        keys : tuple of str
            Block keys of the prompt, in order.
        version : str
            Weight version that computed the blocks.
        upstream : domain.Host
            Engine that caches the blocks.
        now : float
            Current monotonic time, in seconds.
        is_repeated : bool, default=False
            Whether the prompt or a prefix of it has been seen before. Such a prompt is
            likely to be used again and is exported first.

        Returns
        -------
        int
            Number of blocks that the index does not list at any available store.
        """
        missing = len(keys) - self._directory.locate(keys, now).blocks
        if missing:
            export = _exports.Export(tuple(keys), version, upstream, is_repeated, now)
            self._exporter.put(export)
        return missing

    def stats(self, now):
        """Return statistics for the metrics and the state dump.

        Parameters
        ----------
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        TransferStats
            The statistics; they contain no block keys and no prompts.
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
