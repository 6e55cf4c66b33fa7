"""Requests of callers and the responses of upstreams."""

import enum

import attrs

from sycamorespoke import decisions, domain
from sycamorespoke.gateway import _statements


@attrs.define
class RequestTiming:
    """Times at which the phases of a request ended, seconds of the boot clock.

    Parameters
    ----------
    arrived_s : float
        When it had been read from the caller.
    sent_s : float or None, default=None
        When it was first sent to an upstream.
    first_event_s : float or None, default=None
        When the first event of its stream arrived.
    """

    arrived_s: float
    sent_s: float | None = None
    first_event_s: float | None = None


@attrs.frozen
class PromptBlock:
    """A block of a prompt, which several requests may share.

    Parameters
    ----------
    id : str
        Identifies the content: blocks with the same ID are equal.
    tokens : int
        Length, tokens.
    """

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """Description of the prompt in a request's headers.

    Parameters
    ----------
    model : str
        Requested model.
    blocks : tuple of PromptBlock
        In order; the last one is specific to the request or its session.
    input_tokens : int
        Length of the prompt, tokens.
    output_tokens : int
        Maximum number of tokens to generate.
    """

    model: str
    blocks: tuple[PromptBlock, ...]
    input_tokens: int
    output_tokens: int

    @property
    def shared_block_ids(self):
        """IDs of the blocks that other requests may share, in order."""
        return tuple(block.id for block in self.blocks[:-1])


@attrs.frozen
class ForwardMark:
    """What a host states of a request that it forwards to another host.

    Parameters
    ----------
    host : str
        Name of the forwarding host.
    attempts : int
        Number of upstreams that may still receive the request.
    is_counted : bool
        Whether the forwarding host has counted the request in its retry budget.
    """

    host: str
    attempts: int
    is_counted: bool


@attrs.frozen
class Request:
    """A request of a caller.

    Parameters
    ----------
    id : str
        Request ID chosen by the caller, new for each of its attempts.
    host : str
        Value of the ``Host`` header.
    method : str
        HTTP method.
    target : str
        Path and query as they were sent.
    headers : tuple of (str, str)
        Headers that are forwarded unchanged.
    body : bytes
        Complete body.
    arrived_s : float
        Arrival time, seconds of the boot clock.
    deadline_s : float or None
        When the caller stops waiting, seconds of the boot clock.
    api_key : str or None
        API key of the client account.
    prompt : Prompt or None
        Description of the prompt, if the request carries one.
    last_event_id : int or None
        ID of the last event of the stream that the caller has received.
    resumed_request_id : str
        ID of the request that brought the first event of the stream that this
        request continues; empty if not stated.
    continues_stream : bool
        Whether the caller takes up a stream, also if the ID of its last event cannot
        be read.
    forward_mark : ForwardMark or None, default=None
        Set if another host has forwarded the request to this one.
    """

    id: str
    host: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = attrs.field(repr=False)
    arrived_s: float
    deadline_s: float | None = None
    api_key: str | None = attrs.field(default=None, repr=False)
    prompt: Prompt | None = None
    last_event_id: int | None = None
    resumed_request_id: str = ""
    continues_stream: bool = False
    forward_mark: ForwardMark | None = None

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition("?")[0]


@attrs.frozen
class Dispatch:
    """Instructions that the gateway sends to an upstream with a request.

    Parameters
    ----------
    upstream : Upstream
        Upstream that shall run the request; another upstream that has taken over
        its address refuses the request.
    account : Account or None
        Client account of the caller.
    remaining_s : float
        Time until the deadline, seconds.
    priority : int or None, default=None
        Urgency, 0 (most urgent) to 9.
    weight_version : int or None, default=None
        Expected weight version; the upstream refuses the request if it holds
        another one.
    cache_scope : str, default=""
        Namespace of the upstream's cache; blocks are reused only within one scope.
    last_event_id : int or None, default=None
        ID of the event after which a stream resumes.
    block_plan : decisions.BlockPlan
        Blocks of the prompt to import from block stores or to export to them.
    import_until_ms : int, default=0
        Time after which an import is discarded, Unix milliseconds of the stores'
        clock.
    needs_new_connection : bool, default=False
        Whether the request must not be sent on a connection in use before.
    """

    upstream: object
    account: object
    remaining_s: float
    priority: int | None = None
    weight_version: int | None = None
    cache_scope: str = ""
    last_event_id: int | None = None
    block_plan: decisions.BlockPlan = attrs.field(factory=decisions.BlockPlan)
    import_until_ms: int = 0
    needs_new_connection: bool = False


class Framing(enum.Enum):
    """How a response shows where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_END = "connection_end"


@attrs.frozen
class ResponseHead:
    """Status and headers of an upstream's response.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        HTTP reason phrase.
    headers : tuple of (str, str)
        Headers that are forwarded to the caller.
    framing : Framing
        How the response shows where its body ends.
    is_event_stream : bool
        Whether the body is a stream of events without a content coding.
    request_id : str
        ID of the request to which the response belongs; may be empty.
    is_not_run : bool
        Whether the upstream states that it did not run the request.
    is_wrong_upstream : bool
        Whether the upstream refused because it is not the expected one or holds
        another weight version.
    statements : Statements
        What the upstream states about itself.
    weight_version : int or None
        Weight version that the upstream holds, if stated.
    keep_alive_s : float or None
        Time for which the upstream keeps an idle connection, seconds.
    closes_connection : bool
        Whether the upstream closes the connection after this response.
    refusal : domain.Refusal or None
        Refusal of the host to which the request was forwarded.
    answered_by : str
        Boot ID of the upstream that answered a forwarded request.
    reached : int
        Number of upstreams that received a forwarded request which was refused.
    is_counted : bool
        Whether the host that refused it has counted it in its retry budget.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    framing: Framing
    is_event_stream: bool = False
    request_id: str = ""
    is_not_run: bool = False
    is_wrong_upstream: bool = False
    statements: _statements.Statements = attrs.field(factory=_statements.Statements)
    weight_version: int | None = None
    keep_alive_s: float | None = None
    closes_connection: bool = False
    refusal: domain.Refusal | None = None
    answered_by: str = ""
    reached: int = 0
    is_counted: bool = False

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@attrs.frozen
class Response:
    """A complete response.

    Parameters
    ----------
    head : ResponseHead
        Status and headers.
    body : bytearray
        Complete body.
    """

    head: ResponseHead
    body: bytearray = attrs.field(repr=False)


@attrs.frozen
class Failure:
    """Result of an attempt that got no complete response from the upstream.

    Parameters
    ----------
    refusal : domain.Refusal
        Reason; its kind states whether the request may have run.
    head : ResponseHead or None, default=None
        Response of an upstream that refused the request.
    """

    refusal: domain.Refusal
    head: ResponseHead | None = None
