"""Bandwidth budgets of the links that blocks are transferred over."""

import collections
import threading

import attrs

from sycamorespoke import decisions, domain


class LinkBudgets:
    """Bandwidth budgets by link; thread-safe.

    Notes
    -----
    A link that is not configured has the default capacity of `domain.Link`.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._links_by_ends = {}
        self._share = 1.0
        self._budgets_by_ends = {}
        self._bytes_by_ends = collections.Counter()

    def configure(self, links_by_ends, share):
        """Set the links and the share of their capacity that this process may use.

        Parameters
        ----------
        links_by_ends : dict of (str, str) to domain.Link
            Links by the sorted names of the data centres at their ends.
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
                    budget, link=self._get_link(ends), share=share
                )

    def reserve(self, ends, size_bytes, now, urgent):
        """Reserve bytes of a link's budget; return the time to wait, in seconds."""
        name = "urgent" if urgent else "background"
        with self._lock:
            budget = self._get_budget(ends, now)
            pace, wait_s = decisions.reserve_bytes(
                getattr(budget, name), size_bytes, now
            )
            self._budgets_by_ends[ends] = attrs.evolve(budget, **{name: pace})
            return wait_s

    def begin_transfer(self, ends, now):
        """Record the start of a transfer."""
        with self._lock:
            budget = self._get_budget(ends, now)
            self._budgets_by_ends[ends] = decisions.begin_transfer(budget, now)

    def end_transfer(self, ends, size_bytes, duration_s, now):
        """Record the end of a transfer of `size_bytes` bytes."""
        with self._lock:
            budget = self._get_budget(ends, now)
            budget = decisions.end_transfer(budget, size_bytes, duration_s, now)
            self._budgets_by_ends[ends] = budget
            self._bytes_by_ends[ends] += size_bytes

    def has_spare_capacity(self, ends, now):
        """Return whether a link has spare capacity for background transfers."""
        with self._lock:
            return decisions.has_spare_capacity(self._get_budget(ends, now), now)

    def estimate_transfer_s(self, ends, size_bytes, now):
        """Estimate the duration of a transfer that starts now, in seconds."""
        with self._lock:
            return decisions.estimate_transfer_s(
                self._get_budget(ends, now), size_bytes, now
            )

    def count_bytes(self):
        """Return the bytes transferred by link; keys are the ends joined by ``-``."""
        with self._lock:
            return {"-".join(ends): n for ends, n in self._bytes_by_ends.items()}

    def _get_budget(self, ends, now):
        budget = self._budgets_by_ends.get(ends)
        if budget is None:
            budget = decisions.make_link_budget(self._get_link(ends), self._share, now)
            self._budgets_by_ends[ends] = budget
        return budget

    def _get_link(self, ends):
        return self._links_by_ends.get(ends) or domain.Link(ends)
