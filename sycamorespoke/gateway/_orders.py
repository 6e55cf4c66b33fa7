"""Orders to engines and what they report."""

import enum

import attrs
import cattrs


class RolloutMode(enum.Enum):
    """What happens to the requests that an engine runs when it gets an order."""

    FINISH_FIRST = "finish first"
    CONTINUE = "go on"
    ABORT = "cut"


class OrderOutcome(enum.Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds already"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class VersionOrder:
    """An order to load a version.

    Parameters
    ----------
    model : str
        The model.
    version : int
        Its version.
    fencing_number : int
        Of the lease under which the order is given.
    after_orders : int
        Orders that the engine has accepted before this one.
    mode : RolloutMode, default=RolloutMode.CONTINUE
        What happens to running requests.
    """

    model: str
    version: int
    fencing_number: int
    after_orders: int
    mode: RolloutMode = RolloutMode.CONTINUE


@attrs.frozen
class EngineReport:
    """What an engine says of itself.

    Parameters
    ----------
    orders : int
        Orders accepted since it started.
    is_loading : bool
        An order is being carried out.
    versions_by_model : dict of str to int
        Weights that it holds.
    """

    orders: int
    is_loading: bool
    versions_by_model: dict[str, int]


@attrs.frozen
class LeaseUpdate:
    """A version of a lease that was received by a watch.

    Parameters
    ----------
    name : str
        Name of the lease.
    value : object
        JSON value.
    version : int
        Version of the object.
    """

    name: str
    value: object
    version: int


@attrs.frozen
class LoadAnnouncement:
    """What the host that orders loads tells the others.

    Parameters
    ----------
    loading : list of str
        Starts of the engines that load weights.
    versions_by_boot : dict of str to dict of str to int
        Weights that engines were brought to, by their start and by model.

    Examples
    --------
    >>> announcement = LoadAnnouncement(["i-1@7"], {"i-2@7": {"m": 3}})
    >>> LoadAnnouncement.from_value(announcement.to_value()) == announcement
    True
    """

    loading: list[str] = attrs.field(factory=list)
    versions_by_boot: dict[str, dict[str, int]] = attrs.field(factory=dict)

    @classmethod
    def from_value(cls, value):
        """Read it from a JSON value.

        Raises
        ------
        ValueError
            If it has another form.
        """
        if not isinstance(value, dict):
            raise ValueError("it is no announcement of loads: not a table")
        try:
            return cattrs.structure(value, cls)
        except Exception as error:
            raise ValueError(f"it is no announcement of loads: {error!r}") from error

    def to_value(self):
        """Return it as a JSON value."""
        return cattrs.unstructure(self)
