"""The store hosts and an index of the blocks that they hold."""

import threading

import attrs

from sycamorespoke import clients, domain
from sycamorespoke.transfers import _index

INITIAL_SUSPENSION_S = 5.0
MAX_SUSPENSION_S = 60.0


@attrs.frozen
class Location:
    """Store hosts of the leading blocks of a prompt, according to the index.

    Parameters
    ----------
    stores : tuple of str, default=()
        Name of the store host that holds each leading block.
    lengths : tuple of int, default=()
        Size of each leading block, in bytes.

    Examples
    --------
    >>> Location(("ledger-cache", "ledger-cache"), (100, 100)).blocks
    2
    """

    stores: tuple[str, ...] = ()
    lengths: tuple[int, ...] = ()

    @property
    def blocks(self):
        """Number of leading blocks found."""
        return len(self.stores)


class StoreDirectory:
    """Store hosts and the index of their blocks; thread-safe.

    Parameters
    ----------
    store_client : clients.StoreClient
        Client of store hosts.
    index_capacity : int
        Maximum number of blocks in the index, above 0.
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
        """Return a store host by name, or ``None`` if it is not configured."""
        return self._stores_by_name.get(name)

    def list_available(self, now):
        """List the store hosts that are not suspended."""
        with self._lock:
            return [
                self._stores_by_name[name] for name in self._list_available_names(now)
            ]

    def list_writable(self, now):
        """List the store hosts that accept new blocks."""
        return [
            store
            for store in self.list_available(now)
            if store.state is domain.HostState.LIVE
            and self._full_until_by_store.get(store.name, now) <= now
        ]

    def list_suspended(self, now):
        """List the names of the suspended store hosts, sorted."""
        with self._lock:
            return sorted(
                set(self._stores_by_name) - set(self._list_available_names(now))
            )

    def locate(self, keys, now):
        """Look up the leading blocks of a prompt in the index."""
        with self._lock:
            entries = self._index.find_prefix(keys, self._list_available_names(now))
            self._index.touch(keys[: len(entries)])
        return Location(
            tuple(entry.store for entry in entries),
            tuple(entry.length for entry in entries),
        )

    def discover(self, keys, now):
        """Query the store hosts for the blocks missing from the index.

        The first missing block is queried first, so that a new prompt costs one
        look-up per store. A store that holds a block also holds the preceding
        ones unless it has evicted some, so bisection finds how many it holds.
        """
        for store in self.list_available(now):
            known = self.locate(keys, now).blocks
            self._bisect(store, keys[known:], now)
        return self.locate(keys, now)

    def record_stored(self, key, store, block):
        """Add a block that a store holds to the index."""
        entry = _index.IndexEntry(store.name, block.length, block.generation)
        with self._lock:
            self._index.add(key, entry)
            self._suspensions_by_store.pop(store.name, None)

    def record_failure(self, key, store, result, now):
        """Handle a failed read or write of a block at a store.

        A store that is unavailable is suspended. After any other failure the
        index no longer lists the block at this store.
        """
        with self._lock:
            if isinstance(result, clients.Unavailable):
                self._suspend(store.name, now)
                return
            self._suspensions_by_store.pop(store.name, None)
            entry = self._index.get(key)
            if entry is not None and entry.store == store.name:
                self._index.remove(key)

    def record_full(self, store, now):
        """Suspend writes to a full store for `INITIAL_SUSPENSION_S`."""
        self._full_until_by_store[store.name] = now + INITIAL_SUSPENSION_S

    def remove(self, key):
        """Remove a block from the index."""
        with self._lock:
            self._index.remove(key)

    def list_least_used(self, store, size_bytes, blocks):
        """List the least recently used blocks at a store.

        The store host is queried because it sees the reads of all entry hosts;
        the index is the fallback if the query fails.

        Parameters
        ----------
        store : domain.Host
            The store host.
        size_bytes : int
            Bytes to list, if the index is used.
        blocks : int
            Number of blocks to list, if the store host responds.

        Returns
        -------
        list of str
            Block keys.
        """
        listed = self.store_client.list_least_used(store, blocks)
        if isinstance(listed, list):
            return listed
        with self._lock:
            return self._index.list_least_used(store.name, size_bytes)

    def _suspend(self, name, now):
        # Concurrent requests that fail together count as one failure.
        if self._suspended_until_by_store.get(name, now) > now:
            return
        suspensions = self._suspensions_by_store.get(name, 0)
        self._suspensions_by_store[name] = suspensions + 1
        duration_s = min(MAX_SUSPENSION_S, INITIAL_SUSPENSION_S * 2**suspensions)
        self._suspended_until_by_store[name] = now + duration_s

    def _list_available_names(self, now):
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
            described = self.store_client.describe(store, keys[middle])
            if isinstance(described, clients.Unavailable):
                self.record_failure(keys[middle], store, described, now)
                return
            if isinstance(described, domain.Block):
                found_by_key[keys[middle]] = described
                low = middle + 1
            else:
                high = middle
        if not low:
            return
        # Blocks that were not queried are assumed to be as long as the longest
        # one found; a block that the store does not hold is a miss when read.
        longest = max(found_by_key.values(), key=lambda block: block.length)
        for key in reversed(keys[:low]):
            self.record_stored(key, store, found_by_key.get(key, longest))
