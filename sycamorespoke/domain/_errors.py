"""Closed list of error kinds and the response that callers get for each."""

import enum

import attrs


class Execution(enum.Enum):
    """Whether an upstream ran a request that got no complete response."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Reason why a request failed; callers receive the value."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    NO_ROUTE = "no_route"
    KEY_REUSED = "key_reused"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    VERSION_LOADING = "version_loading"
    STREAM_UNKNOWN = "stream_unknown"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEADLINE_BEFORE_SEND = "deadline_before_send"
    DEADLINE_AFTER_SEND = "deadline_after_send"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_LOST = "upstream_lost"
    ANSWER_MISMATCH = "answer_mismatch"
    WITHDRAWN = "withdrawn"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@attrs.frozen
class ErrorResponse:
    """Response to a caller for one error kind.

    Parameters
    ----------
    status : int
        HTTP status, 400 to 599.
    execution : Execution
        Whether an upstream ran the request.
    retry_after_s : int, default=0
        Seconds after which the caller may retry, 0 to 3600; 0 sends no
        ``Retry-After`` header.
    """

    status: int
    execution: Execution
    retry_after_s: int = 0


ERROR_RESPONSE_BY_KIND = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Execution.NOT_RUN),
    ErrorKind.TOO_LARGE: ErrorResponse(413, Execution.NOT_RUN),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, Execution.NOT_RUN),
    ErrorKind.NO_ROUTE: ErrorResponse(404, Execution.NOT_RUN),
    ErrorKind.KEY_REUSED: ErrorResponse(422, Execution.NOT_RUN),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, Execution.NOT_RUN, 1),
    ErrorKind.CONCURRENCY_LIMITED: ErrorResponse(429, Execution.NOT_RUN, 1),
    ErrorKind.OVERLOADED: ErrorResponse(503, Execution.NOT_RUN, 2),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, Execution.NOT_RUN, 2),
    ErrorKind.PROMPT_QUARANTINED: ErrorResponse(503, Execution.NOT_RUN, 3600),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(503, Execution.NOT_RUN, 3600),
    ErrorKind.VERSION_LOADING: ErrorResponse(503, Execution.NOT_RUN, 1),
    ErrorKind.STREAM_UNKNOWN: ErrorResponse(503, Execution.NOT_RUN, 1),
    ErrorKind.NOT_READY: ErrorResponse(503, Execution.NOT_RUN, 1),
    ErrorKind.DRAINING: ErrorResponse(503, Execution.NOT_RUN, 1),
    ErrorKind.CLAIMS_UNAVAILABLE: ErrorResponse(503, Execution.NOT_RUN, 5),
    ErrorKind.IN_PROGRESS: ErrorResponse(409, Execution.UNKNOWN, 1),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(409, Execution.UNKNOWN),
    ErrorKind.DEADLINE_BEFORE_SEND: ErrorResponse(504, Execution.NOT_RUN, 1),
    ErrorKind.DEADLINE_AFTER_SEND: ErrorResponse(504, Execution.UNKNOWN),
    ErrorKind.UPSTREAM_REFUSED: ErrorResponse(503, Execution.NOT_RUN, 2),
    ErrorKind.UPSTREAM_UNREACHABLE: ErrorResponse(503, Execution.NOT_RUN, 2),
    ErrorKind.UPSTREAM_LOST: ErrorResponse(502, Execution.UNKNOWN),
    ErrorKind.ANSWER_MISMATCH: ErrorResponse(502, Execution.UNKNOWN),
    ErrorKind.WITHDRAWN: ErrorResponse(502, Execution.UNKNOWN),
    ErrorKind.CANCELLED: ErrorResponse(499, Execution.UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, Execution.UNKNOWN),
}


@attrs.frozen
class Refusal:
    """Sentinel returned in place of a response, with the reason of the refusal.

    Parameters
    ----------
    kind : ErrorKind
        Why the request fails.
    reason : str
        Message for the caller; contains no prompt text and no API key.
    retry_after_s : int or None, default=None
        Seconds, 1 to 3600; overrides the default of the error kind.

    Examples
    --------
    >>> refusal = Refusal(ErrorKind.OVERLOADED, "the queue of the account is full")
    >>> refusal.error_response().status
    503
    >>> refusal = Refusal(ErrorKind.OVERLOADED, "full", retry_after_s=7)
    >>> refusal.error_response().retry_after_s
    7
    """

    kind: ErrorKind
    reason: str
    retry_after_s: int | None = None

    def error_response(self):
        """Return the response to send for this refusal.

        Returns
        -------
        ErrorResponse
            The response for ``kind``, with this refusal's ``retry_after_s`` if set.
        """
        response = ERROR_RESPONSE_BY_KIND[self.kind]
        if self.retry_after_s is None:
            return response
        return attrs.evolve(response, retry_after_s=self.retry_after_s)
