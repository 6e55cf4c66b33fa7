"""Frees cached parts of older weights in the stores, one host at a time."""

import loguru
import pykka

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import _orders, _rollout

LEASE_NAME = "stores"
BLOCKS_PER_REQUEST = 200
# A call that arrives later than this is refused by the store.
REQUEST_VALIDITY_S = 1.0
STEP_S = 0.5
# So long after it could be freed, a part is taken as freed: the event that it
# has left may be lost.
ASSUME_FREED_AFTER_S = 10.0


class Retirement(pykka.ThreadingActor):
    """Frees parts while this host holds the lease of that duty.

    Parameters
    ----------
    task_lease : TaskLease
        The right to free parts.
    views : Views
        What this host believes.
    blocks : BlockPlanner
        What the stores hold.
    client : object
        Has ``free(address, keys, epoch, until_ms)``.
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
        """Take a `Tick` or a `LeaseUpdate`."""
        try:
            if isinstance(message, _orders.LeaseUpdate):
                self.task_lease.observe(message)
            elif isinstance(message, _rollout.Tick) and message.now >= self._next_s:
                self._next_s = message.now + STEP_S
                self.step(message.now)
        except Exception:
            loguru.logger.exception("freeing parts failed")

    def step(self, now):
        """Free what can be freed at ``now``, seconds of the boot clock."""
        named = self.views.get().versions_by_model or {}
        newest = {model: (each.version, each.seen_s) for model, each in named.items()}
        retired_by_index = {}
        for index in self.blocks.list_indexes():
            parts = index.list_blocks()
            retired = decisions.select_retired_blocks(parts, newest, now)
            if not retired:
                continue
            assumed_freed = set(
                decisions.select_retired_blocks(
                    parts, newest, now - ASSUME_FREED_AFTER_S
                )
            )
            index.remove(assumed_freed)
            retired = [key for key in retired if key not in assumed_freed]
            if retired and index.is_current(now):
                retired_by_index[index] = retired
        if not retired_by_index:
            self.task_lease.set_idle()
            return
        if not self.task_lease.try_acquire(str(sorted(newest)), now):
            return
        for index, retired in retired_by_index.items():
            self._free(index, retired)

    def _free(self, index, retired):
        for start in range(0, len(retired), BLOCKS_PER_REQUEST):
            now = serving.read_clock()
            if not self.task_lease.is_held():
                return
            keys = retired[start : start + BLOCKS_PER_REQUEST]
            until_ms = int(index.read_clock_ms(now) + REQUEST_VALIDITY_S * 1000)
            address = index.store.address
            is_done = self.client.free(address, keys, index.epoch, until_ms)
            loguru.logger.bind(store=address, parts=len(keys), done=is_done).info(
                "parts of older weights freed"
            )
            if not is_done:
                return
            index.remove(keys)
