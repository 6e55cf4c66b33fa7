"""Token buckets, retry budgets and wait estimates for admission control."""

import math

import attrs

MAX_RETRY_AFTER_S = 3600
DEFAULT_RETRY_LIMIT = 10.0
GOLDEN_RATIO = 0.6180339887498949


@attrs.frozen
class TokenBucket:
    """A token bucket that limits a request rate, such as that of a client account.

    Parameters
    ----------
    rate : float
        Tokens added per second, above 0.
    burst : float
        Maximum number of tokens, 1 or more.
    tokens : float
        Number of tokens at ``updated_s``, 0 to ``burst``.
    updated_s : float
        Time of the last refill, in monotonic seconds.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, burst=1.0, tokens=1.0, updated_s=0.0)
    >>> bucket = bucket.refill(now=10.0).take()
    >>> bucket.wait_s()
    0.5
    """

    rate: float
    burst: float
    tokens: float
    updated_s: float

    def refill(self, now):
        """Return the bucket refilled up to ``now``, in monotonic seconds."""
        elapsed_s = max(now - self.updated_s, 0.0)
        tokens = min(self.tokens + elapsed_s * self.rate, self.burst)
        return attrs.evolve(self, tokens=tokens, updated_s=now)

    def take(self):
        """Return the bucket with one token less; requires `wait_s` to be 0."""
        return attrs.evolve(self, tokens=self.tokens - 1.0)

    def wait_s(self):
        """Return the seconds until a token is available, 0 if one is."""
        return max(1.0 - self.tokens, 0.0) / self.rate


@attrs.frozen
class RetryBudget:
    """A budget that limits retries to a ratio of the requests.

    Parameters
    ----------
    ratio : float
        Retries allowed per request, 0 to 1.
    retries : float, default=10.0
        Retries available, 0 to ``limit``.
    limit : float, default=10.0
        Maximum number of retries that accumulate, above 0.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, retries=0.0)
    >>> budget.has_retry(), budget.deposit().deposit().has_retry()
    (False, True)
    """

    ratio: float
    retries: float = DEFAULT_RETRY_LIMIT
    limit: float = DEFAULT_RETRY_LIMIT

    def deposit(self):
        """Return the budget credited for one more request."""
        retries = min(self.retries + self.ratio, self.limit)
        return attrs.evolve(self, retries=retries)

    def has_retry(self):
        """Return whether a retry is available."""
        return self.retries >= 1.0

    def withdraw(self):
        """Return the budget with one retry less; requires `has_retry`."""
        return attrs.evolve(self, retries=self.retries - 1.0)


def estimate_wait_s(ahead, slots, hold_s):
    """Estimate how long a request waits for a slot.

    Parameters
    ----------
    ahead : float
        Requests ahead of it in the queue, 0 or more.
    slots : int
        Maximum number of concurrent requests, above 0.
    hold_s : float
        Mean time for which a request occupies its slot, in seconds, above 0.

    Returns
    -------
    float
        Estimated wait in seconds. By Little's law, ``slots / hold_s`` slots become
        free per second.

    Examples
    --------
    >>> estimate_wait_s(ahead=19, slots=10, hold_s=0.5)
    1.0
    """
    return (ahead + 1) * hold_s / slots


def choose_retry_after_s(wait_s, refusal_number):
    """Choose the ``Retry-After`` delay of a refused request.

    Parameters
    ----------
    wait_s : float
        Estimated seconds until a request can be admitted.
    refusal_number : int
        Sequence number of the refusal. The delays of consecutive numbers are
        spread evenly between ``wait_s`` and twice that, so that callers refused
        at the same time do not retry at the same time.

    Returns
    -------
    int
        Delay in whole seconds, 1 to 3600.

    Examples
    --------
    >>> [choose_retry_after_s(10.0, number) for number in range(4)]
    [10, 17, 13, 19]
    """
    spread = (refusal_number * GOLDEN_RATIO) % 1.0
    delay_s = math.ceil(wait_s * (1.0 + spread))
    return min(max(delay_s, 1), MAX_RETRY_AFTER_S)
