"""Runs a workload: open-loop arrivals, and events at fixed times."""

import collections
import json
import threading
import time
from concurrent import futures

import attrs
import urllib3

from sycamorespoke.load import _schedule

EVENT_TIMEOUT_S = 10.0


@attrs.frozen
class UnreadableCounts:
    """Sentinel: the counts of a service or block store host could not be read.

    Parameters
    ----------
    reason : str
        URL and error.
    """

    reason: str


def run_schedule(workload, sender, write_line):
    """Send each request of a workload at its time and wait for the outcomes.

    Parameters
    ----------
    workload : Workload
        The workload.
    sender : Sender
        Sends the requests.
    write_line : callable
        Called with one line of text for each event.

    Returns
    -------
    list of Outcome
        Outcome of each arrival, in order of arrival.
    """
    arrivals = _schedule.make_schedule(workload)
    with futures.ThreadPoolExecutor(workload.in_flight) as executor:
        start_s = time.monotonic()
        timers = [_start_timer(event, start_s, write_line) for event in workload.events]
        running = []
        for arrival in arrivals:
            intended_start_s = start_s + arrival.at_s
            time.sleep(max(0.0, intended_start_s - time.monotonic()))
            running.append(executor.submit(sender.send, arrival, intended_start_s))
        outcomes = [future.result() for future in running]
    for timer in timers:
        timer.join()
    return outcomes


def read_counts(urls):
    """Read the number of runs of each idempotency key from the services.

    Parameters
    ----------
    urls : sequence of str
        URL of each service's counts.

    Returns
    -------
    dict of str to int or UnreadableCounts
        Number of runs by idempotency key, summed over the services.
    """
    runs_by_key = collections.Counter()
    for url in urls:
        try:
            response = urllib3.request("GET", url, retries=False, timeout=5.0)
            runs_by_key.update(json.loads(response.data)["runs_by_key"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            return UnreadableCounts(f"{url}: {error}")
    return dict(runs_by_key)


def read_transferred_bytes(urls):
    """Read the number of bytes transferred to and from the block store hosts.

    Parameters
    ----------
    urls : sequence of str
        URL of each block store host's counts.

    Returns
    -------
    int or UnreadableCounts
        Bytes read and written so far, summed over the store hosts.
    """
    transferred_bytes = 0
    for url in urls:
        try:
            response = urllib3.request("GET", url, retries=False, timeout=5.0)
            counts = json.loads(response.data)
            transferred_bytes += counts["read_bytes"] + counts["written_bytes"]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            return UnreadableCounts(f"{url}: {error}")
    return transferred_bytes


def _start_timer(event, start_s, write_line):
    delay_s = max(0.0, start_s + event.at_s - time.monotonic())
    timer = threading.Timer(delay_s, _perform_event, [event, write_line])
    timer.daemon = True
    timer.start()
    return timer


def _perform_event(event, write_line):
    line = f"{event.at_s:8.1f} s  {event.name}"
    if event.command:
        line += f"  due: {event.command}"
    if event.http is not None:
        line += f"  {_send_event_request(event.http)}"
    write_line(line)


def _send_event_request(http):
    try:
        response = urllib3.request(
            http.method,
            http.url,
            body=http.body.encode(),
            headers={"Content-Type": "application/json"},
            retries=False,
            timeout=EVENT_TIMEOUT_S,
        )
    except urllib3.exceptions.HTTPError as error:
        return f"{http.method} {http.url}: {error}"
    return f"{http.method} {http.url}: {response.status}"
