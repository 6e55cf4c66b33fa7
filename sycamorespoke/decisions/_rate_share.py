"""One host's share of the request rate of an upstream."""

import attrs


@attrs.frozen
class RateShare:
    """The rate and burst that one host may send to an upstream.

    Parameters
    ----------
    requests_per_s : float
        Sustained rate of the host; 0 if it may not send to the upstream.
    burst : float
        Requests that the host may send at once.
    """

    requests_per_s: float
    burst: float
