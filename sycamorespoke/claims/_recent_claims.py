"""What a host last wrote or read of its claims, for a store that loses some of it."""

import attrs

from sycamorespoke import decisions

# Longer than a store is away with the time that its copy may lag behind.
MEMORY_S = 60.0


@attrs.frozen
class _RecentClaim:
    fields: list
    era: int
    known_s: float


class RecentClaims:
    """Claims of one shard that the store had confirmed recently; not thread-safe."""

    def __init__(self):
        self._by_key_hash = {}

    def make_restorations(self, era, now):
        """Make the operations that restore what an older copy may lack.

        Parameters
        ----------
        era : int
            Era of the store in which they will be written.
        now : float
            Current wall-clock time, in seconds since the epoch.

        Returns
        -------
        list of decisions.RestoreClaim
            One for each claim that was confirmed in an earlier era.
        """
        return [
            decisions.RestoreClaim(key_hash, tuple(recent.fields))
            for key_hash, recent in self._by_key_hash.items()
            if recent.era < era and now - recent.known_s < MEMORY_S
        ]

    def record(self, key_hashes, entries, era, now):
        """Record what the store confirmed.

        Parameters
        ----------
        key_hashes : iterable of str
            Keys of the operations; those that were to be restored are added.
        entries : dict of str to list
            All claims of the shard, by key.
        era : int
            Era of the store.
        now : float
            Current wall-clock time, in seconds since the epoch.
        """
        restored = [key for key, each in self._by_key_hash.items() if each.era < era]
        for key_hash in (*restored, *key_hashes):
            # Recorded again, a claim becomes the newest.
            self._by_key_hash.pop(key_hash, None)
            if key_hash in entries:
                recent = _RecentClaim(entries[key_hash], era, now)
                self._by_key_hash[key_hash] = recent
        self._forget(now)

    def _forget(self, now):
        for key_hash, recent in list(self._by_key_hash.items()):
            if now - recent.known_s < MEMORY_S:
                return
            del self._by_key_hash[key_hash]
