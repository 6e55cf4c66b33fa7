"""Moves of one block between an engine and a store host."""

import math

import attrs

from sycamorespoke import clients, world

UNKNOWN_BLOCK_BYTES = 65536
IMPORT_TIMED_OUT = "the time for the import has passed"


@attrs.frozen
class MovedBlock:
    """A block has arrived.

    Parameters
    ----------
    size : int
        Bytes moved over each of the two links.
    block : world.Block or None, default=None
        How the store host describes it, after an export.
    """

    size: int
    block: world.Block | None = None


@attrs.define
class BlockMover:
    """Moves blocks through this process, within the budgets of the links.

    Parameters
    ----------
    data_centre : str
        Data centre of this process.
    store_client : clients.StoreClient
        Client of store hosts.
    block_client : clients.BlockClient
        Client of engines.
    directory : StoreDirectory
        Learns which reads from a store host failed.
    links : LinkBudgets
        Budgets of the links.
    clock : callable
        Returns seconds of the monotonic clock.
    sleep : callable
        Waits for seconds.

    Notes
    -----
    A block is held whole in memory between the two links, since none of it may
    go on before all of it is verified.
    """

    data_centre: str
    store_client: clients.StoreClient
    block_client: clients.BlockClient
    directory: object
    links: object
    clock: object
    sleep: object
    last_size: int = UNKNOWN_BLOCK_BYTES

    def import_block(self, key, version, store, upstream, size, until):
        """Bring a block from a store host to an engine.

        Parameters
        ----------
        key : str
            Block key.
        version : str
            Weight version that the engine is to use it with.
        store, upstream : world.Host
            From where, to where.
        size : int
            Bytes expected.
        until : callable
            Returns the time beyond which no leg is to wait for its link,
            seconds of the monotonic clock; it may grow meanwhile.

        Returns
        -------
        Moved or sentinel of clients
            ``MovedBlock`` once the engine caches it.
        """
        read = self._carry(
            store, size, lambda: self.store_client.read(store, key, version), until
        )
        if not isinstance(read, clients.Envelope):
            if read != clients.Unavailable(IMPORT_TIMED_OUT):
                self.directory.record_read_failure(key, store, read, self.clock())
            return read
        size = len(read.data)
        refused = self._carry(
            upstream,
            size,
            lambda: self.block_client.import_block(upstream, read),
            until,
        )
        if refused is not None:
            return refused
        return MovedBlock(size)

    def read_for_export(self, key, version, upstream):
        """Read a block from an engine.

        Returns
        -------
        clients.Envelope or sentinel of clients
            The block.
        """
        read = self._carry(
            upstream,
            self.last_size,
            lambda: self.block_client.export_block(upstream, key, version),
            urgent=False,
        )
        if isinstance(read, clients.Envelope):
            self.last_size = len(read.data)
        return read

    def write_for_export(self, envelope, store):
        """Write a block to a store host.

        Returns
        -------
        Moved or sentinel of clients
            ``MovedBlock`` once it is committed.
        """
        size = len(envelope.data)
        written = self._carry(
            store,
            size,
            lambda: self.store_client.write(store, envelope),
            urgent=False,
        )
        if not isinstance(written, world.Block):
            return written
        return MovedBlock(size, written)

    def _carry(self, host, size, move, until=lambda: math.inf, urgent=True):
        """Move bytes to or from a host once the link's budget allows it."""
        ends = world.link_key(self.data_centre, host.data_centre)
        now = self.clock()
        wait_s = self.links.reserve(ends, size, now, urgent)
        if now + wait_s > until():
            self.links.reserve(ends, -size, now, urgent)
            return clients.Unavailable(IMPORT_TIMED_OUT)
        if wait_s:
            self.sleep(wait_s)
        start = self.clock()
        self.links.begin_transfer(ends, start)
        result = move()
        end = self.clock()
        moved = _count_moved(result, size)
        self.links.end_transfer(ends, moved, end - start, end)
        # What was reserved and not moved goes back to the budget.
        self.links.reserve(ends, moved - size, end, urgent)
        return result


def _count_moved(result, size):
    if isinstance(result, clients.Envelope):
        return len(result.data)
    if result is None or isinstance(result, world.Block):
        return size
    return 0
