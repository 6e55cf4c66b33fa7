"""Responses to callers, in the form of the OpenAI completions protocol."""

import http

import msgspec


def render_refusal(refusal, request_id):
    """Render a refusal as a JSON response body.

    Parameters
    ----------
    refusal : domain.Refusal
        The refusal.
    request_id : str
        ID of the request.

    Returns
    -------
    bytes
        JSON.
    """
    error_response = refusal.error_response()
    error = {
        "type": refusal.kind.value,
        "code": refusal.kind.value,
        "message": refusal.reason,
        "execution": error_response.execution.value,
        "request_id": request_id,
    }
    return msgspec.json.encode({"error": error})


def send_refusal(start_response, refusal, request_id):
    """Respond to a request with a refusal.

    Parameters
    ----------
    start_response : callable
        ``start_response`` of WSGI.
    refusal : domain.Refusal
        The refusal.
    request_id : str
        ID of the request.

    Returns
    -------
    list of bytes
        Response body for WSGI.
    """
    error_response = refusal.error_response()
    headers = [("X-Execution", error_response.execution.value)]
    if error_response.retry_after_s:
        headers.append(("Retry-After", str(error_response.retry_after_s)))
    body = render_refusal(refusal, request_id)
    return send_body(start_response, error_response.status, body, request_id, headers)


def send_body(start_response, status, body, request_id, headers=()):
    """Respond to a request with a JSON body.

    Parameters
    ----------
    start_response : callable
        ``start_response`` of WSGI.
    status : int
        HTTP status.
    body : bytes
        JSON.
    request_id : str
        ID of the request.
    headers : iterable of tuple of (str, str), default=()
        Additional headers.

    Returns
    -------
    list of bytes
        Response body for WSGI.
    """
    all_headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
        *headers,
    ]
    start_response(format_status(status), all_headers)
    return [body]


def format_status(status):
    """Format an HTTP status line for WSGI.

    Examples
    --------
    >>> format_status(503), format_status(499)
    ('503 Service Unavailable', '499 Unknown')
    """
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"


class CompletionRenderer:
    """Renders the events or the body of one completion response.

    Parameters
    ----------
    completion : Completion
        The requested completion.
    request_id : str
        ID of the request.
    created : int
        Creation time, seconds since the epoch.
    """

    def __init__(self, completion, request_id, created):
        self.completion = completion
        self.request_id = request_id
        self.created = created
        self._token_start, self._token_end = self._split_token_event()

    def render_token(self, text):
        """Render the event of one token."""
        return self._token_start + msgspec.json.encode(text) + self._token_end

    def render_end(self, reason, usage):
        """Render the last events of a complete stream."""
        choice = self._choice("", reason)
        event = self._envelope(choice, is_chunk=True)
        event["usage"] = usage
        return b"data: " + msgspec.json.encode(event) + b"\n\ndata: [DONE]\n\n"

    def render_failure(self, refusal):
        """Render the error event that ends an incomplete stream."""
        return b"data: " + render_refusal(refusal, self.request_id) + b"\n\n"

    def render_response(self, text, reason, usage):
        """Render a complete response as a single JSON body."""
        choice = self._choice(text, reason, is_full_message=True)
        response = self._envelope(choice, is_chunk=False)
        response["usage"] = usage
        return msgspec.json.encode(response)

    def _split_token_event(self):
        # The token events of a stream differ only in their text, so the JSON
        # around it is encoded once.
        placeholder = "\x00"
        event = self._envelope(self._choice(placeholder, None), is_chunk=True)
        event_bytes = b"data: " + msgspec.json.encode(event) + b"\n\n"
        start, end = event_bytes.split(msgspec.json.encode(placeholder))
        return start, end

    def _choice(self, text, reason, is_full_message=False):
        if not self.completion.is_chat:
            return {"index": 0, "text": text, "logprobs": None, "finish_reason": reason}
        field = "message" if is_full_message else "delta"
        message = {"role": "assistant", "content": text}
        return {"index": 0, field: message, "logprobs": None, "finish_reason": reason}

    def _envelope(self, choice, is_chunk):
        return {
            "id": f"cmpl-{self.request_id}",
            "object": self._object_name(is_chunk),
            "created": self.created,
            "model": self.completion.model,
            "choices": [choice],
        }

    def _object_name(self, is_chunk):
        if not self.completion.is_chat:
            return "text_completion"
        return "chat.completion.chunk" if is_chunk else "chat.completion"
