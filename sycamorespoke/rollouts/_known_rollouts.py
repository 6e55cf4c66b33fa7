"""Rollouts that are remembered, also across the eras of the store."""

import collections

from sycamorespoke import domain

# Rollouts that are remembered after others have replaced them.
MAX_REMEMBERED = 64
# Operators write lost orders again within seconds of the return of the store. One that
# had gone from the list before is taken for such an order only within this time.
WRITTEN_AGAIN_S = 60.0


class KnownRollouts:
    """Rollouts by ID; used under a lock.

    A rollout that goes on in a later era of the store has an ID for each of them, so
    that hosts which still know the earlier one can name it.

    Parameters
    ----------
    history : clients.StoreHistory
        Tells the era of the store.
    """

    def __init__(self, history):
        self.history = history
        self._by_id = collections.OrderedDict()
        # The last rollout that each object was the order of.
        self._last_by_name = collections.OrderedDict()
        # Objects that had gone from the list within the era of their last order.
        self._gone_names = set()

    def get(self, rollout_id):
        """Return the `HostRollout` of an ID; ``None`` if it is not known."""
        return self._by_id.get(rollout_id)

    def list_earlier_ends(self, current):
        """Return how the other orders of a service ended, by version."""
        rollouts = sorted(self._by_id.values(), key=lambda each: each.order.id.created)
        return {
            rollout.order.id.version: rollout.end
            for rollout in rollouts
            if rollout.order.id.service == current.order.id.service
            and rollout.order.id.version != current.order.id.version
        }

    def add(self, rollout_id, rollout):
        """Add an ID of a rollout; those longest known are forgotten."""
        self._by_id[rollout_id] = rollout
        while len(self._by_id) > MAX_REMEMBERED:
            self._by_id.popitem(last=False)

    def record_last(self, rollout):
        """Record that a rollout is the last one that its object was the order of."""
        name = rollout.order.name
        self._gone_names.discard(name)
        self._last_by_name[name] = rollout
        self._last_by_name.move_to_end(name)
        while len(self._last_by_name) > MAX_REMEMBERED:
            self._last_by_name.popitem(last=False)

    def record_list(self, orders):
        """Record which orders the store lists.

        What a later era of the store lacks has not gone: it may be written again.
        """
        listed = {order.name for order in orders}
        era = self.history.era
        gone = {
            name
            for name, rollout in self._last_by_name.items()
            if domain.get_era(rollout.order.revision) >= era
        }
        kept = self._gone_names & self._last_by_name.keys()
        self._gone_names = (kept | gone) - listed

    def find_continued(self, order, now):
        """Find the rollout that an order of a later era of the store is of.

        An order that a copy of the store holds, or that its operator writes again,
        gets a revision of the new era for its creation, and may lack its state. It is
        the order that its object held last in an earlier era, or one that the object
        held before if it has the number of its creation. Any other is a new one, also
        one for the same version if the last had gone from the list in its own era,
        unless it appears within `WRITTEN_AGAIN_S` of the beginning of the new era: the
        last may only have been unreadable.

        Parameters
        ----------
        order : RolloutOrder
            An order whose ID is not known.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        HostRollout or None
            ``None`` if the order is a new one.
        """
        last = self._last_by_name.get(order.name)
        may_be_again = (
            order.name not in self._gone_names
            or now - self.history.era_seen_s <= WRITTEN_AGAIN_S
        )
        if last is not None and may_be_again and _is_same_in_later_era(last, order):
            return last
        number = domain.get_number(order.id.created)
        for rollout in self._by_id.values():
            is_number = domain.get_number(rollout.order.id.created) == number
            if is_number and _is_same_in_later_era(rollout, order):
                return rollout
        return None


def _is_same_in_later_era(rollout, order):
    known = rollout.order
    return (
        known.name == order.name
        and known.id.service == order.id.service
        and known.id.version == order.id.version
        and domain.get_era(known.id.created) < domain.get_era(order.id.created)
    )
