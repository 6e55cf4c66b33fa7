"""Lines of an engine's response stream."""

import json

from sycamorespoke.standins import _runs, _wsgi


def generate_lines(run, first_line_fields, faults, has_wrong_id, wait_for_token):
    """Generate the lines of a response, each at the time when its token is ready.

    Parameters
    ----------
    run : Run
        The request.
    first_line_fields : dict
        Fields of the first line, without the request ID.
    faults : callable
        Returns the active faults.
    has_wrong_id : bool
        Whether the lines carry the ID of another request.
    wait_for_token : callable
        Waits until the next token is ready.

    Yields
    ------
    bytes
        One line, as in docs/PROTOCOLS.md.

    Raises
    ------
    AbortConnectionError
        When the fault ``cut_after_tokens`` ends the stream.
    """
    response_id = f"other-{run.request_id}" if has_wrong_id else run.request_id
    prompt = run.value["prompt"]
    start_at = int(run.value.get("start_at", 0))
    count, reason = _runs.count_answer_tokens(prompt, run.value["max_tokens"])
    digest = _runs.digest_prompt(prompt)
    yield _make_line(request_id=response_id, **first_line_fields)
    for index in range(start_at, count):
        wait_for_token()
        cut_after = faults()["cut_after_tokens"]
        if cut_after and index - start_at >= cut_after:
            raise _wsgi.AbortConnectionError("stream cut by a fault")
        text = _runs.make_token_from_digest(digest, index)
        line = _make_line(request_id=response_id, index=index, text=text)
        yield line
        if faults()["duplicate_lines"]:
            yield line
    reported_count = count + 1 if faults()["wrong_count"] else count
    yield _make_line(
        request_id=response_id, done=True, count=reported_count, reason=reason
    )


def _make_line(**fields):
    return json.dumps(fields).encode() + b"\n"
