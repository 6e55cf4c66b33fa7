"""Claims: the operations on a shard, their results, and the hashes in them."""

import hashlib

import attrs


@attrs.frozen
class Outcome:
    """The answer to a claimed request, as it is recorded.

    Parameters
    ----------
    status : int
        HTTP status, 200 to 599; 0 when the outcome will never be known.
    headers : tuple of (str, str), default=()
        Headers to repeat.
    body : bytes or None, default=b""
        Body to repeat; ``None`` when it was too large to record.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b""


@attrs.frozen
class ClaimToken:
    """What tells the holder of a claim from every other.

    Parameters
    ----------
    key_hash : str
        The claim, 64 hexadecimal digits.
    fingerprint : str
        The request, 32 hexadecimal digits.
    nonce : str
        Unique for each attempt to claim; starts with the holder's name.
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
        New for each attempt.
    claimed_at : float
        Wall time, seconds since the epoch.
    answer_deadline : float
        Wall time until which the holder still expects an answer; afterwards an
        open claim is reported as unknown, and it is still never released.
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
        The holder's.
    outcome : Outcome
        What the caller was answered.
    recorded_at : float, default=0.0
        Wall time from which the outcome is kept for the retention, seconds since
        the epoch; 0 for the time of the claim.
    """

    token: ClaimToken
    outcome: Outcome
    recorded_at: float = 0.0


@attrs.frozen
class ReleaseClaim:
    """Operation: drop a claim for which nothing was sent.

    Parameters
    ----------
    token : ClaimToken
        The holder's.
    """

    token: ClaimToken


@attrs.frozen
class Claimed:
    """The claim is held: the request may be sent once.

    Parameters
    ----------
    token : ClaimToken
        Names the claim in `RecordOutcome` and `ReleaseClaim`.
    """

    token: ClaimToken


@attrs.frozen
class Recorded:
    """The request ran before, and this was its outcome.

    Parameters
    ----------
    outcome : Outcome
        As recorded.
    """

    outcome: Outcome


@attrs.frozen
class Applied:
    """The operation needs no answer."""


@attrs.frozen
class ShardUpdate:
    """The next value of a shard.

    Parameters
    ----------
    value : dict
        JSON value to write.
    results : tuple of Claimed, Recorded, Applied or world.Refusal
        One per operation, in their order.
    is_changed : bool
        The value differs from the one before.
    """

    value: dict
    results: tuple
    is_changed: bool


def hash_claim_key(account, route, idempotency_key):
    """Hash what names a claim.

    Parameters
    ----------
    account : str
        Name of the client account, so that accounts never share a key.
    route : str
        Name of the route.
    idempotency_key : str
        As the caller sent it.

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
    return hashlib.sha256(_frame(parts)).hexdigest()


def hash_request(method, path, body):
    """Hash what a key must not be used for twice with a difference.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with its query.
    body : bytes
        Body of the request.

    Returns
    -------
    str
        The first 32 hexadecimal digits of a SHA-256.
    """
    return hashlib.sha256(_frame([method.encode(), path.encode(), body])).hexdigest()[
        :32
    ]


def _frame(parts):
    # The length before each part keeps ("ab", "c") apart from ("a", "bc").
    return b"".join(len(part).to_bytes(4, "big") + part for part in parts)
