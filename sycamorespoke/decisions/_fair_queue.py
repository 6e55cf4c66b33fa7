"""A queue that serves client accounts in proportion to their weights."""

import heapq
import itertools

import attrs


@attrs.define
class _AccountQueue:
    length: int = 0
    share: float = 1.0
    finish_tag: float = 0.0


class FairQueue:
    """Weighted start-time fair queueing over client accounts.

    Each item gets a start tag: the virtual time, or the finish tag of the previous
    item of the same account if that is later. The item with the lowest start tag
    is served next, and the virtual time advances to its tag. An account that
    floods the queue therefore delays only itself.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for number in range(3):
    ...     queue.push("large", 1.0, f"large-{number}")
    >>> queue.push("small", 1.0, "small-0")
    >>> [queue.pop() for _ in range(4)]
    ['large-0', 'small-0', 'large-1', 'large-2']
    """

    def __init__(self):
        self._heap = []
        self._numbers = itertools.count()
        self._account_by_item = {}
        self._queues_by_account = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._account_by_item)

    def push(self, account, share, item):
        """Add an item for an account.

        Parameters
        ----------
        account : str
            Name of the client account.
        share : float
            Weight of the account, above 0.
        item : hashable
            Any object that is not yet in the queue.
        """
        queue = self._queues_by_account.setdefault(account, _AccountQueue())
        start_tag = max(self._virtual_time, queue.finish_tag)
        queue.finish_tag = start_tag + 1.0 / share
        queue.share = share
        queue.length += 1
        self._account_by_item[item] = account
        heapq.heappush(self._heap, (start_tag, next(self._numbers), item))

    def pop(self):
        """Remove and return the next item.

        Returns
        -------
        object or None
            Next item, ``None`` if the queue is empty.
        """
        while self._heap:
            start_tag, _, item = heapq.heappop(self._heap)
            if item in self._account_by_item:
                self._virtual_time = start_tag
                self._discard(item)
                return item
        return None

    def remove(self, item):
        """Remove an item that no longer waits; do nothing if it is not queued."""
        if item in self._account_by_item:
            self._discard(item)

    def length(self, account):
        """Return the number of waiting items of an account."""
        queue = self._queues_by_account.get(account)
        return queue.length if queue else 0

    def lengths_by_account(self):
        """Return the number of waiting items by account."""
        return {name: queue.length for name, queue in self._queues_by_account.items()}

    def count_ahead(self, account, share):
        """Estimate how many items are served before a new item of an account.

        Parameters
        ----------
        account : str
            Name of the client account.
        share : float
            Weight of the account, above 0.

        Returns
        -------
        float
            Waiting items of the account, plus those of the other accounts that
            their shares allow to be served meanwhile.
        """
        own = self.length(account)
        ahead = float(own)
        for name, queue in self._queues_by_account.items():
            if name != account:
                ahead += min(queue.length, (own + 1) * queue.share / share)
        return ahead

    def _discard(self, item):
        account = self._account_by_item.pop(item)
        queue = self._queues_by_account[account]
        queue.length -= 1
        if queue.length == 0 and queue.finish_tag <= self._virtual_time:
            del self._queues_by_account[account]
