"""Pure functions that apply operations to a claim shard.

A claim is the right to send one non-idempotent request. The value of a shard
is JSON: ``{"entries": {<key hash>: [...]}, "bytes": n, "swept_at": t}`` with one
list of seven fields per claim, see `_ClaimEntry`.
"""

import base64
import functools
import json

import attrs

from sycamorespoke import domain
from sycamorespoke.decisions import _claim_operations

CLAIM_RETENTION_S = 24 * 3600.0
SWEEP_INTERVAL_S = 60.0
CLAIM_SHARD_BYTES = 900_000
MAX_BODY_BYTES = 2048
MAX_HEADER_BYTES = 512
RECORDED_HEADERS = ("content-type", "location")
IN_PROGRESS_RETRY_S = 1
SHARD_FULL_RETRY_S = 60


@attrs.define
class _ClaimEntry:
    # Fields in the order of the JSON list; the status is -1 while the claim is open.
    # The retention starts when the outcome is recorded, not at the claim: otherwise
    # the outcome of a host that was paused in between would expire at once.
    fingerprint: str
    nonce: str
    retained_from: float
    answer_deadline: float
    status: int = -1
    headers: list = attrs.field(factory=list)
    body: str | None = None

    @property
    def is_open(self):
        return self.status < 0


def apply_claim_operations(
    value, operations, now, retention_s=CLAIM_RETENTION_S, shard_bytes=CLAIM_SHARD_BYTES
):
    """Apply operations to the value of a claim shard, in their order.

    Parameters
    ----------
    value : dict or None
        Current value, ``None`` if the shard does not exist yet.
    operations : sequence of Claim, RecordOutcome, ReleaseClaim or RestoreClaim
        Operations to apply.
    now : float
        Current wall-clock time, in seconds since the epoch.
    retention_s : float, default=86400.0
        Age after which a recorded outcome is removed and its key may be reused,
        in seconds, above 0. An open claim is never removed.
    shard_bytes : int, default=900000
        Size at which the bodies of old outcomes are dropped and, if that is not
        enough, new claims are refused; at most 1,000,000.

    Returns
    -------
    ShardUpdate
        Next value, with one result per operation.

    Examples
    --------
    >>> from sycamorespoke import decisions
    >>> token = decisions.ClaimToken("a" * 64, "b" * 32, "entry-1/1")
    >>> claim = decisions.Claim(token, 100.0, 130.0)
    >>> step = apply_claim_operations(None, [claim], 100.0)
    >>> step.results[0].token == token
    True
    >>> other = decisions.ClaimToken("a" * 64, "b" * 32, "entry-2/1")
    >>> again = decisions.Claim(other, 101.0, 131.0)
    >>> apply_claim_operations(step.value, [again], 101.0).results[0].kind.value
    'in_progress'
    """
    shard = _Shard(value, shard_bytes)
    shard.remove_expired(now, retention_s)
    results = tuple(_apply(operation, shard, now) for operation in operations)
    return _claim_operations.ShardUpdate(shard.to_value(), results, shard.is_changed)


class _Shard:
    # A mutable copy of the value. Entries stay JSON lists until they are used, since
    # a shard holds thousands and a batch of operations touches only a few.

    def __init__(self, value, shard_bytes):
        value = value or {"entries": {}, "bytes": 0, "swept_at": 0}
        self.entries = dict(value["entries"])
        self.bytes = value["bytes"]
        self.swept_at = value["swept_at"]
        self.shard_bytes = shard_bytes
        self.is_changed = False

    def to_value(self):
        return {
            "entries": self.entries,
            "bytes": self.bytes,
            "swept_at": self.swept_at,
        }

    def get(self, key_hash):
        fields = self.entries.get(key_hash)
        return _ClaimEntry(*fields) if fields else None

    def set(self, key_hash, entry):
        self._discard(key_hash)
        fields = list(attrs.astuple(entry, recurse=False))
        self.entries[key_hash] = fields
        self.bytes += _entry_bytes(key_hash, fields)
        self.is_changed = True

    def remove(self, key_hash):
        self._discard(key_hash)
        self.is_changed = True

    def remove_expired(self, now, retention_s):
        if now - self.swept_at < min(SWEEP_INTERVAL_S, retention_s):
            return
        expired_before = now - retention_s
        expired = [
            key_hash
            for key_hash, fields in self.entries.items()
            if fields[4] >= 0 and fields[2] < expired_before
        ]
        for key_hash in expired:
            self.remove(key_hash)
        if expired:
            self.swept_at = now

    def ensure_room(self):
        if self.bytes >= self.shard_bytes:
            self._drop_bodies()
        return self.bytes < self.shard_bytes

    def _drop_bodies(self):
        # Drops bodies, oldest first, down to half the limit, so that not every claim
        # has to scan the entries.
        for key_hash, fields in list(self.entries.items()):
            if self.bytes < self.shard_bytes // 2:
                return
            if fields[4] > 0 and fields[6]:
                self.set(key_hash, attrs.evolve(_ClaimEntry(*fields), body=None))

    def _discard(self, key_hash):
        fields = self.entries.pop(key_hash, None)
        if fields is not None:
            self.bytes -= _entry_bytes(key_hash, fields)


@functools.singledispatch
def _apply(operation, shard, now):
    raise TypeError(f"not an operation on a claim shard: {operation!r}")


@_apply.register
def _(operation: _claim_operations.Claim, shard, now):
    token = operation.token
    entry = shard.get(token.key_hash)
    if entry is not None:
        return _answer_repeated(token, entry, now)
    if not shard.ensure_room():
        return domain.Refusal(
            domain.ErrorKind.CLAIMS_UNAVAILABLE,
            "the shard of this idempotency key is full",
            SHARD_FULL_RETRY_S,
        )
    claimed_at = round(operation.claimed_at, 3)
    answer_deadline = round(operation.answer_deadline, 3)
    entry = _ClaimEntry(token.fingerprint, token.nonce, claimed_at, answer_deadline)
    shard.set(token.key_hash, entry)
    return _claim_operations.Claimed(token)


@_apply.register
def _(operation: _claim_operations.RecordOutcome, shard, now):
    token = operation.token
    entry = shard.get(token.key_hash)
    if entry is None:
        entry = _ClaimEntry(token.fingerprint, token.nonce, now, now)
    if entry.nonce != token.nonce or not entry.is_open:
        return _claim_operations.Applied()
    outcome = operation.outcome
    entry.status = outcome.status
    entry.retained_from = round(max(entry.retained_from, operation.recorded_at), 3)
    if shard.ensure_room():
        entry.headers = _select_headers(outcome.headers)
        entry.body = _encode_body(outcome.body)
    shard.set(token.key_hash, entry)
    return _claim_operations.Applied()


@_apply.register
def _(operation: _claim_operations.ReleaseClaim, shard, now):
    token = operation.token
    entry = shard.get(token.key_hash)
    if entry is not None and entry.nonce == token.nonce and entry.is_open:
        shard.remove(token.key_hash)
    return _claim_operations.Applied()


@_apply.register
def _(operation: _claim_operations.RestoreClaim, shard, now):
    known = _ClaimEntry(*operation.fields)
    entry = shard.get(operation.key_hash)
    is_earlier = entry is None or (entry.nonce == known.nonce and entry.is_open)
    if entry is None or (is_earlier and not known.is_open):
        shard.set(operation.key_hash, known)
    return _claim_operations.Applied()


def _answer_repeated(token, entry, now):
    if entry.fingerprint != token.fingerprint:
        return domain.Refusal(
            domain.ErrorKind.KEY_REUSED,
            "the idempotency key was used for another request",
        )
    if entry.nonce == token.nonce and entry.is_open:
        # The write of this claim took effect, but its response was lost.
        return _claim_operations.Claimed(token)
    if entry.status > 0:
        headers = tuple((name, text) for name, text in entry.headers)
        return _claim_operations.Recorded(
            _claim_operations.Outcome(entry.status, headers, _decode_body(entry.body))
        )
    if entry.is_open and now < entry.answer_deadline:
        return domain.Refusal(
            domain.ErrorKind.IN_PROGRESS,
            "a request with this idempotency key is running",
            IN_PROGRESS_RETRY_S,
        )
    return domain.Refusal(
        domain.ErrorKind.OUTCOME_UNKNOWN,
        "a request with this idempotency key was sent and its outcome is not known",
    )


def _select_headers(headers):
    kept = []
    length = 0
    for name, text in headers:
        if name.lower() not in RECORDED_HEADERS:
            continue
        length += len(name) + len(text)
        if length <= MAX_HEADER_BYTES:
            kept.append([name, text])
    return kept


def _encode_body(body):
    if body is None or len(body) > MAX_BODY_BYTES:
        return None
    return base64.b64encode(body).decode()


def _decode_body(body):
    return None if body is None else base64.b64decode(body)


def _entry_bytes(key_hash, fields):
    return len(json.dumps({key_hash: fields}))
