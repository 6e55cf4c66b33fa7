"""Messages by which reader hosts relay what they have read and were told."""

import typing

from sycamorespoke.messages import _message


class UpdatesRequest(_message.Message, tag="s"):
    """Request the changes that a host has read on behalf of others.

    Parameters
    ----------
    seen_by_store : dict of str to (int, int)
        Epoch and next event number that the asking host expects, by address of
        the block store.
    revisions_by_kind : dict of str to int
        Revision up to which the asking host has the changes, by kind of shared
        objects; 0 requests all objects.
    host : str, default=""
        Name of the asking host.
    work_by_upstream : dict of str to float
        Estimated work in progress of the asking host, in units of one generated
        token (1 for a request without a prompt), by boot ID of the upstream;
        upstreams without work are omitted.
    outcomes_by_upstream : dict of str to (int, int, float)
        Successes, failures and the weight of the failures of the asking host since
        its last request, by boot ID of the upstream.
    data_centre : str, default=""
        Data centre of the asking host.
    forwarded_outcomes : list of (str, str, dict)
        Data centre, name and outcomes, as above, of hosts that report to the asking
        host, which is a reader.
    reader : str, default=""
        Name of the asking host, if it is a reader that sends the sum of its group.
    group_work_by_upstream : dict of str to float
        Work in progress of that reader and the hosts that report to it, by boot ID of
        the upstream.
    group_hosts : int, default=0
        Number of hosts in that sum.
    tokens_by_upstream, group_tokens_by_upstream : dict of str to float
        Tokens that requests hold in the memory of engines, as the work.
    """

    seen_by_store: dict[str, tuple[int, int]] = {}
    revisions_by_kind: dict[str, int] = {}
    host: str = ""
    work_by_upstream: dict[str, float] = {}
    outcomes_by_upstream: dict[str, tuple[int, int, float]] = {}
    data_centre: str = ""
    forwarded_outcomes: list[tuple[str, str, dict[str, tuple[int, int, float]]]] = []
    reader: str = ""
    group_work_by_upstream: dict[str, float] = {}
    group_hosts: int = 0
    tokens_by_upstream: dict[str, float] = {}
    group_tokens_by_upstream: dict[str, float] = {}


class StorePage(_message.Message, tag="sp"):
    """Events of one block store, or all blocks in it.

    Parameters
    ----------
    epoch : int
        Identifies one start of the store.
    number : int
        Number of the next event after these events.
    is_whole : bool
        Whether the events list all blocks in the store.
    events : list of (str, str, int)
        Scope, ID and tokens of each block; 0 tokens for a block that was removed.
    age_s : float
        Seconds since the store last responded.
    clock_ms : float
        Time of the stores' clock when this page was made, Unix milliseconds.
    """

    epoch: int
    number: int
    is_whole: bool
    events: list[tuple[str, str, int]]
    age_s: float
    clock_ms: float


class ObjectsPage(_message.Message, tag="op"):
    """Changes of one kind of shared objects, or all objects of the kind.

    Parameters
    ----------
    since : int
        Requested revision; the page contains the changes after it.
    revision : int
        Revision after these changes.
    changed : int
        Revision at which the last change was observed.
    is_whole : bool
        Whether the changes list all objects.
    changes : list of (object, bool)
        JSON value of each object and whether it was deleted. Empty for kinds with
        large objects, which each host reads by itself.
    age_s : float
        Seconds since the source confirmed the revision.
    """

    since: int
    revision: int
    changed: int
    is_whole: bool
    changes: list[tuple[typing.Any, bool]]
    age_s: float


class UpdatesReply(_message.Message, tag="sr"):
    """Changes that a host has read on behalf of others.

    Parameters
    ----------
    pages_by_store : dict of str to StorePage
        Pages by address of the store; stores without recent data are omitted.
    pages_by_kind : dict of str to ObjectsPage
        Pages by kind; kinds that this host does not read by itself are omitted.
    work_by_upstream : dict of str to float
        Sum of the work in progress of this host and of the hosts that ask it, by
        boot ID of the upstream.
    hosts : int, default=0
        Number of hosts in the sum.
    ejected_by_upstream : dict of str to float
        Upstreams that are ejected for all these hosts, by boot ID, with the seconds
        that remain.
    tokens_by_upstream : dict of str to float
        Sum of the tokens that requests hold in the memory of engines, as the work.
    """

    pages_by_store: dict[str, StorePage] = {}
    pages_by_kind: dict[str, ObjectsPage] = {}
    work_by_upstream: dict[str, float] = {}
    hosts: int = 0
    ejected_by_upstream: dict[str, float] = {}
    tokens_by_upstream: dict[str, float] = {}
