"""Lines of the answer of an engine."""

import json

from sycamorespoke.standins import _runs, _wsgi


def generate_lines(run, started, faults, has_wrong_id, wait_for_token):
    """Make the lines of an answer as they are due.

    Parameters
    ----------
    run : Run
        The request.
    started : dict
        Fields of the first line beside the id.
    faults : callable
        Returns the faults in force.
    has_wrong_id : bool
        The answer carries the id of another request.
    wait_for_token : callable
        Passes the time of one token.

    Yields
    ------
    bytes
        One line, as in docs/PROTOCOLS.md.
    """
    response_id = f"other-{run.request_id}" if has_wrong_id else run.request_id
    prompt = run.value["prompt"]
    start_at = int(run.value.get("start_at", 0))
    count, reason = _runs.count_answer_tokens(prompt, run.value["max_tokens"])
    digest = _runs.digest_prompt(prompt)
    yield _make_line(request_id=response_id, **started)
    for index in range(start_at, count):
        wait_for_token()
        cut_after = faults()["cut_after_tokens"]
        if cut_after and index - start_at >= cut_after:
            raise _wsgi.AbortConnectionError("cut")
        text = _runs.make_token_of_digest(digest, index)
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
