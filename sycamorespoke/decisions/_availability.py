"""Whether a request may go to an upstream now, and what stands against it."""

import enum

import attrs

NEVER_S = float("-inf")
FOREVER_S = float("inf")
# A longer backoff is cut to this, so that one wrong value does not cost an upstream
# for hours. A single request then finds out whether the upstream repeats it.
MAX_BACKOFF_S = 600.0


class Obstacle(enum.Enum):
    """What stands against sending to an upstream, the strongest first."""

    NOT_LISTED = "not_listed"
    LEAVING = "draining"
    DATA_CENTRE_OUT = "data_centre_out"
    BACKOFF = "backoff"
    EJECTED = "left_out"
    LOADING = "loading"
    FULL = "full"


class Purpose(enum.Enum):
    """What is sent to an upstream."""

    REQUEST = "request"
    # Orders to engines, and the reports that are read for them.
    ORDER = "order"


# Obstacles without exception. The others only make upstreams without them preferred.
BINDING_BY_PURPOSE = {
    Purpose.REQUEST: frozenset(
        {
            Obstacle.NOT_LISTED,
            Obstacle.LEAVING,
            Obstacle.DATA_CENTRE_OUT,
            Obstacle.BACKOFF,
        }
    ),
    # Engines in a data centre that is out of service load weights for their return.
    Purpose.ORDER: frozenset({Obstacle.NOT_LISTED, Obstacle.LEAVING, Obstacle.BACKOFF}),
}


@attrs.frozen
class UpstreamSignals:
    """What a host knows of one start of an upstream.

    Parameters
    ----------
    is_listed : bool, default=True
        Whether the list of upstreams has this start.
    is_leaving : bool, default=False
        Whether it is about to stop, by the list or by its own word.
    is_data_centre_out : bool, default=False
        Whether its data centre is out of service.
    is_loading : bool, default=False
        Whether it loads weights.
    backoff_until_s : float, default=-inf
        Time until which it wants no requests from this host, seconds.
    ejected_until_s : float, default=-inf
        End of its ejection, seconds.
    full_until_s : float, default=-inf
        Time until which others are preferred because it was full, seconds.
    """

    is_listed: bool = True
    is_leaving: bool = False
    is_data_centre_out: bool = False
    is_loading: bool = False
    backoff_until_s: float = NEVER_S
    ejected_until_s: float = NEVER_S
    full_until_s: float = NEVER_S


@attrs.frozen
class Availability:
    """What stands against sending to an upstream at one point in time.

    Parameters
    ----------
    until_s_by_obstacle : dict of Obstacle to float
        When each obstacle ends by itself, seconds; the strongest first.
    """

    until_s_by_obstacle: dict[Obstacle, float] = attrs.field(factory=dict)

    @property
    def strongest(self):
        """The strongest `Obstacle`; ``None`` without any."""
        return next(iter(self.until_s_by_obstacle), None)

    def has(self, obstacle):
        """Return whether an `Obstacle` stands against the upstream."""
        return obstacle in self.until_s_by_obstacle

    def find_bar(self, purpose=Purpose.REQUEST):
        """Return the strongest binding `Obstacle`; ``None`` if sending is allowed."""
        for obstacle in self.until_s_by_obstacle:
            if obstacle in BINDING_BY_PURPOSE[purpose]:
                return obstacle
        return None

    def compute_opening_s(self, purpose=Purpose.REQUEST):
        """Return when sending is allowed, as far as it is known, seconds.

        Returns
        -------
        float
            ``-inf`` if it is allowed now, ``inf`` if no end is known.
        """
        return max(
            (
                until_s
                for obstacle, until_s in self.until_s_by_obstacle.items()
                if obstacle in BINDING_BY_PURPOSE[purpose]
            ),
            default=NEVER_S,
        )


def assess_upstream(signals, now):
    """Assess whether a request may go to an upstream.

    Every path that sends asks this function, when it chooses an upstream and again
    right before it sends.

    Parameters
    ----------
    signals : UpstreamSignals
        What is known of the upstream.
    now : float
        Current time, seconds.

    Returns
    -------
    Availability
        Without obstacles if nothing stands against it.

    Examples
    --------
    >>> overloaded = UpstreamSignals(backoff_until_s=12.0, full_until_s=10.1)
    >>> availability = assess_upstream(overloaded, 10.0)
    >>> availability.find_bar(), availability.compute_opening_s()
    (<Obstacle.BACKOFF: 'backoff'>, 12.0)
    >>> assess_upstream(overloaded, 12.0).strongest is None
    True
    """
    until_s_by_obstacle = {}
    if not signals.is_listed:
        until_s_by_obstacle[Obstacle.NOT_LISTED] = FOREVER_S
    if signals.is_leaving:
        until_s_by_obstacle[Obstacle.LEAVING] = FOREVER_S
    if signals.is_data_centre_out:
        until_s_by_obstacle[Obstacle.DATA_CENTRE_OUT] = FOREVER_S
    if now < signals.backoff_until_s:
        until_s_by_obstacle[Obstacle.BACKOFF] = signals.backoff_until_s
    if now < signals.ejected_until_s:
        until_s_by_obstacle[Obstacle.EJECTED] = signals.ejected_until_s
    if signals.is_loading:
        until_s_by_obstacle[Obstacle.LOADING] = FOREVER_S
    if now < signals.full_until_s:
        until_s_by_obstacle[Obstacle.FULL] = signals.full_until_s
    return Availability(until_s_by_obstacle)
