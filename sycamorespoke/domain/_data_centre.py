"""Data centres."""

import attrs


@attrs.frozen
class DataCentre:
    """A data centre with its routing preference and load limit.

    Parameters
    ----------
    name : str
        Unique name.
    weight : float, default=1.0
        Preference relative to other data centres, 0.01 to 100.
    loads_at_once : int, default=2
        Maximum number of upstreams in it that load weights at once, 1 to 100.
    """

    name: str
    weight: float = 1.0
    loads_at_once: int = 2
