"""Messages about the roll-out of a service's software version."""

from sycamorespoke.messages import _message


class RouteTally(_message.Message, tag="lt"):
    """Outcomes of one route at one of the versions.

    Parameters
    ----------
    route : str
        Name of the route.
    is_trial : bool
        Whether they are of the version that is brought in.
    requests, bad : int
        Requests that have ended, and those of them that failed or were slow.
    """

    route: str
    is_trial: bool
    requests: int
    bad: int


class RolloutReport(_message.Message, tag="lr"):
    """What a host knows of a rollout, for the host that judges it.

    All counts are since the host first saw the order.

    Parameters
    ----------
    service, version : str
        The service, and the software version that is brought in.
    created : int
        Revision at which the order was created.
    host : str
        Name of the reporting host.
    boot_id : str
        Identifies one start of its process.
    known_s : float
        For how long it has known the order, seconds.
    end : str
        How the rollout ended as far as it knows; empty if it goes on.
    tallies : list of RouteTally
        Outcomes by route and version.
    trial_lost_by_boot, old_lost_by_boot : dict of str to int
        Connections lost at upstreams of the version, and of others, by boot ID.
    is_moving : bool
        Whether it knows that the service moves to the version.
    fraction : float
        Fraction of its requests that the version gets then.
    old_in_flight : int
        Its requests that run at other versions.
    """

    service: str
    version: str
    created: int
    host: str
    boot_id: str
    known_s: float
    end: str = ""
    tallies: list[RouteTally] = []
    trial_lost_by_boot: dict[str, int] = {}
    old_lost_by_boot: dict[str, int] = {}
    is_moving: bool = False
    fraction: float = 0.0
    old_in_flight: int = 0


class RolloutReply(_message.Message, tag="lR"):
    """Reply to a `RolloutReport`.

    Parameters
    ----------
    service, version : str
        The service, and the software version that is brought in.
    created : int
        Revision at which the order was created.
    holder : str
        Name of the host that judges rollouts, as far as known; may be empty.
    is_holder : bool
        Whether the replying host is the one; the rest says nothing otherwise.
    end : str, default=""
        How the rollout ended; empty if it goes on.
    is_moving : bool, default=False
        Whether the service moves to the version.
    fraction : float, default=0.0
        Fraction of the requests that the version gets then.
    wanted_routes : list of str, default=[]
        Routes of which too few requests were tried.
    """

    service: str
    version: str
    created: int
    holder: str
    is_holder: bool
    end: str = ""
    is_moving: bool = False
    fraction: float = 0.0
    wanted_routes: list[str] = []
