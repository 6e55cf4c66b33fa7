"""Format of the requests that hosts forward to each other over HTTP.

The body of the HTTP request is that of the caller; a header holds all else, signed.
The response is that of the upstream, with the start of the upstream, or a refusal with
its kind.
"""

import base64
import binascii
import os

import attrs

from sycamorespoke import clients, domain, messages
from sycamorespoke.gateway import _requests

METHOD = "POST"
TARGET = "/"
REQUEST_HEADER = "Forwarded-Request"
REQUEST_VARIABLE = "HTTP_FORWARDED_REQUEST"
REFUSAL_HEADER = "Refusal-Kind"
ANSWERED_BY_HEADER = "Answered-By"
# How many upstreams have received a refused request, and whether it has been counted in
# the retry budget of the host that refuses.
REACHED_HEADER = "Reached-Upstreams"
COUNTED_HEADER = "Request-Counted"
RESPONSE_HEADERS = frozenset(
    name.lower()
    for name in (REFUSAL_HEADER, ANSWERED_BY_HEADER, REACHED_HEADER, COUNTED_HEADER)
)
# Factor by which the headers of a caller may grow.
HEADER_GROWTH = 2
NONCE_BYTES = 8


def build_request_headers(codec, request, mark, remaining_s):
    """Return the headers of a request that is forwarded to another host.

    Parameters
    ----------
    codec : messages.Codec
        Signs with the hosts' shared key.
    request : Request
        The caller's request.
    mark : ForwardMark
        What the other host has to know besides.
    remaining_s : float
        Time that remains for the other host to respond, seconds.

    Returns
    -------
    dict of str to str
        All headers except those that state the length of the body.
    """
    message = messages.ForwardedRequest(
        sender=mark.host,
        attempts=mark.attempts,
        is_counted=mark.is_counted,
        remaining_s=remaining_s,
        request_id=request.id,
        host=request.host,
        method=request.method,
        target=request.target,
        headers=list(request.headers),
        api_key=request.api_key,
        prompt=_encode_prompt(request.prompt),
        last_event_id=request.last_event_id,
        resumed_request_id=request.resumed_request_id,
        continues_stream=request.continues_stream,
    )
    frame = codec.encode(message, os.urandom(NONCE_BYTES), messages.Direction.REQUEST)
    return {REQUEST_HEADER: base64.b64encode(frame).decode()}


def parse_request(codec, environ, now):
    """Parse a forwarded request from its WSGI environment.

    Parameters
    ----------
    codec : messages.Codec
        Verifies that a host of this deployment has sent it.
    environ : dict
        WSGI environment.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    Request or None
        ``None`` if no host has forwarded the request.
    """
    try:
        frame = base64.b64decode(environ.get(REQUEST_VARIABLE, ""), validate=True)
    except binascii.Error:
        return None
    decoded = codec.decode(frame, messages.Direction.REQUEST)
    if isinstance(decoded, messages.Dropped):
        return None
    message = decoded.message
    if not isinstance(message, messages.ForwardedRequest):
        return None
    return _requests.Request(
        id=message.request_id,
        host=message.host,
        method=message.method,
        target=message.target,
        headers=tuple(message.headers),
        body=environ["wsgi.input"].read() if environ.get("CONTENT_LENGTH") else b"",
        arrived_s=now,
        deadline_s=now + message.remaining_s,
        api_key=message.api_key,
        prompt=_decode_prompt(message.prompt),
        last_event_id=message.last_event_id,
        resumed_request_id=message.resumed_request_id,
        continues_stream=message.continues_stream,
        forward_mark=_requests.ForwardMark(
            message.sender, message.attempts, message.is_counted
        ),
    )


def build_refusal_headers(refusal, reached, is_counted):
    """Return the headers that tell the forwarding host of a refusal.

    Parameters
    ----------
    refusal : domain.Refusal
        The refusal.
    reached : int
        Number of upstreams that have received the request.
    is_counted : bool
        Whether the request has been counted in a retry budget.

    Returns
    -------
    list of (str, str)
        The headers.
    """
    return [
        (REFUSAL_HEADER, refusal.kind.value),
        (REACHED_HEADER, str(reached)),
        (COUNTED_HEADER, str(int(is_counted))),
    ]


def name_upstream(head, boot_id):
    """Return a head that tells the forwarding host which upstream answered."""
    headers = (*_drop_own(head.headers), (ANSWERED_BY_HEADER, boot_id))
    return attrs.evolve(head, headers=headers)


def read_response_head(head):
    """Read what another host states in the head of its response.

    Parameters
    ----------
    head : ResponseHead
        Head as it arrived.

    Returns
    -------
    ResponseHead
        Without the headers between hosts; with the refusal of that host, or the start
        of the upstream that answered.
    """
    text_by_name = {name.lower(): text for name, text in head.headers}
    return attrs.evolve(
        head,
        headers=_drop_own(head.headers),
        refusal=_read_refusal(text_by_name.get(REFUSAL_HEADER.lower()), head),
        answered_by=text_by_name.get(ANSWERED_BY_HEADER.lower(), ""),
        reached=clients.parse_integer(text_by_name.get(REACHED_HEADER.lower())) or 0,
        is_counted=text_by_name.get(COUNTED_HEADER.lower()) == "1",
    )


def _read_refusal(name, head):
    if name is None:
        return None
    try:
        kind = domain.ErrorKind(name)
    except ValueError:
        # A newer build may know more kinds; whether the request has run is open.
        kind = domain.ErrorKind.UPSTREAM_LOST
    return domain.Refusal(
        kind, f"refused by another host: {name}", head.statements.backoff_s
    )


def _drop_own(headers):
    return tuple(
        (name, text) for name, text in headers if name.lower() not in RESPONSE_HEADERS
    )


def _encode_prompt(prompt):
    if prompt is None:
        return None
    return messages.ForwardedPrompt(
        prompt.model,
        [(block.id, block.tokens) for block in prompt.blocks],
        prompt.input_tokens,
        prompt.output_tokens,
    )


def _decode_prompt(prompt):
    if prompt is None:
        return None
    blocks = tuple(_requests.PromptBlock(*block) for block in prompt.blocks)
    return _requests.Prompt(
        prompt.model, blocks, prompt.input_tokens, prompt.output_tokens
    )
