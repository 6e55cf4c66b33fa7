"""Links between data centres."""

import attrs


@attrs.frozen
class Link:
    """A symmetric network link between two data centres.

    Parameters
    ----------
    ends : tuple of (str, str)
        Names of the two data centres in sorted order; equal for the network
        within one data centre.
    bytes_per_s : float, default=100e6
        Capacity for block transfers, bytes per second, above 0.
    delay_s : float, default=0.001
        One-way delay, seconds, 0 to 1.
    """

    ends: tuple[str, str]
    bytes_per_s: float = 100e6
    delay_s: float = 0.001


def link_key(one, other):
    """Return the key of the link between two data centres.

    Parameters
    ----------
    one, other : str
        Names of data centres, in any order.

    Returns
    -------
    tuple of (str, str)
        The names in sorted order.

    Examples
    --------
    >>> link_key("seeb", "qurum")
    ('qurum', 'seeb')
    """
    return (one, other) if one <= other else (other, one)
