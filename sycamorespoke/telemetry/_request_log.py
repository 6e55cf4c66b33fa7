"""The log lines that tell what became of one request."""

import datetime

import attrs
import msgspec

# What a host came to believe up to this long before the request's first line.
LOOKBACK_S = 5.0
STATE_EVENTS = frozenset(
    {
        "configuration in force",
        "upstream changed",
        "upstream gone",
        "upstream left out",
        "data centres out",
        "weights named",
        "engines load weights",
        "source lost",
        "source regained",
        "taken as gone",
        "store of parts lost",
        "store of parts known",
        "shutdown started",
        "gateway started",
        "lines left out",
        "log lines dropped",
    }
)


@attrs.frozen
class LogLine:
    """A log line.

    Parameters
    ----------
    at : str
        Time of day, ISO 8601.
    host : str
        Host that wrote it.
    event : str
        What happened.
    request_id : str
        Request that it concerns; empty for none.
    fields : dict of str to object
        Everything else.
    """

    at: str
    host: str
    event: str
    request_id: str
    fields: dict


def parse_line(text):
    """Read a log line.

    Parameters
    ----------
    text : str
        A line; what stands before its first brace is left out.

    Returns
    -------
    LogLine or None
        ``None`` for what is no line of ours.

    Examples
    --------
    >>> line = parse_line('{"at":"t","host":"h","event":"e","request_id":"r","n":1}')
    >>> line.request_id, line.fields
    ('r', {'n': 1})
    >>> parse_line("Traceback:") is None
    True
    """
    try:
        value = msgspec.json.decode(text[text.index("{") :])
        at, host, event = value.pop("at"), value.pop("host"), value.pop("event")
    except (ValueError, KeyError, AttributeError):
        return None
    return LogLine(at, host, event, value.pop("request_id", "") or "", value)


def select_request_lines(lines, request_id):
    """Select the lines that explain what became of a request.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of any hosts, those of one host in order.
    request_id : str
        The request.

    Returns
    -------
    list of Line
        Its own lines, and what its hosts came to believe shortly before it and
        meanwhile, by host and in order; empty if no line concerns it.
    """
    by_host = {}
    for line in lines:
        by_host.setdefault(line.host, []).append(line)
    story = []
    for host_lines in by_host.values():
        positions = [
            position
            for position, line in enumerate(host_lines)
            if line.request_id == request_id
        ]
        if positions:
            story.extend(_select(host_lines, positions, request_id))
    return story


def _select(lines, positions, request_id):
    first_s = _seconds(lines[positions[0]].at)
    for position, line in enumerate(lines[: positions[-1] + 1]):
        is_own = line.request_id == request_id
        is_recent = abs(first_s - _seconds(line.at)) <= LOOKBACK_S
        is_during_request = position > positions[0]
        if is_own or (line.event in STATE_EVENTS and (is_recent or is_during_request)):
            yield line


def _seconds(at):
    return msgspec.convert(at, type=datetime.datetime).timestamp()
