"""Limits on requests and connections of callers."""

import attrs


@attrs.frozen
class CallerLimits:
    """Limits on requests and connections of callers.

    Parameters
    ----------
    header_bytes : int
        Maximum size of the request line and headers, in bytes.
    body_bytes : int
        Maximum size of a body, in bytes.
    idle_s : float
        Minimum time for which an idle connection is kept open, in seconds, unless
        places run out.
    header_s : float
        Time within which callers send a whole head, in seconds.
    """

    header_bytes: int = 65536
    body_bytes: int = 67108864
    idle_s: float = 60.0
    header_s: float = 30.0
