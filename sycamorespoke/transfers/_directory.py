"""Which store hosts there are and which blocks they are believed to hold."""

import threading

import attrs

from sycamorespoke import clients, world
from sycamorespoke.transfers import _index

SUSPENSION_S = 5.0
LONGEST_SUSPENSION_S = 60.0


@attrs.frozen
class Location:
    """Where the leading blocks of a prompt are believed to be.

    Parameters
    ----------
    stores : tuple of str, default=()
        Name of the store host of each leading block.
    lengths : tuple of int, default=()
        Bytes of each.

    Examples
    --------
    >>> Location(("ledger-cache", "ledger-cache"), (100, 100)).blocks
    2
    """

    stores: tuple[str, ...] = ()
    lengths: tuple[int, ...] = ()

    @property
    def blocks(self):
        """Number of leading blocks."""
        return len(self.stores)


class StoreDirectory:
    """Store hosts and the index of their blocks; safe to share among threads.

    Parameters
    ----------
    store_client : clients.StoreClient
        Client of store hosts.
    index_capacity : int
        Blocks that the index knows, above 0.
    """

    def __init__(self, store_client, index_capacity):
        self.store_client = store_client
        self.index_capacity = index_capacity
        self._lock = threading.Lock()
        self._index = _index.BlockIndex(index_capacity)
        self._stores_by_name = {}
        self._suspended_until_by_store = {}
        self._suspensions_by_store = {}
        self._full_until_by_store = {}

    def __len__(self):
        return len(self._index)

    def configure(self, stores):
        """Set the store hosts that may be used."""
        with self._lock:
            self._stores_by_name = {store.name: store for store in stores}

    def get_store(self, name):
        """Return a store host by name, or None once it has gone."""
        return self._stores_by_name.get(name)

    def list_available(self, now):
        """List the store hosts that can be asked now."""
        with self._lock:
            return [self._stores_by_name[name] for name in self._available(now)]

    def list_writable(self, now):
        """List the store hosts that may have room for a block."""
        return [
            store
            for store in self.list_available(now)
            if store.state is world.HostState.LIVE
            and self._full_until_by_store.get(store.name, now) <= now
        ]

    def list_suspended(self, now):
        """List the names of the store hosts that are not asked now."""
        with self._lock:
            return sorted(set(self._stores_by_name) - set(self._available(now)))

    def locate(self, keys, now):
        """Return where the leading blocks of a prompt are believed to be."""
        with self._lock:
            entries = self._index.find_prefix(keys, self._available(now))
            self._index.touch(keys[: len(entries)])
        return Location(
            tuple(entry.store for entry in entries),
            tuple(entry.length for entry in entries),
        )

    def discover(self, keys, now):
        """Ask the store hosts for a prompt that the index does not know.

        The first block is asked for first, so that a new prompt costs one
        look-up a store. A store that holds a block holds those before it,
        unless it has freed some, so bisection finds how many it holds.
        """
        for store in self.list_available(now):
            known = self.locate(keys, now).blocks
            self._bisect(store, keys[known:], now)
        return self.locate(keys, now)

    def record_stored(self, key, store, block):
        """Note that a store holds a block."""
        entry = _index.IndexEntry(store.name, block.length, block.generation)
        with self._lock:
            self._index.add(key, entry)
            self._suspensions_by_store.pop(store.name, None)

    def record_read_failure(self, key, store, result, now):
        """Note that a store did not give a block."""
        with self._lock:
            if isinstance(result, clients.Unavailable):
                self._suspend(store.name, now)
                return
            self._suspensions_by_store.pop(store.name, None)
            entry = self._index.get(key)
            if entry is not None and entry.store == store.name:
                self._index.remove(key)

    def record_full(self, store, now):
        """Write no blocks to a store for a while."""
        self._full_until_by_store[store.name] = now + SUSPENSION_S

    def remove(self, key):
        """Note that no store holds a block any more."""
        with self._lock:
            self._index.remove(key)

    def list_least_used(self, store, size, blocks):
        """List the least recently used blocks at a store.

        The store host is asked, since it knows the reads of every entry host;
        the index answers when it does not say.

        Parameters
        ----------
        store : world.Host
            The store host.
        size : int
            Bytes wanted.
        blocks : int
            Blocks wanted.

        Returns
        -------
        list of str
            Block keys.
        """
        listed = self.store_client.list_least_used(store, blocks)
        if isinstance(listed, list):
            return listed
        with self._lock:
            return self._index.list_least_used(store.name, size)

    def _suspend(self, name, now):
        # Calls that were under way when the host failed count once.
        if self._suspended_until_by_store.get(name, now) > now:
            return
        suspensions = self._suspensions_by_store.get(name, 0)
        self._suspensions_by_store[name] = suspensions + 1
        duration_s = min(LONGEST_SUSPENSION_S, SUSPENSION_S * 2**suspensions)
        self._suspended_until_by_store[name] = now + duration_s

    def _available(self, now):
        return [
            name
            for name in self._stores_by_name
            if self._suspended_until_by_store.get(name, now) <= now
        ]

    def _bisect(self, store, keys, now):
        found_by_key = {}
        low, high = 0, len(keys)
        while low < high:
            middle = (low + high) // 2 if low else 0
            described = self.store_client.read_metadata(store, keys[middle])
            if isinstance(described, clients.Unavailable):
                self.record_read_failure(keys[middle], store, described, now)
                return
            if isinstance(described, world.Block):
                found_by_key[keys[middle]] = described
                low = middle + 1
            else:
                high = middle
        if not low:
            return
        # The lengths of the blocks that were not asked for are taken to be the
        # same; a block that is not there after all is a miss when it is read.
        longest = max(found_by_key.values(), key=lambda block: block.length)
        for key in reversed(keys[:low]):
            self.record_stored(key, store, found_by_key.get(key, longest))
