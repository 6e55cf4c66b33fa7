"""The index of stored blocks by block key."""

import collections

import attrs


@attrs.frozen
class IndexEntry:
    """Location of a stored block.

    Parameters
    ----------
    store : str
        Name of the store host.
    length : int
        Size at the store, in bytes.
    generation : int
        Generation that the store assigned to the block.
    """

    store: str
    length: int
    generation: int


class BlockIndex:
    """Map from block keys to entries with least-recently-used eviction.

    Parameters
    ----------
    capacity : int
        Maximum number of entries, above 0; beyond it, the least recently used ones
        are removed.

    Notes
    -----
    Soft state: an entry may be stale, which costs a failed look-up. Not
    thread-safe: the caller must hold a lock.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self._entries_by_key = collections.OrderedDict()

    def __len__(self):
        return len(self._entries_by_key)

    def get(self, key):
        """Return the entry of a key or ``None``."""
        return self._entries_by_key.get(bytes.fromhex(key))

    def find_prefix(self, keys, stores):
        """Return the entries of the longest indexed prefix of a list of keys.

        Parameters
        ----------
        keys : sequence of str
            Block keys of a prompt, in order.
        stores : container of str
            Names of the available store hosts; entries at others end the prefix.

        Returns
        -------
        list of IndexEntry
            One for each leading key that an available store holds.
        """
        entries = []
        for key in keys:
            entry = self.get(key)
            if entry is None or entry.store not in stores:
                break
            entries.append(entry)
        return entries

    def touch(self, keys):
        """Mark keys as used, the first key as the most recently used.

        A block cannot be used without the preceding ones, so later blocks of a
        prompt are evicted first.
        """
        for key in reversed(keys):
            packed = bytes.fromhex(key)
            if packed in self._entries_by_key:
                self._entries_by_key.move_to_end(packed)

    def add(self, key, entry):
        """Add or replace an entry."""
        packed = bytes.fromhex(key)
        self._entries_by_key[packed] = entry
        self._entries_by_key.move_to_end(packed)
        while len(self._entries_by_key) > self.capacity:
            self._entries_by_key.popitem(last=False)

    def remove(self, key):
        """Remove an entry if it exists."""
        self._entries_by_key.pop(bytes.fromhex(key), None)

    def list_least_used(self, store, size_bytes):
        """List the least recently used blocks at a store, up to a total size.

        Parameters
        ----------
        store : str
            Name of the store host.
        size_bytes : int
            Total size to reach, in bytes.

        Returns
        -------
        list of str
            Block keys; all those at the store if their total size is smaller.
        """
        keys = []
        for packed, entry in self._entries_by_key.items():
            if size_bytes <= 0:
                break
            if entry.store == store:
                keys.append(packed.hex())
                size_bytes -= entry.length
        return keys
