"""Messages about which services a host reaches."""

from sycamorespoke.messages import _message


class ReachRequest(_message.Message, tag="rq"):
    """Question which of some services a host reaches.

    Parameters
    ----------
    services : list of str
        Names of the services.
    """

    services: list[str] = []


class ReachReply(_message.Message, tag="rr"):
    """Reply to a `ReachRequest`.

    Parameters
    ----------
    address : str
        IP address and port for requests that are forwarded; empty if the host accepts
        none.
    answer_age_s_by_service : dict of str to float
        Time since each service last answered the host, seconds. Services that never
        did, or of which an upstream has failed since, are left out.
    forwarded : int, default=0
        Forwarded requests in progress there.
    """

    address: str = ""
    answer_age_s_by_service: dict[str, float] = {}
    forwarded: int = 0
