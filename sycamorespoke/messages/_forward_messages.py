"""Requests of callers that a host forwards to another host."""

import msgspec

from sycamorespoke.messages import _message


class ForwardedPrompt(msgspec.Struct, array_like=True, frozen=True):
    """Description of the prompt of a forwarded request.

    Parameters
    ----------
    model : str
        Requested model.
    blocks : list of (str, int)
        ID and tokens of each block.
    input_tokens, output_tokens : int
        Length of the prompt, and maximum number of tokens to generate.
    """

    model: str
    blocks: list[tuple[str, int]]
    input_tokens: int
    output_tokens: int


class ForwardedRequest(_message.Message, tag="fr"):
    """A caller's request without its body.

    Parameters
    ----------
    sender : str
        Name of the forwarding host.
    attempts : int
        Number of upstreams that may still receive the request.
    is_counted : bool
        Whether the forwarding host has counted the request in its retry budget.
    remaining_s : float
        Time until the deadline, seconds.
    request_id, host, method, target : str
        As the caller sent them.
    headers : list of (str, str)
        Headers that are forwarded unchanged to the upstream.
    api_key : str or None, default=None
        API key of the client account.
    prompt : ForwardedPrompt or None, default=None
        Description of the prompt.
    last_event_id : int or None, default=None
        ID of the event after which the stream goes on.
    resumed_request_id : str, default=""
        ID of the request that brought the first event of that stream.
    continues_stream : bool, default=False
        Whether the request continues a stream.
    """

    sender: str
    attempts: int
    is_counted: bool
    remaining_s: float
    request_id: str
    host: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    api_key: str | None = None
    prompt: ForwardedPrompt | None = None
    last_event_id: int | None = None
    resumed_request_id: str = ""
    continues_stream: bool = False
