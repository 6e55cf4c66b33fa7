"""Weight version orders, reports of engines and lease updates."""

import enum

import attrs
import cattrs

from sycamorespoke.gateway import _statements


class RolloutMode(enum.Enum):
    """What an engine does with its running requests when it accepts an order."""

    FINISH_FIRST = "finish first"
    CONTINUE = "go on"
    ABORT = "cut"


class OrderOutcome(enum.Enum):
    """Result of sending an order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds already"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen
class OrderResult:
    """Response of an engine to an order.

    Parameters
    ----------
    outcome : OrderOutcome
        What became of the order.
    statements : Statements or None, default=None
        What the engine states about itself, if it responded.
    """

    outcome: OrderOutcome
    statements: _statements.Statements | None = None


@attrs.frozen
class VersionOrder:
    """An order to load a weight version.

    Parameters
    ----------
    model : str
        Name of the model.
    version : int
        Weight version to load.
    fencing_number : int
        Fencing number of the lease under which the order is sent.
    after_orders : int
        Number of orders that the engine must have accepted before this one.
    mode : RolloutMode, default=RolloutMode.CONTINUE
        What the engine does with its running requests.
    """

    model: str
    version: int
    fencing_number: int
    after_orders: int
    mode: RolloutMode = RolloutMode.CONTINUE


@attrs.frozen
class EngineReport:
    """State that an engine reports.

    Parameters
    ----------
    orders : int
        Number of orders accepted since the engine started.
    is_loading : bool
        Whether the engine is executing an order.
    versions_by_model : dict of str to int
        Weight versions that it has loaded.
    statements : Statements
        What the engine states about itself in the response.
    """

    orders: int
    is_loading: bool
    versions_by_model: dict[str, int]
    statements: _statements.Statements = attrs.field(factory=_statements.Statements)


@attrs.frozen
class LeaseUpdate:
    """A version of a lease object, as received by a watch.

    Parameters
    ----------
    name : str
        Name of the lease.
    value : object
        JSON value of the lease.
    version : int
        Version of the object.
    """

    name: str
    value: object
    version: int


@attrs.frozen
class LoadAnnouncement:
    """Loads that the host in charge of the rollout announces to the others.

    Parameters
    ----------
    loading : list of str
        Boot IDs of the engines that are loading weights.
    versions_by_boot : dict of str to dict of str to int
        Weight versions that engines have loaded, by boot ID and model.

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
        """Parse an announcement from a JSON value.

        Raises
        ------
        ValueError
            If the value is malformed.
        """
        if not isinstance(value, dict):
            raise ValueError("not a load announcement: not a JSON object")
        try:
            return cattrs.structure(value, cls)
        except Exception as error:
            raise ValueError(f"not a load announcement: {error!r}") from error

    def to_value(self):
        """Return the announcement as a JSON value."""
        return cattrs.unstructure(self)
