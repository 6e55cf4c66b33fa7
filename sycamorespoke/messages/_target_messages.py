"""Messages about when target weight versions were named."""

from sycamorespoke.messages import _message


class TargetAge(_message.Message, tag="ta"):
    """What a host knows of when a target version was named.

    Parameters
    ----------
    model : str
        Name of the model.
    version : int
        Target version.
    max_age_s : float or None
        Seconds since the earliest time at which it may have been named; ``None`` if
        that is unknown.
    seen_age_s : float
        Seconds since a host first saw it.
    """

    model: str
    version: int
    max_age_s: float | None
    seen_age_s: float


class TargetAgesRequest(_message.Message, tag="tq"):
    """Ask a host when the target versions were named."""


class TargetAgesReply(_message.Message, tag="tr"):
    """Reply to a `TargetAgesRequest`.

    Parameters
    ----------
    targets : list of TargetAge
        All target versions that the host remembers.
    """

    targets: list[TargetAge] = []
