"""Parses and validates requests of callers."""

import time
import typing
import uuid

import attrs
import msgspec

from sycamorespoke import domain

MAX_TOKENS = 100_000
DEFAULT_MAX_TOKENS = 256
MAX_ID_LENGTH = 128
MAX_DEADLINE_S = 3600.0

TokenCount = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]


class CompletionBody(msgspec.Struct):
    """Body of ``/v1/completions``; fields that are not listed are ignored."""

    model: str
    prompt: str
    max_tokens: TokenCount | None = None
    stream: bool | None = False


class ChatPart(msgspec.Struct):
    """Text part of a chat message."""

    type: typing.Literal["text"]
    text: str


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[ChatPart] | None = None


class ChatBody(msgspec.Struct):
    """Body of ``/v1/chat/completions``; fields that are not listed are ignored."""

    model: str
    messages: typing.Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool | None = False


@attrs.frozen
class Completion:
    """A requested completion, from either form of the protocol.

    Parameters
    ----------
    model : str
        Model name.
    prompt : str
        The whole prompt as a single text.
    max_tokens : int
        Maximum number of tokens to generate.
    stream : bool
        Whether the caller wants an event stream.
    is_chat : bool
        Whether the caller used the chat form.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    is_chat: bool


@attrs.frozen
class Request:
    """An HTTP request of a caller.

    Parameters
    ----------
    request_id : str
        ID of the request.
    method : str
        HTTP method.
    path : str
        Path without the query.
    query : str
        Query without the question mark.
    body : bytes
        The whole body.
    headers_by_name : dict of str to str
        Header values by lower-case name.
    arrived_s : float
        Arrival, monotonic time in seconds.
    deadline_s : float or None
        The caller's deadline, monotonic time in seconds; ``None`` for none.
    """

    request_id: str
    method: str
    path: str
    query: str
    body: bytes
    headers_by_name: dict[str, str]
    arrived_s: float
    deadline_s: float | None = None

    @property
    def idempotency_key(self):
        """The caller's idempotency key, empty for none."""
        return self.headers_by_name.get("idempotency-key", "")

    def compute_deadline(self, route_deadline_s):
        """Return the effective deadline of the request.

        Parameters
        ----------
        route_deadline_s : float
            Time that the route allows, in seconds from arrival.

        Returns
        -------
        float
            The earlier of the route's and the caller's deadline, monotonic time in
            seconds.
        """
        deadline_s = self.arrived_s + route_deadline_s
        if self.deadline_s is None:
            return deadline_s
        return min(deadline_s, self.deadline_s)


def parse_request(environ, max_body_bytes, now):
    """Parse a request from the WSGI environment.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    max_body_bytes : int
        Maximum size of the body, in bytes.
    now : float
        Current monotonic time, in seconds.

    Returns
    -------
    Request or domain.Refusal
        The request, or a refusal if it is invalid.
    """
    headers_by_name = _read_headers(environ)
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > max_body_bytes:
        return domain.Refusal(
            domain.ErrorKind.TOO_LARGE, f"the body exceeds {max_body_bytes} bytes"
        )
    request_id = headers_by_name.get("x-request-id") or str(uuid.uuid4())
    if len(request_id) > MAX_ID_LENGTH or not request_id.isprintable():
        return domain.Refusal(
            domain.ErrorKind.BAD_REQUEST,
            f"X-Request-Id must have at most {MAX_ID_LENGTH} printable characters",
        )
    deadline_s = _read_deadline(headers_by_name, now)
    if isinstance(deadline_s, domain.Refusal):
        return deadline_s
    return Request(
        request_id=request_id,
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        body=environ["wsgi.input"].read(length) if length else b"",
        headers_by_name=headers_by_name,
        arrived_s=now,
        deadline_s=deadline_s,
    )


def parse_completion(request):
    """Parse the body of a completions request.

    Parameters
    ----------
    request : Request
        The caller's request.

    Returns
    -------
    Completion or domain.Refusal
        The requested completion, or a refusal that names the error in the body.

    Notes
    -----
    Chat messages are rendered so that the prompt of a chat is a prefix of the
    prompt of its continuation, which can then reuse the cached blocks.
    """
    is_chat = request.path == "/v1/chat/completions"
    try:
        if is_chat:
            return _parse_chat(msgspec.json.decode(request.body, type=ChatBody))
        body = msgspec.json.decode(request.body, type=CompletionBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return domain.Refusal(domain.ErrorKind.BAD_REQUEST, f"invalid body: {error}")
    max_tokens = body.max_tokens or DEFAULT_MAX_TOKENS
    return Completion(
        body.model, body.prompt, max_tokens, bool(body.stream), is_chat=False
    )


def get_unix_time():
    """Return the wall-clock time in whole seconds, for response metadata."""
    return int(time.time())


def _parse_chat(body):
    prompt = "".join(
        f"<{message.role}>\n{_render_content(message.content)}\n"
        for message in body.messages
    )
    max_tokens = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
    return Completion(body.model, prompt, max_tokens, bool(body.stream), is_chat=True)


def _render_content(content):
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    return "".join(part.text for part in content)


def _read_headers(environ):
    headers_by_name = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers_by_name["content-type"] = environ["CONTENT_TYPE"]
    return headers_by_name


def _read_deadline(headers_by_name, now):
    text = headers_by_name.get("x-deadline-s")
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_DEADLINE_S:
        return domain.Refusal(
            domain.ErrorKind.BAD_REQUEST,
            f"X-Deadline-S must be a number of seconds above 0 and at most "
            f"{MAX_DEADLINE_S}",
        )
    return now + seconds
