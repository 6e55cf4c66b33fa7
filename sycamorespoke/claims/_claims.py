"""Thread-safe claims for the request threads of an entry host."""

import contextlib
import itertools
import secrets
import time

import attrs
import pykka

from sycamorespoke import decisions, domain
from sycamorespoke.claims import (
    _layout,
    _restorer,
    _shard_writer,
    _waiter,
    _writer,
)

# Interval between the retries of a flush.
FLUSH_PAUSE_S = 0.05


@attrs.frozen
class ClaimsStats:
    """Counters for the state dump.

    Parameters
    ----------
    reads, writes, conflicts, uncertain, unavailable : int
        Calls to the platform, by result.
    claims, records, releases, ignored : int
        Operations that took effect, see `WriterStats`.
    waiting : int
        Outcomes and releases that are not yet written to the platform.
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
    """Claim non-idempotent requests; safe to share among threads.

    Parameters
    ----------
    platform_client : clients.PlatformClient
        Client of the platform that stores the claims.
    holder : str
        Name of this host, stored with each open claim.
    shards : int, default=256
        Number of objects over which claims are distributed, 1 to 65536. The first
        host writes the number to the platform; all claims of a host with a different
        number are refused.
    writers : int, default=4
        Number of threads that write to the platform, 1 to 64.
    retention_s : float, default=86400.0
        Seconds for which a recorded outcome is replayed, above 0; afterwards the
        key may be used again.
    shard_bytes : int, default=900000
        Size in bytes at which a shard accepts no further claims, 1000 to 1000000.
    wall_clock : callable, default=time.time
        Returns the current time in seconds since the epoch.
    count_hosts : callable, optional
        Returns the number of hosts with claims, 1 by default. They share the rate at
        which lost claims are restored.

    Notes
    -----
    A claim is stored in the platform before `claim` returns `Claimed`. It is
    removed ``retention_s`` after its outcome was recorded, or earlier by `release`
    if its holder sent nothing.
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
        count_hosts=lambda: 1,
    ):
        self.platform_client = platform_client
        self.holder = holder
        self.shards = shards
        self.writers = writers
        self.retention_s = retention_s
        self.shard_bytes = shard_bytes
        self.wall_clock = wall_clock
        self._is_stopped = False
        self._boot_id = secrets.token_hex(4)
        self._nonce_numbers = itertools.count(1)
        self._stats = [_shard_writer.WriterStats() for _ in range(writers)]
        layout = _layout.Layout(platform_client, shards)
        self._writer_refs = [
            _writer.Writer.start(self._make_shard_writer, layout, stats)
            for stats in self._stats
        ]
        self._restorer = _restorer.Restorer(
            platform_client.history, self._writer_refs, count_hosts
        )
        self._restorer.start()

    def claim(self, key_hash, fingerprint, now, deadline_s=30.0, wait_s=2.0):
        """Claim a key before its request is sent.

        Parameters
        ----------
        key_hash : str
            From `decisions.hash_claim_key`.
        fingerprint : str
            From `decisions.hash_request`.
        now : float
            Current time in seconds since the epoch.
        deadline_s : float, default=30.0
            Seconds until the deadline of the request, above 0.
        wait_s : float, default=2.0
            Longest wait for the platform, in seconds, above 0.

        Returns
        -------
        decisions.Claimed, decisions.Recorded or domain.Refusal
            Permission to send the request once, the recorded outcome of an earlier
            request, or a refusal.
        """
        if self._is_stopped:
            return _make_stopping_refusal()
        nonce = f"{self.holder}/{self._boot_id}{next(self._nonce_numbers):x}"
        token = decisions.ClaimToken(key_hash, fingerprint, nonce)
        pending = _waiter.PendingClaim(decisions.Claim(token, now, now + deadline_s))
        shard = self._choose_shard(key_hash)
        try:
            self._get_writer(shard).tell(_writer.SubmitClaim(shard, pending))
        except pykka.ActorDeadError:
            return _make_stopping_refusal()
        return pending.wait(min(wait_s, deadline_s))

    def record(self, token, outcome):
        """Record the outcome of a claim in the background.

        Parameters
        ----------
        token : decisions.ClaimToken
            Token of the claim.
        outcome : decisions.Outcome
            Response that the caller received; status 0 if the outcome is unknown.
        """
        operation = decisions.RecordOutcome(token, outcome, self.wall_clock())
        self._submit(token, operation)

    def release(self, token):
        """Release, in the background, a claim whose request was not sent.

        Parameters
        ----------
        token : decisions.ClaimToken
            Token of the claim.
        """
        self._submit(token, decisions.ReleaseClaim(token))

    def flush(self, deadline_s):
        """Write the pending outcomes and releases before a graceful shutdown.

        Parameters
        ----------
        deadline_s : float
            Monotonic time at which to stop retrying, in seconds.

        Returns
        -------
        int
            Number of outcomes and releases that were not written.
        """
        while True:
            try:
                waiting = [
                    ref.ask(_writer.Retry(), block=False) for ref in self._writer_refs
                ]
                left_s = max(deadline_s - time.monotonic(), 0.0)
                count = sum(pykka.get_all(waiting, timeout=left_s))
            except pykka.Timeout:
                return max(1, self.stats().waiting)
            if count == 0 or time.monotonic() + FLUSH_PAUSE_S > deadline_s:
                return count
            time.sleep(FLUSH_PAUSE_S)

    def stop(self):
        """Stop the writers; call `flush` first."""
        self._is_stopped = True
        self._restorer.stop()
        for ref in self._writer_refs:
            ref.stop(block=False)

    def stats(self):
        """Return the counters, summed over the writers.

        Returns
        -------
        ClaimsStats
            The counters.
        """
        names = [field.name for field in attrs.fields(ClaimsStats)]
        return ClaimsStats(
            **{name: sum(getattr(s, name) for s in self._stats) for name in names}
        )

    def _submit(self, token, operation):
        shard = self._choose_shard(token.key_hash)
        # After `stop`, the claim stays open and a retry of its key is refused.
        with contextlib.suppress(pykka.ActorDeadError):
            self._get_writer(shard).tell(_writer.SubmitBackground(shard, operation))

    def _choose_shard(self, key_hash):
        return int(key_hash[:8], 16) % self.shards

    def _get_writer(self, shard):
        return self._writer_refs[shard % self.writers]

    def _make_shard_writer(self, shard, stats):
        return _shard_writer.ShardWriter(
            self.platform_client,
            shard,
            self.retention_s,
            self.shard_bytes,
            self.wall_clock,
            stats,
        )


def _make_stopping_refusal():
    return domain.Refusal(domain.ErrorKind.DRAINING, "the host is stopping")
