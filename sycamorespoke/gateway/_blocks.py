"""Plans the KV cache blocks that requests import from and export to block stores."""

import threading

from sycamorespoke import decisions
from sycamorespoke.gateway import _exclusion_age, _store_follower, _store_index

# Upper bound on the age of a platform response when it arrives.
CONFIRM_DELAY_S = 0.3
EXPORT_RECORD_LIFETIME_S = 10.0
# Concurrent readers of a store whose configuration states no number.
DEFAULT_READERS = 10
# Readers of each store that are left for operators.
RESERVED_READERS = 2


class BlockPlanner:
    """Indexes the managed block stores and plans block transfers of requests.

    Parameters
    ----------
    client : object
        Has ``read_events``, see `StoreFollower`.
    """

    def __init__(self, client):
        self.client = client
        self.exclusion_age = _exclusion_age.ExclusionAge()
        self._followers_by_address = {}
        self._indexes_by_address = {}
        self._exported_s_by_key = {}
        self._lock = threading.Lock()

    def configure(self, configuration, is_reader, pause_s=0.0):
        """Index the managed stores of a configuration and drop all others.

        Parameters
        ----------
        configuration : Configuration
            Its services name the stores.
        is_reader : bool
            Whether this host reads the events of the stores itself. Otherwise
            reader hosts relay them.
        pause_s : float, default=0.0
            Pause after each response with events, seconds. Only used if
            ``is_reader``.
        """
        stores_by_address = {
            service.store.address: service.store
            for service in configuration.services_by_name.values()
            if service.store is not None and service.store.is_managed
        }
        for address in self._indexes_by_address.keys() - stores_by_address.keys():
            self._indexes_by_address.pop(address)
        for address, store in stores_by_address.items():
            if address not in self._indexes_by_address:
                self._indexes_by_address[address] = _store_index.StoreIndex(store)
        self._follow(stores_by_address if is_reader else {}, pause_s)

    def _follow(self, addresses, pause_s):
        for address in self._followers_by_address.keys() - set(addresses):
            self._followers_by_address.pop(address).stop()
        for address in addresses:
            if address not in self._followers_by_address:
                index = self._indexes_by_address[address]
                follower = _store_follower.StoreFollower(self.client, index, pause_s)
                self._followers_by_address[address] = follower
                follower.start()

    def may_use_stores(self, view, now):
        """Return whether no other host can be freeing the blocks that this one uses.

        Parameters
        ----------
        view : View
            Current view, which has a configuration.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            False while the configuration may be old, and for a while after a change of
            the isolated accounts if a store holds blocks that others of them use.
        """
        confirmed_age_s = now - view.configuration_confirmed_s
        if confirmed_age_s > decisions.IMPORT_CONFIGURATION_MAX_AGE_S:
            return False
        configuration = view.configuration
        age_s = self.exclusion_age.measure_s(configuration, now)
        if age_s >= decisions.EXCLUSION_SETTLE_S:
            return True
        return not any(
            self.list_unused_scopes(index, configuration)
            for index in self.list_indexes()
        )

    def list_unused_scopes(self, index, configuration):
        """Return the scopes in a store that no request uses any more.

        Parameters
        ----------
        index : StoreIndex
            Index of the store.
        configuration : Configuration
            Configuration in force.

        Returns
        -------
        set of str
            The scopes, of any weight version.
        """
        isolated = configuration.isolated_accounts
        scopes_by_text = {
            text: decisions.parse_block_scope(text) for text in index.list_scopes()
        }
        return {
            text
            for text, scope in scopes_by_text.items()
            if scope is not None and decisions.is_unused(scope, isolated)
        }

    def plan(self, prompt, scope, may_import, confirmed_s, now):
        """Plan the block transfers of a request that is about to be sent.

        Parameters
        ----------
        prompt : Prompt
            Prompt of the request.
        scope : str
            Scope under which the stores look up its blocks.
        may_import : bool
            Whether the request may use the stores, see `decisions.may_import`.
        confirmed_s : float
            When these weights were last confirmed to be the target version, seconds
            of the boot clock. A running request continues when its engine loads
            other weights, so only blocks that were complete by then certainly come
            from these weights.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        (decisions.BlockPlan, int)
            The plan, and the time after which imported blocks are discarded, Unix
            milliseconds of the stores' clock; 0 without imports.
        """
        indexes_by_address = dict(self._indexes_by_address)
        if not may_import or not indexes_by_address:
            return decisions.BlockPlan(), 0
        states = [
            decisions.StoreState(
                address,
                index.store.capacity_tokens,
                index.used_tokens,
                index.is_current(now),
                index.may_export(now),
            )
            for address, index in indexes_by_address.items()
        ]
        before_s = confirmed_s - CONFIRM_DELAY_S
        plan = decisions.plan_blocks(
            prompt.blocks,
            states,
            lambda address, block: indexes_by_address[address].has_block(
                scope, block, before_s
            ),
            lambda block: self._exported_s_by_key.get((scope, block.id), float("-inf")),
            now,
        )
        self._record_exports(prompt, scope, plan, now)
        return plan, self._compute_import_deadline_ms(plan, indexes_by_address, now)

    def count_readers(self, configuration):
        """Return how many hosts may read all stores at the same time, 1 or more."""
        readers = [
            service.store.readers
            for service in configuration.services_by_name.values()
            if service.store is not None and service.store.readers
        ]
        return max(min(readers, default=DEFAULT_READERS) - RESERVED_READERS, 1)

    def forget_old_exports(self, now):
        """Discard records of exports that have expired at ``now``."""
        with self._lock:
            for key, exported_s in list(self._exported_s_by_key.items()):
                if now - exported_s > EXPORT_RECORD_LIFETIME_S:
                    del self._exported_s_by_key[key]

    def list_indexes(self):
        """Return the `StoreIndex` of each store."""
        return list(self._indexes_by_address.values())

    def dump(self, now):
        """Return the state of each store's index as JSON values, by address."""
        return {
            address: {
                "known": index.is_current(now),
                "epoch": index.epoch,
                "parts": len(index.list_blocks()),
                "used_tokens": index.used_tokens,
                "capacity_tokens": index.store.capacity_tokens,
            }
            for address, index in dict(self._indexes_by_address).items()
        }

    def _record_exports(self, prompt, scope, plan, now):
        if not plan.has_exports:
            return
        with self._lock:
            for block, address in zip(prompt.blocks, plan.export_to, strict=True):
                if address is not None:
                    self._exported_s_by_key[scope, block.id] = now

    def _compute_import_deadline_ms(self, plan, indexes_by_address, now):
        clocks_ms = [
            indexes_by_address[address].compute_store_clock_ms(now)
            for address in plan.import_from
            if address is not None
        ]
        return (
            int(min(clocks_ms) + decisions.IMPORT_TIMEOUT_S * 1000) if clocks_ms else 0
        )
