"""Upstream groups, the capabilities of their upstreams, and routes to them."""

import enum

import attrs


class UpstreamKind(enum.Enum):
    """Kind of an upstream."""

    MODEL = "model"
    SERVICE = "service"


@attrs.frozen
class Contract:
    """Guarantees and capabilities of the upstreams of a group.

    Parameters
    ----------
    checks_fencing : bool, default=False
        Whether the upstreams refuse orders with an outdated fencing number.
    echoes_request_id : bool, default=True
        Whether each response carries the ID of its request.
    resumes : bool, default=True
        Whether an interrupted stream can be resumed at a given token.
    cancels : bool, default=True
        Whether a running request can be cancelled.
    """

    checks_fencing: bool = False
    echoes_request_id: bool = True
    resumes: bool = True
    cancels: bool = True


@attrs.frozen
class UpstreamGroup:
    """A group of interchangeable upstreams.

    Parameters
    ----------
    name : str
        Unique name, for example ``"scribe"``.
    kind : UpstreamKind
        Model engine or plain service.
    contract : Contract
        Guarantees and capabilities of its upstreams.
    model : str, default=""
        Model that its upstreams serve; model engines only.
    version : str, default=""
        Weight version for new requests; model engines only.
    limit : int, default=8
        Maximum number of concurrent requests at a warm upstream, 1 to 10000.
    cold_limit : int, default=2
        Maximum number of concurrent requests at a cold upstream, 1 to ``limit``.
    warm_up_s : float, default=5.0
        Seconds under load until a cold upstream is warm, 0 to 3600.
    prefill_tokens_per_s : float, default=20000.0
        Prompt tokens that one upstream computes per second, above 0.
    """

    name: str
    kind: UpstreamKind
    contract: Contract = Contract()
    model: str = ""
    version: str = ""
    limit: int = 8
    cold_limit: int = 2
    warm_up_s: float = 5.0
    prefill_tokens_per_s: float = 20000.0


@attrs.frozen
class Route:
    """Rule that selects the upstream group of a request.

    Parameters
    ----------
    name : str
        Unique name.
    group : str
        Name of the group that serves its requests.
    path : str, default=""
        Path prefix of requests to a plain service, ``"/bibs"``; empty for a model.
    model : str, default=""
        Model name in the request body; empty for a plain service.
    methods : tuple of str, default=()
        HTTP methods that it matches; empty matches all.
    idempotent : bool, default=True
        Whether requests may be sent again after a failure.
    deadline_s : float, default=30.0
        Time after which a request without a response fails, seconds, 0.01 to 3600.
    retries : int, default=2
        Maximum number of attempts after the first, 0 to 10.
    """

    name: str
    group: str
    path: str = ""
    model: str = ""
    methods: tuple[str, ...] = ()
    idempotent: bool = True
    deadline_s: float = 30.0
    retries: int = 2
