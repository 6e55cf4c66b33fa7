"""Budgets of the links that blocks are moved over."""

import collections
import threading

import attrs

from sycamorespoke import decisions, world


class LinkBudgets:
    """Budgets by link; safe to share among threads.

    Notes
    -----
    A link that no rule names has the capacity of `world.Link` by default.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._links_by_ends = {}
        self._share = 1.0
        self._budgets_by_ends = {}
        self._bytes_by_ends = collections.Counter()

    def configure(self, links_by_ends, share):
        """Set the links and the share of them that this process may use.

        Parameters
        ----------
        links_by_ends : dict of (str, str) to world.Link
            Links by the sorted names of their ends.
        share : float
            Share of each link, above 0, at most 1.
        """
        with self._lock:
            if (links_by_ends, share) == (self._links_by_ends, self._share):
                return
            self._links_by_ends = dict(links_by_ends)
            self._share = share
            for ends, budget in self._budgets_by_ends.items():
                self._budgets_by_ends[ends] = attrs.evolve(
                    budget, link=self._link(ends), share=share
                )

    def reserve(self, ends, size, now, urgent):
        """Take bytes from a link's budget; return the seconds to wait."""
        name = "urgent" if urgent else "background"
        with self._lock:
            budget = self._find(ends, now)
            pace, wait_s = decisions.reserve_bytes(getattr(budget, name), size, now)
            self._budgets_by_ends[ends] = attrs.evolve(budget, **{name: pace})
            return wait_s

    def begin_transfer(self, ends, now):
        """Note that a transfer begins."""
        with self._lock:
            budget = self._find(ends, now)
            self._budgets_by_ends[ends] = decisions.begin_transfer(budget, now)

    def end_transfer(self, ends, size, duration_s, now):
        """Note that a transfer has ended."""
        with self._lock:
            budget = self._find(ends, now)
            budget = decisions.end_transfer(budget, size, duration_s, now)
            self._budgets_by_ends[ends] = budget
            self._bytes_by_ends[ends] += size

    def has_spare_capacity(self, ends, now):
        """Return whether a link has room for work that can wait."""
        with self._lock:
            return decisions.has_spare_capacity(self._find(ends, now), now)

    def estimate_transfer_s(self, ends, size, now):
        """Estimate the seconds until bytes handed over now have arrived."""
        with self._lock:
            return decisions.estimate_transfer_s(self._find(ends, now), size, now)

    def count_bytes(self):
        """Return the bytes moved by link, the ends joined by ``-``."""
        with self._lock:
            return {"-".join(ends): n for ends, n in self._bytes_by_ends.items()}

    def _find(self, ends, now):
        budget = self._budgets_by_ends.get(ends)
        if budget is None:
            budget = decisions.make_link_budget(self._link(ends), self._share, now)
            self._budgets_by_ends[ends] = budget
        return budget

    def _link(self, ends):
        return self._links_by_ends.get(ends) or world.Link(ends)
