"""Loads of weights that this host has under way, and how many count as running."""

import threading

import attrs

from sycamorespoke import decisions


@attrs.define(eq=False)
class RunningLoads:
    """Counts the engines that load weights as far as this host knows; thread-safe.

    A load whose order had no response does not count, so that it does not keep other
    engines waiting. Its next order is sent once it may count again.
    """

    _loads_by_boot: dict = attrs.field(factory=dict)
    _max_by_model: dict[str, int] = attrs.field(factory=dict)
    _is_ending: bool = False
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def set_limits(self, max_by_model):
        """Set how many loads of each model may run, and allow further orders."""
        with self._lock:
            self._max_by_model = max_by_model
            self._is_ending = False

    def set_ending(self):
        """Allow no further order after one without a response."""
        with self._lock:
            self._is_ending = True

    def add(self, boot_id, load):
        """Add a load, which counts until an order of it has no response."""
        with self._lock:
            self._loads_by_boot[boot_id] = load

    def remove(self, boot_id):
        """Remove the load of an engine."""
        with self._lock:
            self._loads_by_boot.pop(boot_id, None)

    def list_all(self):
        """Return the boot IDs of the engines with a load under way, as a set."""
        with self._lock:
            return set(self._loads_by_boot)

    def list_counted(self):
        """Return the boot IDs of the engines whose load counts, as a set."""
        with self._lock:
            return {
                boot_id
                for boot_id, load in self._loads_by_boot.items()
                if not load.is_unanswered
            }

    def list_uncertain(self, now):
        """Return the boot IDs of other engines that may load at ``now``, as a set."""
        with self._lock:
            return {
                boot_id
                for boot_id, load in self._loads_by_boot.items()
                if load.may_be_running(now)
            }

    def try_count(self, load, now):
        """Let a load count that is about to send an order, unless too many do.

        Parameters
        ----------
        load : WeightLoad
            Load to count.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether it counts, so that the order may be sent.
        """
        with self._lock:
            if not load.is_unanswered:
                return True
            others = [
                each
                for each in self._loads_by_boot.values()
                if each.model == load.model and each is not load
            ]
            free_loads = decisions.compute_free_loads(
                self._max_by_model.get(load.model, 1),
                sum(not each.is_unanswered for each in others),
                sum(each.may_be_running(now) for each in others),
            )
            if self._is_ending or free_loads == 0:
                return False
            load.is_unanswered = False
            return True
