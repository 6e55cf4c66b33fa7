"""Parses and builds the headers of requests and responses."""

import math
import re

import urllib3

from sycamorespoke import clients, domain, gateway
from sycamorespoke.platform import _names

BEARER_PREFIX = "bearer "
# Upper bound on the remaining time that a caller states; beyond it, the timeout of
# the route applies.
MAX_REMAINING_S = 86400.0
STATUS_WRONG_UPSTREAM = 421
PLAIN_CODING = "identity"
STATUS_OVERLOADED = 503
_HTTP_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(r"/[\x21-\x7e]*")


def parse_request(environ, now):
    """Parse the request of a caller from its WSGI environment.

    Parameters
    ----------
    environ : dict
        WSGI environment, with the unmodified request target in ``REQUEST_URI``.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    gateway.Request or domain.Refusal
        A refusal if the target, the method or a header is malformed.
    """
    headers_by_name = dict(_iterate_headers(environ))
    target = environ["REQUEST_URI"]
    if _TARGET.fullmatch(target) is None:
        return _refuse("the path contains characters that must be percent-encoded")
    if _HTTP_TOKEN.fullmatch(environ["REQUEST_METHOD"]) is None:
        return _refuse("the method is malformed")
    deadline_s = _parse_deadline(headers_by_name, now)
    if isinstance(deadline_s, domain.Refusal):
        return deadline_s
    prompt = _parse_prompt(headers_by_name)
    if isinstance(prompt, domain.Refusal):
        return prompt
    resumed_request_id = headers_by_name.get(_names.RESUMES.lower(), "").strip()
    last_event_id = headers_by_name.get(_names.LAST_EVENT_ID.lower(), "")
    return gateway.Request(
        id=headers_by_name.get(_names.REQUEST_ID.lower(), ""),
        host=headers_by_name.get("host", ""),
        method=environ["REQUEST_METHOD"],
        target=target,
        headers=_select_forwarded_headers(headers_by_name),
        body=environ["wsgi.input"].read() if environ.get("CONTENT_LENGTH") else b"",
        arrived_s=now,
        deadline_s=deadline_s,
        api_key=_parse_api_key(headers_by_name),
        prompt=prompt,
        resumed_request_id=resumed_request_id,
        continues_stream=bool(last_event_id.strip() or resumed_request_id),
        last_event_id=clients.parse_integer(last_event_id),
    )


def build_request_headers(request, dispatch, remaining_s):
    """Return the headers of a request to an upstream.

    Parameters
    ----------
    request : gateway.Request
        The caller's request.
    dispatch : gateway.Dispatch
        Upstream, and what is sent to it besides the request of the caller.
    remaining_s : float
        Time that remains for the upstream to respond, seconds.

    Returns
    -------
    urllib3.HTTPHeaderDict
        All headers except those that state the length of the body.
    """
    headers = urllib3.HTTPHeaderDict()
    for name, text in request.headers:
        headers.add(name, text)
    for name in ("Accept-Encoding", "User-Agent"):
        if name not in headers:
            # Keep urllib3 from adding its own value.
            headers[name] = urllib3.util.SKIP_HEADER
    headers[_names.DEADLINE_MS] = str(max(int(remaining_s * 1000), 1))
    headers[_names.EXPECT_INSTANCE] = dispatch.upstream.id
    if dispatch.account is not None:
        headers[_names.TENANT_ID] = dispatch.account.name
    if dispatch.priority is not None:
        headers[_names.REQUEST_PRIORITY] = str(dispatch.priority)
    if dispatch.weight_version is not None:
        headers[_names.EXPECT_VERSION] = str(dispatch.weight_version)
    if dispatch.cache_scope:
        headers[_names.CACHE_SALT] = dispatch.cache_scope
    if dispatch.block_plan.has_imports:
        headers[_names.KV_FETCH] = _join_addresses(dispatch.block_plan.import_from)
        headers[_names.KV_UNTIL] = str(dispatch.import_until_ms)
    if dispatch.block_plan.has_exports:
        headers[_names.KV_SAVE] = _join_addresses(dispatch.block_plan.export_to)
    if dispatch.last_event_id is not None:
        headers[_names.LAST_EVENT_ID] = str(dispatch.last_event_id)
    return headers


def parse_response_head(response):
    """Parse status and headers of an upstream's response.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        Response whose body need not have been read.

    Returns
    -------
    gateway.ResponseHead
        Status, headers to forward and the values that the gateway uses.
    """
    headers = response.headers
    is_wrong_upstream = response.status == STATUS_WRONG_UPSTREAM
    connection_options = clients.parse_connection_options(headers.get("Connection", ""))
    forwarded = tuple(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in _names.CONNECTION_HEADERS
        and name.lower() not in connection_options
    )
    return gateway.ResponseHead(
        status=response.status,
        reason=response.reason or "",
        headers=forwarded,
        framing=_parse_framing(response),
        is_event_stream=_is_event_stream(headers),
        request_id=headers.get(_names.REQUEST_ID, ""),
        is_not_run=is_wrong_upstream or _names.NOT_RUN in headers,
        is_wrong_upstream=is_wrong_upstream,
        statements=parse_statements(response),
        weight_version=clients.parse_integer(headers.get(_names.WEIGHT_VERSIONS)),
        keep_alive_s=clients.parse_keep_alive(headers.get("Keep-Alive", "")),
        closes_connection="close" in connection_options,
    )


def parse_statements(response):
    """Parse what an upstream states about itself in a response.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        Response to any kind of request; its body need not have been read.

    Returns
    -------
    gateway.Statements
        A time that cannot be read is reported as such, other malformed statements
        as absent.
    """
    headers = response.headers
    retry_after = headers.get("Retry-After")
    # Only an overloaded upstream asks this host for a backoff with the header.
    asks_for_backoff = response.status == STATUS_OVERLOADED and retry_after is not None
    backoff_s = None
    if asks_for_backoff:
        backoff_s = clients.parse_decimal(retry_after, largest=math.inf)
    return gateway.Statements(
        upstream_id=headers.get(_names.INSTANCE_ID, ""),
        is_leaving=headers.get(_names.SERVER_LEAVING, "").strip() == "1",
        rate_limit_per_s=clients.parse_decimal(headers.get(_names.SERVER_LIMIT)),
        backoff_s=backoff_s,
        has_unreadable_backoff=asks_for_backoff and backoff_s is None,
    )


def build_refusal_headers(refusal, request_id):
    """Return the headers of an error response that the gateway itself sends.

    Parameters
    ----------
    refusal : domain.Refusal
        Error to send; states when to retry.
    request_id : str
        ID of the request; may be empty.

    Returns
    -------
    list of (str, str)
        Headers except those that describe the body.
    """
    headers = [(_names.REQUEST_ID, request_id)] if request_id else []
    retry_after_s = refusal.error_response().retry_after_s
    if retry_after_s:
        headers.append(("Retry-After", f"{retry_after_s:.3f}".rstrip("0").rstrip(".")))
    return headers


def _join_addresses(addresses):
    # One entry for each block of the prompt; a dash if it has no address.
    return ",".join(address or "-" for address in addresses)


def _iterate_headers(environ):
    for name, text in environ.items():
        if name.startswith("HTTP_"):
            yield name[5:].replace("_", "-").lower(), text
    if "CONTENT_TYPE" in environ:
        yield "content-type", environ["CONTENT_TYPE"]


def _select_forwarded_headers(headers_by_name):
    connection_options = clients.parse_connection_options(
        headers_by_name.get("connection", "")
    )
    return tuple(
        (name, text)
        for name, text in headers_by_name.items()
        if name not in _names.CONNECTION_HEADERS
        and name not in _names.SYSTEM_HEADERS
        and name not in connection_options
    )


def _is_event_stream(headers):
    coding = headers.get("Content-Encoding", "").strip().lower()
    is_plain = coding in ("", PLAIN_CODING)
    return is_plain and clients.is_event_stream(headers.get("Content-Type", ""))


def _parse_framing(response):
    if response.chunked:
        return gateway.Framing.CHUNKS
    if response.length_remaining is None:
        return gateway.Framing.CONNECTION_END
    return gateway.Framing.LENGTH


def _parse_deadline(headers_by_name, now):
    text = headers_by_name.get(_names.DEADLINE_MS.lower())
    if text is None:
        return None
    remaining_ms = clients.parse_integer(text)
    if remaining_ms is None:
        return _refuse(f"{_names.DEADLINE_MS} is not a whole number of milliseconds")
    return now + min(remaining_ms / 1000, MAX_REMAINING_S)


def _parse_prompt(headers_by_name):
    if _names.PROMPT_PREFIX.lower() not in headers_by_name:
        return None
    blocks = []
    for entry in headers_by_name[_names.PROMPT_PREFIX.lower()].split(","):
        block_id, _, tokens = entry.strip().rpartition(":")
        if not block_id or clients.parse_integer(tokens) is None:
            return _refuse(f"{_names.PROMPT_PREFIX} is not a list of ID:TOKENS")
        blocks.append(gateway.PromptBlock(block_id, int(tokens)))
    counts = headers_by_name.get(_names.TOKEN_COUNT.lower(), "").split(",")
    numbers = [clients.parse_integer(count.strip()) or 0 for count in counts]
    return gateway.Prompt(
        model=headers_by_name.get(_names.MODEL.lower(), ""),
        blocks=tuple(blocks),
        input_tokens=numbers[0] or sum(block.tokens for block in blocks),
        output_tokens=numbers[1] if len(numbers) > 1 else 0,
    )


def _parse_api_key(headers_by_name):
    text = headers_by_name.get("authorization", "")
    if not text.lower().startswith(BEARER_PREFIX):
        return None
    return text[len(BEARER_PREFIX) :].strip()


def _refuse(reason):
    return domain.Refusal(domain.ErrorKind.BAD_REQUEST, reason)
