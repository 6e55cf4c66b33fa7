"""Token buckets for transfers."""

import attrs

BURST_S = 0.25


@attrs.frozen
class ByteBucket:
    """A token bucket that may owe bytes.

    Parameters
    ----------
    bytes_per_s : float
        Rate, above 0.
    available_bytes : float
        What may be sent at once; below 0 when that much is owed.
    updated_s : float
        When that was so, seconds of the monotonic clock.
    """

    bytes_per_s: float
    available_bytes: float
    updated_s: float

    @property
    def burst_bytes(self):
        """Most that is ever available."""
        return self.bytes_per_s * BURST_S


def make_byte_bucket(bytes_per_s, now):
    """Make a full token bucket.

    Parameters
    ----------
    bytes_per_s : float
        Rate, above 0.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    ByteBucket
        With a burst available.
    """
    return ByteBucket(bytes_per_s, bytes_per_s * BURST_S, now)


def refill(bucket, now):
    """Bring a token bucket up to the present time.

    Parameters
    ----------
    bucket : ByteBucket
        The token bucket.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    ByteBucket
        The token bucket as of now.
    """
    passed_s = max(0.0, now - bucket.updated_s)
    available_bytes = bucket.available_bytes + passed_s * bucket.bytes_per_s
    return attrs.evolve(
        bucket,
        available_bytes=min(bucket.burst_bytes, available_bytes),
        updated_s=max(now, bucket.updated_s),
    )


def reserve_bytes(bucket, size, now):
    """Take the bytes of a transfer from a token bucket.

    Parameters
    ----------
    bucket : ByteBucket
        The token bucket.
    size : int
        Bytes to be sent; below 0 gives back what was not sent.
    now : float
        Present time, seconds of the monotonic clock.

    Returns
    -------
    tuple of (Pace, float)
        What is left, and the seconds to wait before sending.

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
    left = attrs.evolve(bucket, available_bytes=bucket.available_bytes - size)
    return left, wait_s
