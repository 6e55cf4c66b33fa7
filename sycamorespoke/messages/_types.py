"""Types of the messages between the system's own processes.

A struct is sent as an array. Fields are only ever appended, each with a default,
so that processes of two neighbouring releases understand each other.
"""

import enum
import typing

import msgspec


class DocumentKind(enum.Enum):
    """Kind of a document that every daemon holds."""

    RULES = "rules"
    SERVICE_STATE = "service_state"
    HOSTS = "hosts"


class Message(
    msgspec.Struct, array_like=True, frozen=True, omit_defaults=True, tag=True
):
    """Base of all messages."""


class Heartbeat(Message, tag="h"):
    """What one host tells another about itself, and a question for the same.

    Parameters
    ----------
    name : str
        Name of the sending host.
    data_centre : str
        Its data centre.
    boot_id : str
        Changes with each start of the process.
    address : str, default=""
        Where it answers, IP number and port; empty if it answers nobody.
    rules : int, default=0
        Revision of its rules, 0 for none.
    service_state : int, default=0
        Revision of its service state, 0 for none.
    hosts : int, default=0
        Revision of its list of hosts, 0 for none.
    ready : bool, default=False
        It takes callers.
    leaving : bool, default=False
        It is on its way out.
    confirmed_age_s : float, default=-1.0
        Seconds since it asked the platform what confirmed its documents;
        negative if the platform has confirmed none.
    in_flight_by_upstream : dict of str to int
        Requests that it has running at each upstream; absent for none.
    shards : tuple of str, default=()
        Shards whose lease it holds.
    """

    name: str
    data_centre: str
    boot_id: str
    address: str = ""
    rules: int = 0
    service_state: int = 0
    hosts: int = 0
    ready: bool = False
    leaving: bool = False
    confirmed_age_s: float = -1.0
    in_flight_by_upstream: dict[str, int] = {}
    shards: tuple[str, ...] = ()


class HeartbeatReply(Heartbeat, tag="H"):
    """The answer to a heartbeat: the same but for the requests running."""


class DocumentRequest(Message, tag="d"):
    """Ask for a document.

    Parameters
    ----------
    kind : DocumentKind
        Which document.
    """

    kind: DocumentKind


class DocumentReply(Message, tag="D"):
    """A document as the answering host holds it.

    Parameters
    ----------
    kind : DocumentKind
        Which document.
    revision : int
        Its revision, 0 if it holds none.
    value : object, default=None
        The platform's JSON value.
    """

    kind: DocumentKind
    revision: int
    value: typing.Any = None


class InForceRequest(Message, tag="i"):
    """Ask which revisions are in force."""


class InForceReply(Message, tag="I"):
    """Revisions in force at one host.

    Parameters
    ----------
    host : str
        Name of the host.
    data_centre : str
        Its data centre.
    ready : bool
        It takes callers.
    rules, service_state, hosts : int
        Revisions, 0 for none.
    """

    host: str
    data_centre: str
    ready: bool
    rules: int
    service_state: int
    hosts: int


class DumpRequest(Message, tag="u"):
    """Ask for the state of the process."""


class DumpReply(Message, tag="U"):
    """State of a process.

    Parameters
    ----------
    state : dict
        JSON values by the name of the part; no prompt text and no keys.
    """

    state: dict[str, typing.Any]


class PermitRequest(Message, tag="p"):
    """Ask the owner of a cold upstream for permission to send it requests.

    Parameters
    ----------
    permit_id : str
        Made by the asker; the same id asked twice is one permit.
    host : str
        Name of the asking host.
    upstream : str
        Name of the upstream.
    boot_id : str
        Boot id of the upstream as the asker knows it.
    count : int, default=1
        Requests wanted, 1 to 10000.
    running : int, default=0
        Requests that the asker has running at the upstream.
    """

    permit_id: str
    host: str
    upstream: str
    boot_id: str
    count: int = 1
    running: int = 0


class PermitReply(Message, tag="P"):
    """The owner's answer to a request for permission.

    Parameters
    ----------
    permit_id : str
        As asked.
    granted : int
        Requests granted, 0 for none.
    lifetime_s : float, default=0.0
        Seconds that the permit lasts, counted by the asker from its asking.
    retry_after_s : float, default=0.0
        Seconds after which to ask again, when none is granted.
    reason : str, default=""
        Why none is granted.
    owner : str, default=""
        Where the owner answers, if another host is known to be it.
    """

    permit_id: str
    granted: int
    lifetime_s: float = 0.0
    retry_after_s: float = 0.0
    reason: str = ""
    owner: str = ""


class PermitReturn(Message, tag="r"):
    """Give a permit back before it ends; answered with a `PermitReply` of 0.

    Parameters
    ----------
    permit_id : str
        Id of the permit.
    upstream : str
        Name of the upstream.
    """

    permit_id: str
    upstream: str


class UpdatesRequest(Message, tag="s"):
    """Ask a host what it has read for others.

    Parameters
    ----------
    seen_by_store : dict of str to (int, int)
        For each store of cached parts its epoch and the number up to which
        events are known.
    revisions_by_kind : dict of str to int
        For each kind of shared objects the revision up to which changes are
        known; 0 asks for all objects.
    host : str, default=""
        Name of the asking host.
    work_by_upstream : dict of str to float
        Its work under way at each upstream, by start; absent for none.
    """

    seen_by_store: dict[str, tuple[int, int]] = {}
    revisions_by_kind: dict[str, int] = {}
    host: str = ""
    work_by_upstream: dict[str, float] = {}


class StorePage(Message, tag="sp"):
    """Events of one store, or all that it holds.

    Parameters
    ----------
    epoch : int
        Changes with each start of the store.
    number : int
        Number up to which these events go.
    is_whole : bool
        The events are all that it holds.
    events : list of (str, str, int)
        Scope, id and tokens of each part; 0 tokens for one that has left.
    age_s : float
        Seconds since the store was last heard.
    clock_ms : float
        Clock of the stores when this was sent, Unix milliseconds.
    """

    epoch: int
    number: int
    is_whole: bool
    events: list[tuple[str, str, int]]
    age_s: float
    clock_ms: float


class ObjectsPage(Message, tag="op"):
    """Changes of one kind of shared objects, or all objects of it.

    Parameters
    ----------
    since : int
        Changes after this revision are contained, as asked.
    revision : int
        Revision up to which these changes go.
    changed : int
        Revision by which the last change had happened.
    is_whole : bool
        The changes are all objects.
    changes : list of (object, bool)
        JSON value of each object and whether it is gone. Empty for kinds with
        large objects, which each host reads itself.
    age_s : float
        Seconds since the source confirmed it.
    """

    since: int
    revision: int
    changed: int
    is_whole: bool
    changes: list[tuple[typing.Any, bool]]
    age_s: float


class UpdatesReply(Message, tag="sr"):
    """What a host has read for others.

    Parameters
    ----------
    pages_by_store : dict of str to StorePage
        By address; a store that is not known at present is left out.
    pages_by_kind : dict of str to ObjectsPage
        Kinds that this host does not read itself are left out.
    work_by_upstream : dict of str to float
        Work under way of the hosts that ask this one and of itself.
    hosts : int, default=0
        How many hosts these are.
    """

    pages_by_store: dict[str, StorePage] = {}
    pages_by_kind: dict[str, ObjectsPage] = {}
    work_by_upstream: dict[str, float] = {}
    hosts: int = 0


MESSAGE_TYPES = (
    Heartbeat,
    HeartbeatReply,
    DocumentRequest,
    DocumentReply,
    InForceRequest,
    InForceReply,
    DumpRequest,
    DumpReply,
    PermitRequest,
    PermitReply,
    PermitReturn,
    UpdatesRequest,
    UpdatesReply,
)
