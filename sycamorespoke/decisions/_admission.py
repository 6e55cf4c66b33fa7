"""Rates, retry budgets and waiting times by which requests are admitted."""

import math

import attrs

RETRY_AFTER_LIMIT_S = 3600
RETRY_BUDGET_LIMIT = 10.0
GOLDEN_RATIO = 0.6180339887498949


@attrs.frozen
class TokenBucket:
    """A token bucket that bounds the rate of one client account.

    Parameters
    ----------
    rate : float
        Tokens that flow in per second, above 0.
    burst : float
        Most tokens held, 1 or more.
    tokens : float
        Tokens held at ``updated_s``, 0 to ``burst``.
    updated_s : float
        Monotonic seconds.

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
        """Return the bucket as it is at ``now``, monotonic seconds."""
        elapsed_s = max(now - self.updated_s, 0.0)
        tokens = min(self.tokens + elapsed_s * self.rate, self.burst)
        return attrs.evolve(self, tokens=tokens, updated_s=now)

    def take(self):
        """Return the bucket with one token less; call it if `wait_s` is 0."""
        return attrs.evolve(self, tokens=self.tokens - 1.0)

    def wait_s(self):
        """Return the seconds until a token is there, 0 if there is one now."""
        return max(1.0 - self.tokens, 0.0) / self.rate


@attrs.frozen
class RetryBudget:
    """A budget that keeps retries a fixed ratio of requests.

    Parameters
    ----------
    ratio : float
        Retries allowed per request, 0 to 1.
    retries : float, default=10.0
        Retries left, 0 to ``limit``.
    limit : float, default=10.0
        Most retries that are saved up, above 0.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, retries=0.0)
    >>> budget.has_retry(), budget.deposit().deposit().has_retry()
    (False, True)
    """

    ratio: float
    retries: float = RETRY_BUDGET_LIMIT
    limit: float = RETRY_BUDGET_LIMIT

    def deposit(self):
        """Return the budget after one more request."""
        retries = min(self.retries + self.ratio, self.limit)
        return attrs.evolve(self, retries=retries)

    def has_retry(self):
        """Return whether a retry may be sent."""
        return self.retries >= 1.0

    def withdraw(self):
        """Return the budget after a retry; call it if `has_retry` says so."""
        return attrs.evolve(self, retries=self.retries - 1.0)


def estimate_wait_s(ahead, slots, hold_s):
    """Estimate how long a request waits for its slot.

    Parameters
    ----------
    ahead : float
        Requests that are sent before it, 0 or more.
    slots : int
        Requests that run at once, above 0.
    hold_s : float
        Mean time for which a request keeps its slot, seconds, above 0.

    Returns
    -------
    float
        Seconds; by Little's law a slot becomes free ``slots / hold_s`` times a
        second.

    Examples
    --------
    >>> estimate_wait_s(ahead=19, slots=10, hold_s=0.5)
    1.0
    """
    return (ahead + 1) * hold_s / slots


def choose_retry_after_s(wait_s, number):
    """Choose the time after which a refused caller may come back.

    Parameters
    ----------
    wait_s : float
        Estimated seconds until there is room.
    number : int
        Number of the refusal; successive numbers get times spread evenly over
        the range from ``wait_s`` to twice that, so that callers refused
        together do not return together.

    Returns
    -------
    int
        Whole seconds, 1 to 3600.

    Examples
    --------
    >>> [choose_retry_after_s(10.0, number) for number in range(4)]
    [10, 17, 13, 19]
    """
    spread = (number * GOLDEN_RATIO) % 1.0
    seconds = math.ceil(wait_s * (1.0 + spread))
    return min(max(seconds, 1), RETRY_AFTER_LIMIT_S)
