"""Orders to bring in a software version of a service."""

import enum

import attrs


class RolloutState(enum.Enum):
    """What has become of an order."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled back"

    @property
    def is_final(self):
        """Whether the rollout has ended."""
        return self is not RolloutState.RUNNING

    @classmethod
    def parse_end(cls, text):
        """Return the final state of a text; ``None`` for any other text.

        Examples
        --------
        >>> RolloutState.parse_end("completed")
        <RolloutState.COMPLETED: 'completed'>
        >>> RolloutState.parse_end("running") is None
        True
        """
        states = (state for state in cls if state.is_final and state.value == text)
        return next(states, None)


@attrs.frozen
class RolloutId:
    """Identifies one rollout.

    Parameters
    ----------
    service : str
        Name of the service.
    version : str
        Software version that is brought in.
    created : int
        Revision at which the order was created; tells an order from an earlier one
        for the same version. In a later era of the store an order has another one.
    """

    service: str
    version: str
    created: int


@attrs.frozen
class RolloutOrder:
    """An operator's order to bring in a software version of a service.

    Parameters
    ----------
    name : str
        Name of the object that holds the order.
    id : RolloutId
        Identifies the rollout.
    duration_s : float
        Time from the order in which it must be completed, seconds.
    revision : int
        Revision of the object.
    state : RolloutState or None, default=None
        State that is stored for this rollout; ``None`` if there is none.
    """

    name: str
    id: RolloutId
    duration_s: float
    revision: int
    state: RolloutState | None = None

    @property
    def is_ended(self):
        """Whether the stored state is final."""
        return self.state is not None and self.state.is_final
