"""Operations on a claim shard, their results and the hashes in them."""

import hashlib

import attrs


@attrs.frozen
class Outcome:
    """The recorded response to a claimed request.

    Parameters
    ----------
    status : int
        HTTP status, 200 to 599; 0 if the outcome will never be known.
    headers : tuple of (str, str), default=()
        Response headers to repeat.
    body : bytes or None, default=b""
        Response body to repeat; ``None`` if it was too large to record.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b""


@attrs.frozen
class ClaimToken:
    """Identifies one attempt to claim a key.

    Parameters
    ----------
    key_hash : str
        Key of the claim, from `hash_claim_key`; 64 hexadecimal digits.
    fingerprint : str
        Hash of the request, from `hash_request`; 32 hexadecimal digits.
    nonce : str
        Unique per attempt to claim; starts with the name of the holder.
    """

    key_hash: str
    fingerprint: str
    nonce: str


@attrs.frozen
class Claim:
    """Operation: claim a key.

    Parameters
    ----------
    token : ClaimToken
        Token of this attempt.
    claimed_at : float
        Wall-clock time of the claim, in seconds since the epoch.
    answer_deadline : float
        Wall-clock time until which the holder expects a response. Afterwards, an
        open claim is reported as unknown, but still never released.
    """

    token: ClaimToken
    claimed_at: float
    answer_deadline: float


@attrs.frozen
class RecordOutcome:
    """Operation: record the outcome of a claim.

    Parameters
    ----------
    token : ClaimToken
        Token of the holder.
    outcome : Outcome
        Response that the caller received.
    recorded_at : float, default=0.0
        Wall-clock time at which the retention of the outcome starts, in seconds
        since the epoch; 0 for the time of the claim.
    """

    token: ClaimToken
    outcome: Outcome
    recorded_at: float = 0.0


@attrs.frozen
class ReleaseClaim:
    """Operation: release a claim for which nothing was sent.

    Parameters
    ----------
    token : ClaimToken
        Token of the holder.
    """

    token: ClaimToken


@attrs.frozen
class RestoreClaim:
    """Operation: write a claim again that an older copy of the store may lack.

    Parameters
    ----------
    key_hash : str
        Key of the claim.
    fields : tuple
        The claim as the store had confirmed it. It is not restored over another
        claim, nor over a recorded outcome.
    """

    key_hash: str
    fields: tuple


@attrs.frozen
class Claimed:
    """Result: the claim is held, and the request may be sent once.

    Parameters
    ----------
    token : ClaimToken
        Token for `RecordOutcome` and `ReleaseClaim`.
    """

    token: ClaimToken


@attrs.frozen
class Recorded:
    """Result: the request has already run, with a recorded outcome.

    Parameters
    ----------
    outcome : Outcome
        Recorded outcome.
    """

    outcome: Outcome


@attrs.frozen
class Applied:
    """Result: the operation was handled and returns nothing."""


@attrs.frozen
class ShardUpdate:
    """The value of a claim shard after a batch of operations.

    Parameters
    ----------
    value : dict
        JSON value to write.
    results : tuple of Claimed, Recorded, Applied or domain.Refusal
        One result per operation, in the same order.
    is_changed : bool
        Whether the value differs from the previous one.
    """

    value: dict
    results: tuple
    is_changed: bool


def hash_claim_key(account, route, idempotency_key):
    """Hash the account, route and idempotency key that identify a claim.

    Parameters
    ----------
    account : str
        Name of the client account; part of the hash so that accounts never share a
        key.
    route : str
        Name of the route.
    idempotency_key : str
        Idempotency key sent by the caller.

    Returns
    -------
    str
        SHA-256, 64 hexadecimal digits.

    Examples
    --------
    >>> hash_claim_key("ab", "c", "k") == hash_claim_key("a", "bc", "k")
    False
    """
    parts = [part.encode() for part in (account, route, idempotency_key)]
    return hashlib.sha256(_encode_length_prefixed(parts)).hexdigest()


def hash_request(method, path, body):
    """Hash the parts of a request that must be equal when its key is reused.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with its query string.
    body : bytes
        Request body.

    Returns
    -------
    str
        The first 32 hexadecimal digits of a SHA-256.
    """
    return hashlib.sha256(
        _encode_length_prefixed([method.encode(), path.encode(), body])
    ).hexdigest()[:32]


def _encode_length_prefixed(parts):
    # The length prefixes keep ("ab", "c") distinct from ("a", "bc").
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)
