"""Orders to bring in a software version of a service, and their stored state."""

import contextlib

from sycamorespoke import clients, rollouts
from sycamorespoke.platform import _names

MAX_DURATION_S = 1e6
STATE_BY_NAME = {
    "running": rollouts.RolloutState.RUNNING,
    "completed": rollouts.RolloutState.COMPLETED,
    "rolled_back": rollouts.RolloutState.ROLLED_BACK,
}
NAME_BY_STATE = {state: name for name, state in STATE_BY_NAME.items()}


def parse_order(stored, now):
    """Parse an order of an operator into a `rollouts.RolloutOrder`.

    A state that is not of its version counts as absent.

    Raises
    ------
    MalformedFieldError
        If a field is missing or of another type.
    """
    spec = clients.check_type(stored.spec, dict, "rollout")
    version = clients.read_field(spec, "To", str)
    duration_s = clients.check_number(
        spec.get("DurationS"), "DurationS", largest=MAX_DURATION_S
    )
    return rollouts.RolloutOrder(
        name=stored.name,
        id=rollouts.RolloutId(
            clients.read_field(spec, "Service", str),
            version,
            clients.check_type(stored.created_revision, int, "CreatedRev"),
        ),
        duration_s=float(duration_s),
        revision=stored.revision,
        state=_parse_state(stored.status, version),
    )


def _parse_state(status, version):
    if not isinstance(status, dict) or status.get("To") != version:
        return None
    name = status.get("State")
    return STATE_BY_NAME.get(name) if isinstance(name, str) else None


class RolloutStates:
    """Writes the state of rollouts into the platform's store.

    Parameters
    ----------
    store : ObjectStoreClient
        Client of the store.
    """

    def __init__(self, store):
        self.store = store

    def write(self, order, state):
        """Write a `rollouts.RolloutState` if the order is unchanged.

        Returns
        -------
        clients.WriteResult
            ``stored`` is the `rollouts.RolloutOrder` that the store holds now, if it
            said so.
        """
        status = {"State": NAME_BY_STATE[state], "To": order.id.version}
        result = self.store.replace_status(
            _names.KIND_ROLLOUTS, order.name, status, order.revision
        )
        stored = None
        # The follower logs an object that is malformed.
        with contextlib.suppress(clients.MalformedFieldError):
            stored = result.stored and parse_order(result.stored, 0.0)
        return clients.WriteResult(result.outcome, stored, result.reason)
