"""Reports of upstreams about their own state."""

import attrs


@attrs.frozen
class LoadReport:
    """Load of an upstream as last reported by it.

    The report lags behind the state of the upstream.

    Parameters
    ----------
    boot_id : str
        Identifies one start of the upstream.
    running : int
        Number of running requests, 0 or more.
    queued : int
        Number of queued requests, 0 or more.
    version : str
        Weight version in use; empty for a plain service.
    warm : bool
        Whether the upstream reports that it can sustain its full load.
    reported_s : float
        Receiver's monotonic time when the report arrived, seconds.
    """

    boot_id: str
    running: int
    queued: int
    version: str
    warm: bool
    reported_s: float
