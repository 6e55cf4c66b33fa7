"""Registration of this host, and the shared key, also in later eras of the store."""

import attrs
import loguru

from sycamorespoke import clients, decisions

# All hosts together try this often to write again what the store lacks.
MAX_WRITES_PER_S = 100.0
# Section of the view with the entry hosts.
HOSTS = "hosts"


@attrs.define
class _Due:
    """One thing to write again in each era, at this host's turn."""

    era: int = 0
    due_era: int = 0
    due_s: float = 0.0

    def is_due(self, era, since_s, turn_s, now):
        """Return whether it is this host's turn, which begins at ``since_s``."""
        if era == self.era:
            return False
        if era != self.due_era:
            self.due_era, self.due_s = era, since_s + turn_s
        return now >= self.due_s


class Registration:
    """Registers this host once in each era of the store.

    One thread calls all but `leave`, which does not wait for it.

    Parameters
    ----------
    host : Host
        This host.
    registry : HostRegistry
        Registers hosts and holds their shared key.
    views : Views
        Current view, which lists the entry hosts.
    history : clients.StoreHistory or None, default=None
        Tells the era of the store.
    """

    def __init__(self, host, registry, views, history=None):
        self.host = host
        self.registry = registry
        self.views = views
        self.history = history or clients.StoreHistory()
        # Hosts of the last list with this one; that of a later era may lack them all.
        self._hosts_before = frozenset()
        self._key = None
        self._key_due = _Due()
        self._host_due = _Due()
        self._has_left = False

    def join(self, proposed_key):
        """Register this host.

        Parameters
        ----------
        proposed_key : str
            Shared key to store if the store holds none yet.

        Returns
        -------
        str or None
            Shared key of peer messages; ``None`` if this host is not registered.
        """
        # What is written before the store comes back from a copy may be lost.
        era = self.history.era
        key = self.registry.get_or_create_peer_key(proposed_key)
        if key is None or not self._register():
            return None
        self._key = key
        self._key_due.era = self._host_due.era = era
        return key

    def leave(self):
        """Remove this host from the registry; return whether it is gone."""
        self._has_left = True
        return self.registry.unregister(self.host.name)

    def step(self, now):
        """Write again what a later era of the store lacks, if it is this host's turn.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        """
        if self._key is None or self._has_left:
            return
        listed = self.views.get().hosts_by_name
        if self.host.name in listed:
            self._hosts_before = frozenset(listed)
        self._restore_key(now)
        self._register_again(now)

    def compute_wait_s(self, longest_s, now):
        """Compute the time until `step` may have something to do, seconds.

        Parameters
        ----------
        longest_s : float
            Longest wait.
        now : float
            Current time, seconds of the boot clock.
        """
        remaining_s = [
            each.due_s - now
            for each in (self._key_due, self._host_due)
            if each.due_s > now
        ]
        return min([longest_s, *remaining_s])

    def _restore_key(self, now):
        era = self.history.era
        due = self._key_due
        if not due.is_due(era, self.history.era_seen_s, self._compute_turn_s(era), now):
            return
        stored = self.registry.get_or_create_peer_key(self._key)
        due.due_s = now + self._compute_interval_s()
        if stored is None:
            return
        due.era = era
        if stored != self._key:
            # Hosts that have it do not understand this one; each goes on by itself.
            loguru.logger.bind(era=era).error("store holds another shared key")

    def _register_again(self, now):
        # Also while it is listed: a list retains hosts that an older copy lacks.
        era = self.history.era
        turn_s = self._compute_turn_s(era)
        if not self._host_due.is_due(era, self.history.era_seen_s, turn_s, now):
            return
        is_registered = self._register()
        self._host_due.due_s = now + self._compute_interval_s()
        if is_registered:
            self._host_due.era = era
            loguru.logger.bind(era=era).info("host registered again")

    def _register(self):
        """Register unless this host leaves; return whether it is registered."""
        if self._has_left:
            return False
        is_registered = self.registry.register(self.host)
        if self._has_left:
            # It left meanwhile: its entry may have been removed before it was written.
            self.registry.unregister(self.host.name)
            return False
        return is_registered

    def _compute_interval_s(self):
        return len(self._list_names()) / MAX_WRITES_PER_S

    def _compute_turn_s(self, era):
        ranked = decisions.rank_by_key(f"era {era}", self._list_names())
        return ranked.index(self.host.name) / MAX_WRITES_PER_S

    def _list_names(self):
        listed = self.views.get().hosts_by_name
        return self._hosts_before.union(listed, [self.host.name])
