"""Actor that writes the claims and outcomes of its shards in batches."""

import collections
import contextlib
import threading
import time

import attrs
import pykka

from sycamorespoke import decisions
from sycamorespoke.claims import _waiter

# Time for which an outcome or a release waits for a claim whose write it can share.
BACKGROUND_DELAY_S = 0.1
# Limit of the total size of the shard values that one writer caches.
MAX_CACHED_BYTES = 1_000_000
RETRY_PAUSE_S = 0.1
RETRY_PAUSE_LIMIT_S = 1.0


@attrs.frozen
class SubmitClaim:
    """Message: claim a key and pass the result to the request thread."""

    shard: int
    pending: _waiter.PendingClaim


@attrs.frozen
class SubmitBackground:
    """Message: write an outcome or a release in the background, with retries."""

    shard: int
    operation: decisions.RecordOutcome | decisions.ReleaseClaim


@attrs.frozen
class Write:
    """Message to itself: write the pending operations of a shard."""

    shard: int


@attrs.frozen
class Retry:
    """Message: write the pending operations of all shards.

    The reply is the number of outcomes and releases that are still pending.
    """


@attrs.frozen
class CheckLost:
    """Message: return whether an older copy of the store may lack claims."""


@attrs.frozen
class RestoreShard:
    """Message: restore the claims of one shard that the store may lack.

    The reply is whether there are more.
    """


class Writer(pykka.ThreadingActor):
    """Write the shards assigned to it, one conditional update at a time.

    Parameters
    ----------
    make_shard_writer : callable
        Takes the number of a shard and the shared counters, and returns its
        `_shard_writer.ShardWriter`.
    layout : _layout.Layout
        Number of shards, confirmed before the first write.
    stats : _shard_writer.WriterStats
        Counters, updated in place.

    Notes
    -----
    Operations that arrive during a write are queued in the actor's inbox ahead of
    the next `Write` and so share the next conditional update. Outcomes and releases
    are delayed by ``BACKGROUND_DELAY_S``, to share the write of a claim of their
    shard.
    """

    use_daemon_thread = True

    def __init__(self, make_shard_writer, layout, stats):
        super().__init__()
        self.make_shard_writer = make_shard_writer
        self.layout = layout
        self.stats = stats
        self._writers_by_shard = {}
        self._scheduled = set()
        self._cached_bytes_by_shard = collections.OrderedDict()
        self._paused_until_s = 0.0
        self._pause_s = RETRY_PAUSE_S
        self._timer = None

    def on_receive(self, message):
        """Handle one message."""
        if isinstance(message, SubmitClaim):
            self._writer(message.shard).claims.append(message.pending)
            self._schedule(message.shard)
        elif isinstance(message, SubmitBackground):
            self._writer(message.shard).background.append(message.operation)
            self.stats.waiting = self._count_waiting()
            self._start_timer(BACKGROUND_DELAY_S)
        elif isinstance(message, Write):
            self._scheduled.discard(message.shard)
            self._write(message.shard, time.monotonic())
        elif isinstance(message, Retry):
            return self._retry()
        elif isinstance(message, CheckLost):
            return bool(self._find_lossy_shards())
        elif isinstance(message, RestoreShard):
            return self._restore_shard()
        return None

    def on_stop(self):
        """Stop the timer of the next retry."""
        if self._timer is not None:
            self._timer.cancel()

    def _writer(self, shard):
        if shard not in self._writers_by_shard:
            self._writers_by_shard[shard] = self.make_shard_writer(shard, self.stats)
        return self._writers_by_shard[shard]

    def _schedule(self, shard):
        if shard not in self._scheduled:
            self._scheduled.add(shard)
            self.actor_ref.tell(Write(shard))

    def _write(self, shard, now):
        writer = self._writers_by_shard[shard]
        if now < self._paused_until_s:
            writer.refuse("the platform did not accept the last claims")
        elif not self.layout.confirm():
            writer.refuse("the number of shards is not confirmed by the platform")
            self._pause_writes(now)
        elif writer.write():
            self._pause_s = RETRY_PAUSE_S
        else:
            self._pause_writes(now)
        self._limit_cache(shard)
        self.stats.waiting = self._count_waiting()
        if writer.has_background:
            self._start_timer(self._pause_s)

    def _limit_cache(self, shard):
        # The values of all shards together may exceed the memory of the process.
        self._cached_bytes_by_shard[shard] = self._writers_by_shard[shard].cached_bytes
        self._cached_bytes_by_shard.move_to_end(shard)
        while sum(self._cached_bytes_by_shard.values()) > MAX_CACHED_BYTES:
            oldest, _ = self._cached_bytes_by_shard.popitem(last=False)
            self._writers_by_shard[oldest].clear_cache()

    def _pause_writes(self, now):
        self._paused_until_s = now + self._pause_s
        self._pause_s = min(2 * self._pause_s, RETRY_PAUSE_LIMIT_S)

    def _start_timer(self, delay_s):
        if self._timer is not None:
            return
        self._timer = threading.Timer(delay_s, self._send_retry)
        self._timer.daemon = True
        self._timer.start()

    def _send_retry(self):
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(Retry())

    def _retry(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._paused_until_s = 0.0
        for shard, writer in self._writers_by_shard.items():
            if writer.has_background:
                self._schedule(shard)
        return self._count_waiting()

    def _find_lossy_shards(self):
        return [
            shard
            for shard, writer in self._writers_by_shard.items()
            if writer.may_have_lost_claims
        ]

    def _restore_shard(self):
        shards = self._find_lossy_shards()
        if shards:
            self._writers_by_shard[shards[0]].restore()
            self._limit_cache(shards[0])
        return bool(self._find_lossy_shards())

    def _count_waiting(self):
        return sum(len(writer.background) for writer in self._writers_by_shard.values())
