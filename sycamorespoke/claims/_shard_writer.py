"""Write the pending operations of one shard in one conditional update."""

import random
import time

import attrs

from sycamorespoke import clients, decisions, domain
from sycamorespoke.claims import _recent_claims

WRITE_ATTEMPTS = 30
CONFLICT_PAUSE_S = 0.002
CONFLICT_PAUSE_LIMIT_S = 0.05
NO_VERSION = -1


@attrs.define
class WriterStats:
    """Counters of one writer thread.

    Parameters
    ----------
    reads, writes, conflicts, uncertain, unavailable : int, default=0
        Calls to the platform, by result; ``writes`` counts those that took effect.
    claims, records, releases : int, default=0
        Operations that took effect.
    ignored : int, default=0
        Claims that were granted after their request thread had timed out.
    waiting : int, default=0
        Outcomes and releases that are not yet written to the platform.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    uncertain: int = 0
    unavailable: int = 0
    claims: int = 0
    records: int = 0
    releases: int = 0
    ignored: int = 0
    waiting: int = 0


class ShardWriter:
    """Write the claims, outcomes and releases of one shard; not thread-safe.

    Parameters
    ----------
    platform_client : clients.PlatformClient
        Client of the platform.
    shard : int
        Number of the shard.
    retention_s : float
        Seconds for which recorded outcomes are stored.
    shard_bytes : int
        Size in bytes at which the shard is full.
    wall_clock : callable
        Returns the current time in seconds since the epoch.
    stats : WriterStats
        Counters, shared with the other shard writers of the thread.

    Notes
    -----
    The last value is cached, so that a write needs a read only while other hosts
    write the shard too. After a write with an uncertain result, no operation gets
    a result before the object has a later version than the one on which that write
    was conditional: until then the uncertain write may still take effect. In a new
    era of the store, recent claims are written again before any other operation.
    """

    def __init__(
        self, platform_client, shard, retention_s, shard_bytes, wall_clock, stats
    ):
        self.platform_client = platform_client
        self.shard = shard
        self.retention_s = retention_s
        self.shard_bytes = shard_bytes
        self.wall_clock = wall_clock
        self.stats = stats
        self.claims = []
        self.background = []
        self._cached = None
        self._is_contended = False
        self._last_written_version = 0
        self._uncertain_version = NO_VERSION
        self._had_uncertain_write = False
        self._recent = _recent_claims.RecentClaims()

    @property
    def has_background(self):
        """Whether outcomes or releases are not yet written."""
        return bool(self.background)

    @property
    def cached_bytes(self):
        """Size of the cached value, in bytes."""
        if self._cached is None or self._cached.value is None:
            return 0
        return self._cached.value["bytes"]

    @property
    def may_have_lost_claims(self):
        """Whether the store was not seen to have all recent claims since its return."""
        era = self.platform_client.history.era
        return bool(self._recent.make_restorations(era, self.wall_clock()))

    def restore(self):
        """Write again what the store may have lost of recent claims."""
        self._cached = None
        if (step := self._commit([])) is not None:
            self._remember(step, [])

    def clear_cache(self):
        """Drop the cached value; the next write reads the object again."""
        self._cached = None

    def write(self):
        """Write the pending claims, outcomes and releases.

        Returns
        -------
        bool
            False if nothing was written. The claims are then refused; outcomes and
            releases stay pending.
        """
        claims = [claim for claim in self.claims if not claim.is_done]
        self.claims = []
        background = self.background
        if not claims and not background:
            return True
        # Releases and outcomes come first, so that a retry of the same key in this
        # write sees them.
        operations = [*background, *(claim.operation for claim in claims)]
        self._had_uncertain_write = False
        if self._is_contended:
            # Other hosts write this shard too, so the cached value is probably
            # outdated, and the platform sustains more reads than writes.
            self._cached = None
        step = self._commit(operations)
        if step is None:
            self._refuse(claims, operations)
            return False
        self._remember(step, operations)
        # Only an outcome that is final can have come from a value of an earlier era.
        if domain.get_era(self._cached.version) < self.platform_client.history.era:
            self.restore()
        self.background = []
        self._count_background(background)
        results = step.results[len(background) :]
        for claim, result in zip(claims, results, strict=True):
            self._return_result(claim, result)
        return True

    def refuse(self, reason):
        """Refuse the pending claims without a call to the platform.

        Parameters
        ----------
        reason : str
            Reason that is reported to the caller.
        """
        claims, self.claims = self.claims, []
        operations = [*self.background, *(claim.operation for claim in claims)]
        recorded = self._find_recorded(operations)
        for claim in claims:
            claim.set_result(_make_offline_result(claim, recorded, reason))

    def _commit(self, operations):
        for attempt in range(WRITE_ATTEMPTS):
            is_fresh = self._cached is None
            if is_fresh and not self._read():
                return None
            step = self._apply_operations(operations)
            if not self._needs_write(step):
                if is_fresh or not _has_refusal(step):
                    return step
                # Another host may have changed the claim since the last read.
                self._cached = None
                continue
            result = self._put(step)
            if isinstance(result, clients.StoredObject):
                return step
            if isinstance(result, clients.Unavailable):
                return None
            if isinstance(result, clients.Conflict):
                _sleep_after_conflict(attempt)
        return None

    def _apply_operations(self, operations):
        now = self.wall_clock()
        era = domain.get_era(self._cached.version)
        restorations = self._recent.make_restorations(era, now)
        step = decisions.apply_claim_operations(
            self._cached.value,
            [*restorations, *operations],
            now,
            retention_s=self.retention_s,
            shard_bytes=self.shard_bytes,
        )
        return attrs.evolve(step, results=step.results[len(restorations) :])

    def _remember(self, step, operations):
        key_hashes = [operation.token.key_hash for operation in operations]
        era = domain.get_era(self._cached.version)
        self._recent.record(key_hashes, step.value["entries"], era, self.wall_clock())

    def _needs_write(self, step):
        # An uncertain write that is conditional on this version, or on a later one
        # after a stale read, may still take effect; only another write prevents it.
        return step.is_changed or self._cached.version <= self._uncertain_version

    def _read(self):
        self.stats.reads += 1
        result = self.platform_client.get(self._object_name())
        if isinstance(result, clients.Missing):
            result = clients.StoredObject(None, result.version)
        if not isinstance(result, clients.StoredObject):
            self.stats.unavailable += 1
            return False
        self._is_contended = result.version != self._last_written_version
        self._cached = result
        return True

    def _put(self, step):
        version = self._cached.version
        result = self.platform_client.put(self._object_name(), step.value, version)
        if isinstance(result, clients.StoredObject):
            self.stats.writes += 1
            self._last_written_version = result.version
            self._cached = clients.StoredObject(step.value, result.version)
            return result
        self._cached = None
        if isinstance(result, clients.Uncertain):
            self.stats.uncertain += 1
            self._uncertain_version = max(self._uncertain_version, version)
            self._had_uncertain_write = True
        elif isinstance(result, clients.Conflict):
            self.stats.conflicts += 1
            self._is_contended = True
        else:
            self.stats.unavailable += 1
        return result

    def _return_result(self, claim, result):
        is_received = claim.set_result(result)
        if not isinstance(result, decisions.Claimed):
            return
        self.stats.claims += 1
        if not is_received:
            self.stats.ignored += 1
            self.background.append(decisions.ReleaseClaim(result.token))

    def _refuse(self, claims, operations):
        recorded = self._find_recorded(operations)
        reason = "the platform does not accept claims"
        for claim in claims:
            result = _make_offline_result(claim, recorded, reason)
            claim.set_result(result)
            if self._had_uncertain_write and isinstance(result, domain.Refusal):
                self.background.append(decisions.ReleaseClaim(claim.operation.token))

    def _find_recorded(self, operations):
        # An outcome is final even before it is written, so it can be replayed.
        outcomes, recorded = {}, {}
        for operation in operations:
            token = operation.token
            key = (token.key_hash, token.fingerprint)
            if isinstance(operation, decisions.RecordOutcome):
                outcomes[key] = operation.outcome
            elif isinstance(operation, decisions.Claim) and key in outcomes:
                recorded[token] = outcomes[key]
        return {token: found for token, found in recorded.items() if found.status}

    def _count_background(self, operations):
        for operation in operations:
            if isinstance(operation, decisions.RecordOutcome):
                self.stats.records += 1
            else:
                self.stats.releases += 1

    def _object_name(self):
        return f"claims/{self.shard}"


def _has_refusal(step):
    return any(isinstance(result, domain.Refusal) for result in step.results)


def _make_offline_result(claim, recorded, reason):
    outcome = recorded.get(claim.operation.token)
    if outcome is not None:
        return decisions.Recorded(outcome)
    return domain.Refusal(domain.ErrorKind.CLAIMS_UNAVAILABLE, reason)


def _sleep_after_conflict(attempt):
    # Full jitter, so that hosts whose writes conflicted do not retry in step.
    limit_s = min(CONFLICT_PAUSE_S * 2**attempt, CONFLICT_PAUSE_LIMIT_S)
    time.sleep(random.uniform(0, limit_s))
