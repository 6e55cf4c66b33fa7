"""Hosts as listed by the platform."""

import enum

import attrs


class HostState(enum.Enum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostRole(enum.Enum):
    """Kind of process that runs on a host."""

    ENTRY = "entry"
    UPSTREAM = "upstream"
    STORE = "store"


@attrs.frozen
class Host:
    """A host as listed by the platform.

    Parameters
    ----------
    name : str
        Unique name, for example ``"seeb-scribe-1"``.
    data_centre : str
        Name of its data centre.
    role : HostRole
        Kind of process that runs on it.
    address : str
        IP address and port of its service, ``"127.0.0.1:8000"``.
    peer_address : str, default=""
        IP address and port for messages between the system's own processes;
        entry hosts only.
    group : str, default=""
        Name of its upstream group; upstreams only.
    state : HostState, default=HostState.LIVE
        State in the last list read from the platform.
    """

    name: str
    data_centre: str
    role: HostRole
    address: str
    peer_address: str = ""
    group: str = ""
    state: HostState = HostState.LIVE


@attrs.frozen
class HostList:
    """The platform's list of hosts at one revision.

    The list lags behind the state of the hosts.

    Parameters
    ----------
    revision : int
        Increases with each change; 0 if no list has been read yet.
    by_name : dict of str to Host
        Hosts by name.
    """

    revision: int = 0
    by_name: dict[str, Host] = attrs.field(factory=dict)

    def select(self, role):
        """Return the hosts with a role, ordered by name.

        Parameters
        ----------
        role : HostRole
            Role to select.

        Returns
        -------
        list of Host
            Hosts in any state.
        """
        return [host for _, host in sorted(self.by_name.items()) if host.role is role]
