"""Claims, as the request threads of an entry host use them."""

import contextlib
import itertools
import secrets
import time

import attrs
import pykka

from sycamorespoke import decisions, world
from sycamorespoke.claims import _layout, _shard_writer, _waiter, _writer

FLUSH_PAUSE_S = 0.05


@attrs.frozen
class ClaimsStats:
    """Counters for the state dump.

    Parameters
    ----------
    reads, writes, conflicts, uncertain, unavailable : int
        Calls to the platform by their result.
    claims, records, releases, ignored : int
        Operations that took effect, see `WriterStats`.
    waiting : int
        Outcomes and releases that wait for the platform.
    """

    reads: int
    writes: int
    conflicts: int
    uncertain: int
    unavailable: int
    claims: int
    records: int
    releases: int
    ignored: int
    waiting: int


class Claims:
    """Claims of non-idempotent requests; safe to share among threads.

    Parameters
    ----------
    platform_client : clients.PlatformClient
        The platform, where the claims are kept.
    holder : str
        Name of this host, kept with each open claim.
    shards : int, default=256
        Objects over which claims are spread, 1 to 65536. The first host writes it
        to the platform; one with another number gets no claims.
    writers : int, default=4
        Threads that write to the platform, 1 to 64.
    retention_s : float, default=86400.0
        Seconds for which an outcome is repeated, above 0; afterwards the key may
        be used anew.
    shard_bytes : int, default=900000
        Size at which a shard takes no further claims, 1000 to 1000000.
    wall_clock : callable, default=time.time
        Returns seconds since the epoch.

    Notes
    -----
    A claim is in the platform before `claim` returns `Claimed`. It stays there
    until its outcome was recorded ``retention_s`` ago; only `release`, by a holder that
    sent nothing, drops it earlier.
    """

    def __init__(
        self,
        platform_client,
        holder,
        shards=256,
        writers=4,
        retention_s=decisions.CLAIM_RETENTION_S,
        shard_bytes=decisions.CLAIM_SHARD_BYTES,
        wall_clock=time.time,
    ):
        self.platform_client = platform_client
        self.holder = holder
        self.shards = shards
        self.writers = writers
        self.retention_s = retention_s
        self.shard_bytes = shard_bytes
        self.wall_clock = wall_clock
        self._is_stopped = False
        self._boot = secrets.token_hex(4)
        self._counter = itertools.count(1)
        self._stats = [_shard_writer.WriterStats() for _ in range(writers)]
        layout = _layout.Layout(platform_client, shards)
        self._refs = [
            _writer.Writer.start(self._make_shard_writer, layout, stats)
            for stats in self._stats
        ]

    def claim(self, key_hash, fingerprint, now, deadline_s=30.0, wait_s=2.0):
        """Claim a key before its request is sent.

        Parameters
        ----------
        key_hash : str
            From `decisions.hash_claim_key`.
        fingerprint : str
            From `decisions.hash_request`.
        now : float
            Wall time, seconds since the epoch.
        deadline_s : float, default=30.0
            Seconds until the request is given up, above 0.
        wait_s : float, default=2.0
            Longest wait for the platform, seconds, above 0.

        Returns
        -------
        decisions.Claimed, decisions.Recorded or world.Refusal
            The right to send the request once, or the earlier outcome, or why
            there is neither.
        """
        if self._is_stopped:
            return _stopping()
        nonce = f"{self.holder}/{self._boot}{next(self._counter):x}"
        token = decisions.ClaimToken(key_hash, fingerprint, nonce)
        pending = _waiter.PendingClaim(decisions.Claim(token, now, now + deadline_s))
        shard = self._shard(key_hash)
        try:
            self._ref(shard).tell(_writer.SubmitClaim(shard, pending))
        except pykka.ActorDeadError:
            return _stopping()
        return pending.wait(min(wait_s, deadline_s))

    def record(self, token, outcome):
        """Record the outcome of a claim in the background.

        Parameters
        ----------
        token : decisions.ClaimToken
            Of the claim.
        outcome : decisions.Outcome
            What the caller was answered, with status 0 when it is not known.
        """
        operation = decisions.RecordOutcome(token, outcome, self.wall_clock())
        self._submit(token, operation)

    def release(self, token):
        """Drop a claim in the background, by a holder that sent nothing.

        Parameters
        ----------
        token : decisions.ClaimToken
            Of the claim.
        """
        self._submit(token, decisions.ReleaseClaim(token))

    def flush(self, deadline_s):
        """Write what waits, for a graceful shutdown.

        Parameters
        ----------
        deadline_s : float
            Seconds of the monotonic clock after which to give up.

        Returns
        -------
        int
            Outcomes and releases that the platform did not take.
        """
        while True:
            try:
                waiting = [ref.ask(_writer.Retry(), block=False) for ref in self._refs]
                left_s = max(deadline_s - time.monotonic(), 0.0)
                count = sum(pykka.get_all(waiting, timeout=left_s))
            except pykka.Timeout:
                return max(1, self.stats().waiting)
            if count == 0 or time.monotonic() + FLUSH_PAUSE_S > deadline_s:
                return count
            time.sleep(FLUSH_PAUSE_S)

    def stop(self):
        """Stop the writers; call `flush` before."""
        self._is_stopped = True
        for ref in self._refs:
            ref.stop(block=False)

    def stats(self):
        """Return the counters.

        Returns
        -------
        ClaimsStats
            Sums over the writers.
        """
        names = [field.name for field in attrs.fields(ClaimsStats)]
        return ClaimsStats(
            **{name: sum(getattr(s, name) for s in self._stats) for name in names}
        )

    def _submit(self, token, operation):
        shard = self._shard(token.key_hash)
        # After `stop` the claim stays open, and a repeated key is told so.
        with contextlib.suppress(pykka.ActorDeadError):
            self._ref(shard).tell(_writer.SubmitBackground(shard, operation))

    def _shard(self, key_hash):
        return int(key_hash[:8], 16) % self.shards

    def _ref(self, shard):
        return self._refs[shard % self.writers]

    def _make_shard_writer(self, shard, stats):
        return _shard_writer.ShardWriter(
            self.platform_client,
            shard,
            self.retention_s,
            self.shard_bytes,
            self.wall_clock,
            stats,
        )


def _stopping():
    return world.Refusal(world.ErrorKind.DRAINING, "the host is stopping")
