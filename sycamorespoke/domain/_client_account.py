"""Client accounts."""

import hashlib

import attrs


@attrs.frozen
class ClientAccount:
    """A client account and its limits.

    Parameters
    ----------
    name : str
        Unique name.
    key_hash : str
        SHA-256 of its API key, 64 hexadecimal digits. The key itself is not stored.
    share : float, default=1.0
        Weight in fair queueing, 0.01 to 1000.
    rate : float, default=100.0
        Maximum request rate, requests per second, 0.01 to 100000.
    concurrency : int, default=100
        Maximum number of concurrent requests at one entry host, 1 to 100000.
    priority : int, default=5
        Scheduling priority passed to engines, 0 (highest) to 9 (lowest).
    """

    name: str
    key_hash: str
    share: float = 1.0
    rate: float = 100.0
    concurrency: int = 100
    priority: int = 5


def hash_api_key(api_key):
    """Return the hash of an API key as stored in the configuration.

    Parameters
    ----------
    api_key : str
        API key as sent by the caller.

    Returns
    -------
    str
        64 hexadecimal digits.

    Examples
    --------
    >>> hash_api_key("demo")[:8]
    '2a97516c'
    """
    return hashlib.sha256(api_key.encode()).hexdigest()
