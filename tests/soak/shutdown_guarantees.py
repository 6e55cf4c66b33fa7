"""Checks of how processes end after SIGTERM, from the lines that they log."""

import datetime
import json

# Requests sent later than this after the signal must not be at work in the end.
EARLY_S = 3.0
NOT_DRAINED_STATUS = 3
LAST_LINES = ("call refused", "stream broken off")


def check_exit(host, status, allowed_statuses, log):
    """Check the exit status of a process that got SIGTERM.

    A process may have to end requests that were sent soon after the signal, and whose
    deadline is later than its own end; it says so in its status.

    Parameters
    ----------
    host : str
        Name of the host.
    status : int or None
        Exit status; ``None`` if it has not ended in time.
    allowed_statuses : collection of int
        Statuses that need no reason.
    log : str
        Lines of the process.

    Returns
    -------
    list of str
        One line if the process must not have ended in this way.
    """
    if status in allowed_statuses:
        return []
    if status == NOT_DRAINED_STATUS and _has_ended_early_requests_only(log):
        return []
    return [f"{host} exited with status {status} after SIGTERM"]


def _has_ended_early_requests_only(log):
    lines = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
    events = [line["event"] for line in lines]
    if "shutdown started" not in events or "requests ended by shutdown" not in events:
        return False
    begun_s = _read_time_s(lines[events.index("shutdown started")])
    index = events.index("requests ended by shutdown")
    ended = [line for line in lines[index:] if line["event"] in LAST_LINES]
    is_early = all(
        _read_time_s(line) - line["duration_ms"] / 1000 <= begun_s + EARLY_S
        for line in ended
    )
    return len(ended) >= lines[index]["requests"] and is_early


def _read_time_s(line):
    return datetime.datetime.fromisoformat(line["at"]).timestamp()
