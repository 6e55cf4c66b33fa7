"""Actor that commits the claims and outcomes of its shards in groups."""

import collections
import contextlib
import threading
import time

import attrs
import pykka

from sycamorespoke import decisions
from sycamorespoke.claims import _waiter

BACKGROUND_DELAY_S = 0.1
KNOWN_BYTES = 1_000_000
RETRY_PAUSE_S = 0.1
RETRY_PAUSE_LIMIT_S = 1.0


@attrs.frozen
class SubmitClaim:
    """Message: claim a key and answer the request thread."""

    shard: int
    pending: _waiter.PendingClaim


@attrs.frozen
class SubmitBackground:
    """Message: write an outcome or a release when the platform takes it."""

    shard: int
    operation: decisions.RecordOutcome | decisions.ReleaseClaim


@attrs.frozen
class Write:
    """Message to itself: write what has gathered for a shard."""

    shard: int


@attrs.frozen
class Retry:
    """Message: write what waits for any shard; answered with how much waits on."""


class Writer(pykka.ThreadingActor):
    """Writes the shards given to it, one conditional update at a time.

    Parameters
    ----------
    make_shard_writer : callable
        Takes the number of a shard and the shared counters, returns its
        `_shard_writer.ShardWriter`.
    layout : _layout.Layout
        Confirmed before the first write.
    stats : _shard_writer.WriterStats
        Counters.

    Notes
    -----
    Operations that arrive during a write wait in the actor's inbox, before the
    next `Write`, and so share the next conditional update. Outcomes and releases
    wait a little for a claim of their shard, whose write they then share.
    """

    use_daemon_thread = True

    def __init__(self, make_shard_writer, layout, stats):
        super().__init__()
        self.make_shard_writer = make_shard_writer
        self.layout = layout
        self.stats = stats
        self._writers_by_shard = {}
        self._scheduled = set()
        self._known_shards = collections.OrderedDict()
        self._retry_at = 0.0
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
        if now < self._retry_at:
            writer.refuse("the platform did not take the last claims")
        elif not self.layout.confirm():
            writer.refuse("the platform does not confirm the number of shards")
            self._pause(now)
        elif writer.write():
            self._pause_s = RETRY_PAUSE_S
        else:
            self._pause(now)
        self._bound_known(shard)
        self.stats.waiting = self._count_waiting()
        if writer.has_background:
            self._start_timer(self._pause_s)

    def _bound_known(self, shard):
        # The values of all shards may be larger than the process's memory.
        self._known_shards[shard] = self._writers_by_shard[shard].known_bytes
        self._known_shards.move_to_end(shard)
        while sum(self._known_shards.values()) > KNOWN_BYTES:
            oldest, _ = self._known_shards.popitem(last=False)
            self._writers_by_shard[oldest].forget()

    def _pause(self, now):
        self._retry_at = now + self._pause_s
        self._pause_s = min(2 * self._pause_s, RETRY_PAUSE_LIMIT_S)

    def _start_timer(self, delay_s):
        if self._timer is not None:
            return
        self._timer = threading.Timer(delay_s, self._tell_retry)
        self._timer.daemon = True
        self._timer.start()

    def _tell_retry(self):
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor_ref.tell(Retry())

    def _retry(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._retry_at = 0.0
        for shard, writer in self._writers_by_shard.items():
            if writer.has_background:
                self._schedule(shard)
        return self._count_waiting()

    def _count_waiting(self):
        return sum(len(writer.background) for writer in self._writers_by_shard.values())
