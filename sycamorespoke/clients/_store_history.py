"""What the responses of a store show of its history: its era, and its revision."""

import threading

import loguru

from sycamorespoke import domain


class StoreHistory:
    """Follows the era of a store by its responses; thread-safe.

    Attributes
    ----------
    era : int
        Newest era that a response stated; 0 before any.
    revision : int
        Newest revision of the store.
    era_seen_s : float
        When a response first stated it, seconds of the clock of the caller.
    era_changes : int
        How often the era has risen since the first response.
    gone_count : int
        How often the store did not have the changes that a watch asked for.
    """

    def __init__(self):
        self.era = 0
        self.era_seen_s = float("-inf")
        self.revision = 0
        self.era_changes = 0
        self.gone_count = 0
        self._has_era = False
        self._lock = threading.Lock()

    def record_era(self, era, now):
        """Record the era that a response states.

        Parameters
        ----------
        era : int
            The era; one below the newest is that of a late response.
        now : float
            When the response was received, seconds.
        """
        with self._lock:
            if era <= self.era and self._has_era:
                return
            is_change = self._has_era
            # Others read without the lock: no new era with the time of the last one.
            self.era_seen_s = now
            before, self.era, self._has_era = self.era, era, True
            if not is_change:
                return
            self.era_changes += 1
            number = domain.get_number(self.revision)
        loguru.logger.bind(era=era, era_before=before, number_before=number).warning(
            "store is back from an older copy"
        )

    def record_revision(self, revision, revision_before):
        """Record the revision of the store that a response states.

        Parameters
        ----------
        revision : int
            The revision.
        revision_before : int
            What `revision` was before the request was sent. Within an era, a response
            that is not stale states none below it.

        Returns
        -------
        bool
            Whether the store went back within an era, as one does that states none.
        """
        is_same_era = domain.get_era(revision) == domain.get_era(revision_before)
        went_back = is_same_era and revision < revision_before
        with self._lock:
            is_known = went_back and revision >= self.revision
            self.revision = revision if went_back else max(self.revision, revision)
        if went_back and not is_known:
            loguru.logger.bind(
                era=domain.get_era(revision),
                number=domain.get_number(revision),
                number_before=domain.get_number(revision_before),
            ).warning("store went back within an era")
        return went_back

    def record_gone(self, kind, revision):
        """Record that the store lacks the changes of a kind since a revision."""
        with self._lock:
            self.gone_count += 1
        loguru.logger.bind(
            kind=kind,
            era=domain.get_era(revision),
            number=domain.get_number(revision),
            store_era=self.era,
        ).info("store lacks the changes since a revision")
