"""Frees blocks that no request uses any more in the block stores, by one host."""

import loguru
import pykka

from sycamorespoke import decisions, objects, serving
from sycamorespoke.gateway import _orders, _task_messages

LEASE_NAME = "stores"
BLOCKS_PER_REQUEST = 200
# The store refuses a request that arrives later than this.
REQUEST_VALIDITY_S = 1.0
STEP_S = 0.5
# A block is assumed to be freed this long after it could be: the event that reports
# its removal may be lost.
ASSUME_FREED_AFTER_S = 10.0


class Retirement(pykka.ThreadingActor):
    """Frees old blocks while this host holds the lease of the task.

    Parameters
    ----------
    task_lease : TaskLease
        Lease of the task.
    views : Views
        Current view, which has the target versions and the isolated accounts.
    blocks : BlockPlanner
        Indexes of the block stores.
    client : object
        Has ``free(address, keys, epoch, until_ms)``, which returns `Unavailable`
        if the store does not confirm.
    """

    use_daemon_thread = True

    def __init__(self, task_lease, views, blocks, client):
        super().__init__()
        self.task_lease = task_lease
        self.views = views
        self.blocks = blocks
        self.client = client
        self._next_s = 0.0

    def on_receive(self, message):
        """Handle a `Tick`, a `Stop` or a `LeaseUpdate`."""
        try:
            if isinstance(message, _orders.LeaseUpdate):
                self.task_lease.observe(message)
            elif isinstance(message, _task_messages.Stop):
                self.task_lease.set_stopping(message.release_at_s)
                self.step(message.now)
            elif (
                isinstance(message, _task_messages.Tick) and message.now >= self._next_s
            ):
                self._next_s = message.now + STEP_S
                self.step(message.now)
        except Exception:
            loguru.logger.exception("freeing old blocks failed")

    def step(self, now):
        """Free the blocks that are retired at ``now``, seconds of the boot clock.

        A host that stops hands the task over instead if it must.
        """
        if self.task_lease.must_hand_over(now):
            self.task_lease.release({}, now)
            return
        targets = self.views.get().targets_by_model or {}
        newest = {
            model: (target.version, target.seen_s) for model, target in targets.items()
        }
        retired_by_index = {}
        for index in self.blocks.list_indexes():
            tokens_by_key = index.list_blocks()
            retired = decisions.select_retired_blocks(tokens_by_key, newest, now)
            unused = self._select_unused(index, tokens_by_key, now)
            if not retired and not unused:
                continue
            assumed_freed = set(
                decisions.select_retired_blocks(
                    tokens_by_key, newest, now - ASSUME_FREED_AFTER_S
                )
            )
            index.remove(assumed_freed)
            freeable = dict.fromkeys([*retired, *unused])
            retired = [key for key in freeable if key not in assumed_freed]
            if retired and index.is_current(now):
                retired_by_index[index] = retired
        if not retired_by_index:
            self.task_lease.set_idle()
            return
        if not self.task_lease.try_acquire(str(sorted(newest)), now):
            return
        for index, retired in retired_by_index.items():
            self._free(index, retired)

    def _select_unused(self, index, tokens_by_key, now):
        """Select the blocks of scopes that are unused since the accounts changed."""
        view = self.views.get()
        if view.configuration is None:
            return []
        age_s = self.blocks.exclusion_age.measure_s(view.configuration, now)
        confirmed_age_s = now - view.configuration_confirmed_s
        is_recent = confirmed_age_s <= decisions.CONFIGURATION_MAX_AGE_S
        if age_s < decisions.UNUSED_SCOPE_WAIT_S or not is_recent:
            return []
        scopes = self.blocks.list_unused_scopes(index, view.configuration)
        return [key for key in tokens_by_key if key[0] in scopes]

    def _free(self, index, retired):
        for start in range(0, len(retired), BLOCKS_PER_REQUEST):
            now = serving.read_clock()
            if not self.task_lease.is_held() or index.get_backoff_s(now) > 0:
                return
            keys = retired[start : start + BLOCKS_PER_REQUEST]
            until_ms = int(
                index.compute_store_clock_ms(now) + REQUEST_VALIDITY_S * 1000
            )
            address = index.store.address
            result = self.client.free(address, keys, index.epoch, until_ms)
            is_done = not isinstance(result, objects.Unavailable)
            loguru.logger.bind(store=address, parts=len(keys), done=is_done).info(
                "old blocks freed"
            )
            if not is_done:
                index.record_unavailable(result, now)
                return
            index.remove(keys)
