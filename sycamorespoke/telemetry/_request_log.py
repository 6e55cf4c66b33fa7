"""Selects the log lines that explain the outcome of one request."""

import datetime

import attrs
import msgspec

# A state event counts as context of a request if its time is within this of the
# request's first line.
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
    """A parsed log line.

    Parameters
    ----------
    at : str
        Date and time, ISO 8601.
    host : str
        Name of the host that wrote the line.
    event : str
        Name of the log event.
    request_id : str
        ID of the request that the line concerns; empty for none.
    fields : dict of str to object
        All other keys of the line.
    """

    at: str
    host: str
    event: str
    request_id: str
    fields: dict


def parse_line(text):
    """Parse a log line.

    Parameters
    ----------
    text : str
        One line of a log file; text before the first brace is ignored.

    Returns
    -------
    LogLine or None
        ``None`` if the text is not a log line of this project.

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
    """Select the log lines that explain the outcome of a request.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of any number of hosts; the lines of one host are in order.
    request_id : str
        ID of the request.

    Returns
    -------
    list of LogLine
        The request's own lines and the state events of the same hosts shortly
        before or during the request, grouped by host and in order; empty if no line
        concerns the request.
    """
    by_host = {}
    for line in lines:
        by_host.setdefault(line.host, []).append(line)
    selected = []
    for host_lines in by_host.values():
        positions = [
            position
            for position, line in enumerate(host_lines)
            if line.request_id == request_id
        ]
        if positions:
            selected.extend(_select(host_lines, positions, request_id))
    return selected


def _select(lines, positions, request_id):
    first_s = _parse_timestamp_s(lines[positions[0]].at)
    for position, line in enumerate(lines[: positions[-1] + 1]):
        is_own = line.request_id == request_id
        is_recent = abs(first_s - _parse_timestamp_s(line.at)) <= LOOKBACK_S
        is_during_request = position > positions[0]
        if is_own or (line.event in STATE_EVENTS and (is_recent or is_during_request)):
            yield line


def _parse_timestamp_s(at):
    return msgspec.convert(at, type=datetime.datetime).timestamp()
