"""Transfers of single blocks between engines and store hosts."""

import math

import attrs

from sycamorespoke import clients, domain

DEFAULT_BLOCK_BYTES = 65536
IMPORT_TIMED_OUT = "the import timed out"


@attrs.frozen
class MovedBlock:
    """Result of a successful transfer of a block.

    Parameters
    ----------
    size_bytes : int
        Bytes transferred over each of the two links.
    block : domain.Block or None, default=None
        Description by the store host, after an export.
    """

    size_bytes: int
    block: domain.Block | None = None


@attrs.define
class BlockMover:
    """Transfers blocks through this process, within the budgets of the links.

    Parameters
    ----------
    data_centre : str
        Data centre of this process.
    store_client : clients.StoreClient
        Client of store hosts.
    block_client : clients.BlockClient
        Client of engines.
    directory : StoreDirectory
        Records the reads that failed at a store host.
    links : LinkBudgets
        Bandwidth budgets of the links.
    clock : callable
        Returns the current monotonic time, in seconds.
    sleep : callable
        Waits for a number of seconds.
    last_block_bytes : int, default=65536
        Size of the block that was last read from an engine, in bytes. It is the
        estimate of the size of the next exported block.

    Notes
    -----
    A block is buffered whole in memory, since none of it may be forwarded before
    all of it is verified.
    """

    data_centre: str
    store_client: clients.StoreClient
    block_client: clients.BlockClient
    directory: object
    links: object
    clock: object
    sleep: object
    last_block_bytes: int = DEFAULT_BLOCK_BYTES

    def import_block(self, key, version, store, upstream, size_bytes, get_deadline_s):
        """Import a block from a store host into an engine.

        Parameters
        ----------
        key : str
            Block key.
        version : str
            Weight version that the engine uses the block with.
        store, upstream : domain.Host
            The store host and the engine.
        size_bytes : int
            Expected size, in bytes.
        get_deadline_s : callable
            Returns the deadline until which the read and the write may wait for
            their links, in seconds of the monotonic clock. It may move to later
            times during the import.

        Returns
        -------
        MovedBlock or sentinel of clients
            ``MovedBlock`` if the engine caches the block, else the failure.
        """
        read = self._transfer(
            store,
            size_bytes,
            lambda: self.store_client.read(store, key, version),
            get_deadline_s,
        )
        if not isinstance(read, clients.Envelope):
            if read != clients.Unavailable(IMPORT_TIMED_OUT):
                self.directory.record_failure(key, store, read, self.clock())
            return read
        size_bytes = len(read.data)
        failure = self._transfer(
            upstream,
            size_bytes,
            lambda: self.block_client.import_block(upstream, read),
            get_deadline_s,
        )
        if failure is not None:
            return failure
        return MovedBlock(size_bytes)

    def read_for_export(self, key, version, upstream):
        """Read a block from an engine for its export.

        Returns
        -------
        clients.Envelope or sentinel of clients
            The block, or the failure.
        """
        read = self._transfer(
            upstream,
            self.last_block_bytes,
            lambda: self.block_client.export_block(upstream, key, version),
            urgent=False,
        )
        if isinstance(read, clients.Envelope):
            self.last_block_bytes = len(read.data)
        return read

    def write_for_export(self, envelope, store):
        """Write an exported block to a store host.

        Returns
        -------
        MovedBlock or sentinel of clients
            ``MovedBlock`` if the store has committed the block, else the failure.
        """
        size_bytes = len(envelope.data)
        written = self._transfer(
            store,
            size_bytes,
            lambda: self.store_client.write(store, envelope),
            urgent=False,
        )
        if not isinstance(written, domain.Block):
            return written
        return MovedBlock(size_bytes, written)

    def _transfer(
        self, host, size_bytes, perform, get_deadline_s=lambda: math.inf, urgent=True
    ):
        """Perform a transfer with a host once the link's budget allows it."""
        ends = domain.link_key(self.data_centre, host.data_centre)
        now = self.clock()
        wait_s = self.links.reserve(ends, size_bytes, now, urgent)
        if now + wait_s > get_deadline_s():
            self.links.reserve(ends, -size_bytes, now, urgent)
            return clients.Unavailable(IMPORT_TIMED_OUT)
        if wait_s:
            self.sleep(wait_s)
        start_s = self.clock()
        self.links.begin_transfer(ends, start_s)
        result = perform()
        end_s = self.clock()
        moved_bytes = _count_moved(result, size_bytes)
        self.links.end_transfer(ends, moved_bytes, end_s - start_s, end_s)
        # Bytes that were reserved and not transferred return to the budget.
        self.links.reserve(ends, moved_bytes - size_bytes, end_s, urgent)
        return result


def _count_moved(result, size_bytes):
    if isinstance(result, clients.Envelope):
        return len(result.data)
    if result is None or isinstance(result, domain.Block):
        return size_bytes
    return 0
