"""Token buckets that limit the rate of transfers."""

import attrs

BURST_S = 0.25


@attrs.frozen
class ByteBucket:
    """A token bucket of bytes whose level may become negative.

    A transfer starts as soon as there is no deficit, even if it is larger than the
    level; the transfers after it wait until the deficit is refilled.

    Parameters
    ----------
    bytes_per_s : float
        Refill rate, above 0.
    available_bytes : float
        Bytes that may be sent at once at ``updated_s``; negative for a deficit.
    updated_s : float
        When the level was computed, seconds of the monotonic clock.
    """

    bytes_per_s: float
    available_bytes: float
    updated_s: float

    @property
    def burst_bytes(self):
        """Capacity of the bucket, bytes."""
        return self.bytes_per_s * BURST_S


def make_byte_bucket(bytes_per_s, now):
    """Make a full token bucket.

    Parameters
    ----------
    bytes_per_s : float
        Refill rate, above 0.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    ByteBucket
        The bucket, filled to its capacity.
    """
    return ByteBucket(bytes_per_s, bytes_per_s * BURST_S, now)


def refill(bucket, now):
    """Add the bytes that have accrued since the last update to a token bucket.

    Parameters
    ----------
    bucket : ByteBucket
        The token bucket.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    ByteBucket
        The bucket with its level at ``now``.
    """
    elapsed_s = max(0.0, now - bucket.updated_s)
    available_bytes = bucket.available_bytes + elapsed_s * bucket.bytes_per_s
    return attrs.evolve(
        bucket,
        available_bytes=min(bucket.burst_bytes, available_bytes),
        updated_s=max(now, bucket.updated_s),
    )


def reserve_bytes(bucket, size_bytes, now):
    """Reserve the bytes of a transfer in a token bucket.

    Parameters
    ----------
    bucket : ByteBucket
        The token bucket.
    size_bytes : int
        Bytes to send; a negative number returns bytes that were not sent.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    tuple of (ByteBucket, float)
        The bucket after the reservation, and the seconds to wait before sending.

    Examples
    --------
    >>> bucket = ByteBucket(bytes_per_s=100.0, available_bytes=25.0, updated_s=0.0)
    >>> bucket, wait_s = reserve_bytes(bucket, 50, now=0.0)
    >>> wait_s
    0.0
    >>> reserve_bytes(bucket, 50, now=0.0)[1]
    0.25
    """
    bucket = refill(bucket, now)
    wait_s = max(0.0, -bucket.available_bytes / bucket.bytes_per_s)
    reserved = attrs.evolve(bucket, available_bytes=bucket.available_bytes - size_bytes)
    return reserved, wait_s
