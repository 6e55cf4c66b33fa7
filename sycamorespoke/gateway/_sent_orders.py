"""Orders that this host sends, so that none follows after a lease is released."""

import threading


class SentOrders:
    """Tracks orders that are under way and when each engine got one; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._under_way = set()
        self._sent_s_by_boot = {}
        self._is_open = True

    def begin(self, boot_id, now):
        """Record an order that is about to be sent.

        Parameters
        ----------
        boot_id : str
            Boot ID of the engine; it gets one order at a time.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether the order may be sent. If so, `end` must follow.
        """
        with self._lock:
            if not self._is_open:
                return False
            self._under_way.add(boot_id)
            self._sent_s_by_boot[boot_id] = now
            return True

    def end(self, boot_id, now):
        """Record at ``now`` that an order has a response or timed out."""
        with self._lock:
            self._under_way.discard(boot_id)
            self._sent_s_by_boot[boot_id] = now

    def close(self):
        """Allow no more orders.

        Returns
        -------
        bool
            Whether no order is under way.
        """
        with self._lock:
            self._is_open = False
            return not self._under_way

    def open(self):
        """Allow orders again."""
        with self._lock:
            self._is_open = True

    def retain(self, boot_ids):
        """Forget the engines that are not among ``boot_ids``."""
        with self._lock:
            for boot_id in self._sent_s_by_boot.keys() - boot_ids - self._under_way:
                del self._sent_s_by_boot[boot_id]

    def get_sent_s_by_boot(self):
        """Return when each engine last got an order, seconds of the boot clock."""
        with self._lock:
            return dict(self._sent_s_by_boot)
