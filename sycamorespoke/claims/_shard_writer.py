"""Writes the waiting operations of one shard as one conditional update."""

import random
import time

import attrs

from sycamorespoke import clients, decisions, world

WRITE_ATTEMPTS = 30
CONFLICT_PAUSE_S = 0.002
CONFLICT_PAUSE_LIMIT_S = 0.05
NO_VERSION = -1


@attrs.define
class WriterStats:
    """Counters of the writers of a process.

    Parameters
    ----------
    reads, writes, conflicts, uncertain, unavailable : int, default=0
        Calls to the platform by their result; ``writes`` counts those that took
        effect.
    claims, records, releases : int, default=0
        Operations that took effect.
    ignored : int, default=0
        Claims that were granted after their request thread had given up.
    waiting : int, default=0
        Outcomes and releases that wait for the platform.
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
    """The writer of one shard; used by one thread.

    Parameters
    ----------
    platform_client : clients.PlatformClient
        The platform.
    shard : int
        Number of the shard.
    retention_s : float
        Seconds for which recorded outcomes are kept.
    shard_bytes : int
        Size at which a shard is full.
    wall_clock : callable
        Returns seconds since the epoch.
    stats : WriterStats
        Counters, shared with the other writers of the thread.

    Notes
    -----
    The last value written is kept, so that a write needs a read only while other
    hosts write the shard too. After a write whose answer was lost, no result is
    given out before the object has a later version than that write was
    conditioned on: until then the lost write may still take effect.
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
        self._known = None
        self._is_contended = False
        self._own_version = 0
        self._lost_version = NO_VERSION
        self._is_lost = False

    @property
    def has_background(self):
        """Whether outcomes or releases still wait to be written."""
        return bool(self.background)

    @property
    def known_bytes(self):
        """Size of the value that is kept, bytes."""
        if self._known is None or self._known.value is None:
            return 0
        return self._known.value["bytes"]

    def forget(self):
        """Drop the value that is kept; the next write reads it anew."""
        self._known = None

    def write(self):
        """Write what waits.

        Returns
        -------
        bool
            False when the platform took nothing; the claims are then refused,
            and records and releases wait on.
        """
        claims = [claim for claim in self.claims if not claim.is_settled]
        self.claims = []
        background = self.background
        if not claims and not background:
            return True
        # Releases and records come first: a retry of the same key sees them.
        operations = [*background, *(claim.operation for claim in claims)]
        self._is_lost = False
        if self._is_contended:
            # Other hosts write this shard too: what was known is likely outdated,
            # and the platform takes more reads than writes.
            self._known = None
        step = self._commit(operations)
        if step is None:
            self._refuse(claims, operations)
            return False
        self.background = []
        self._count(background)
        results = step.results[len(background) :]
        for claim, result in zip(claims, results, strict=True):
            self._answer(claim, result)
        return True

    def refuse(self, reason):
        """Refuse the claims that wait, without a call to the platform.

        Parameters
        ----------
        reason : str
            Why, for the caller.
        """
        claims, self.claims = self.claims, []
        operations = [*self.background, *(claim.operation for claim in claims)]
        recorded = self._find_recorded(operations)
        for claim in claims:
            claim.answer(_answer_without_platform(claim, recorded, reason))

    def _commit(self, operations):
        for attempt in range(WRITE_ATTEMPTS):
            is_fresh = self._known is None
            if is_fresh and not self._read():
                return None
            step = self._next_step(operations)
            if not self._needs_write(step):
                if is_fresh or not _has_refusal(step):
                    return step
                # Another host may have settled the claim since the last read.
                self._known = None
                continue
            result = self._put(step)
            if isinstance(result, clients.StoredObject):
                return step
            if isinstance(result, clients.Unavailable):
                return None
            if isinstance(result, clients.Conflict):
                _pause(attempt)
        return None

    def _next_step(self, operations):
        return decisions.apply_claim_operations(
            self._known.value,
            operations,
            self.wall_clock(),
            retention_s=self.retention_s,
            shard_bytes=self.shard_bytes,
        )

    def _needs_write(self, step):
        # A lost write conditioned on this version, or on a later one after a stale
        # read, may still take effect; only a further write rules that out.
        return step.is_changed or self._known.version <= self._lost_version

    def _read(self):
        self.stats.reads += 1
        result = self.platform_client.get(self._name())
        if isinstance(result, clients.Missing):
            result = clients.StoredObject(None, 0)
        if not isinstance(result, clients.StoredObject):
            self.stats.unavailable += 1
            return False
        self._is_contended = result.version != self._own_version
        self._known = result
        return True

    def _put(self, step):
        version = self._known.version
        result = self.platform_client.put(self._name(), step.value, version)
        if isinstance(result, clients.StoredObject):
            self.stats.writes += 1
            self._own_version = result.version
            self._known = clients.StoredObject(step.value, result.version)
            return result
        self._known = None
        if isinstance(result, clients.Uncertain):
            self.stats.uncertain += 1
            self._lost_version = max(self._lost_version, version)
            self._is_lost = True
        elif isinstance(result, clients.Conflict):
            self.stats.conflicts += 1
            self._is_contended = True
        else:
            self.stats.unavailable += 1
        return result

    def _answer(self, claim, result):
        is_taken = claim.answer(result)
        if not isinstance(result, decisions.Claimed):
            return
        self.stats.claims += 1
        if not is_taken:
            self.stats.ignored += 1
            self.background.append(decisions.ReleaseClaim(result.token))

    def _refuse(self, claims, operations):
        recorded = self._find_recorded(operations)
        reason = "the platform does not take claims"
        for claim in claims:
            result = _answer_without_platform(claim, recorded, reason)
            claim.answer(result)
            if self._is_lost and isinstance(result, world.Refusal):
                self.background.append(decisions.ReleaseClaim(claim.operation.token))

    def _find_recorded(self, operations):
        # Outcomes that this host knows and could not record yet are true now.
        outcomes = {}
        recorded = {}
        for operation in operations:
            token = operation.token
            key = (token.key_hash, token.fingerprint)
            if isinstance(operation, decisions.RecordOutcome):
                outcomes[key] = operation.outcome
            elif isinstance(operation, decisions.Claim) and key in outcomes:
                recorded[token] = outcomes[key]
        return {token: found for token, found in recorded.items() if found.status}

    def _count(self, operations):
        for operation in operations:
            if isinstance(operation, decisions.RecordOutcome):
                self.stats.records += 1
            else:
                self.stats.releases += 1

    def _name(self):
        return f"claims/{self.shard}"


def _has_refusal(step):
    return any(isinstance(result, world.Refusal) for result in step.results)


def _answer_without_platform(claim, recorded, reason):
    outcome = recorded.get(claim.operation.token)
    if outcome is not None:
        return decisions.Recorded(outcome)
    return world.Refusal(world.ErrorKind.CLAIMS_UNAVAILABLE, reason)


def _pause(attempt):
    # Full jitter: hosts that collided once must not collide again together.
    limit_s = min(CONFLICT_PAUSE_S * 2**attempt, CONFLICT_PAUSE_LIMIT_S)
    time.sleep(random.uniform(0, limit_s))
