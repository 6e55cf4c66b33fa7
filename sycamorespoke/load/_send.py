"""Sends the requests of the schedule to the entry hosts."""

import functools
import itertools
import json
import time

import attrs
import urllib3

from sycamorespoke import clients, domain
from sycamorespoke.load import _outcome, _schedule, _stream

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536


@attrs.frozen
class Attempt:
    """Result of sending a request to one entry host.

    Parameters
    ----------
    ending : Ending
        How the attempt ended.
    kind : str
        Error kind of a refusal or cause of a loss; empty for a complete response.
    stream : StreamReader or None
        Reader of the response stream, if there is one.
    head_s : float
        Monotonic time at which the response head arrived, in seconds.
    """

    ending: _outcome.Ending
    kind: str = ""
    stream: _stream.StreamReader | None = None
    head_s: float = 0.0


class Sender:
    """Sends the requests of a workload; safe to use from several threads.

    Parameters
    ----------
    workload : Workload
        The workload.
    entries : EntryHosts
        Entry hosts that the requests are sent to.
    run_id : str
        Unique ID of the run, prefix of each idempotency key and request ID.
    """

    def __init__(self, workload, entries, run_id):
        self.workload = workload
        self.entries = entries
        self.run_id = run_id
        self._pool = clients.CheckedPoolManager(
            num_pools=1000,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=workload.timeout_s),
        )

    def send(self, arrival, intended_start_s):
        """Send a request, with retries, and wait until it ends.

        Parameters
        ----------
        arrival : Arrival
            The request.
        intended_start_s : float
            Monotonic time at which the request should start, in seconds.

        Returns
        -------
        Outcome
            Outcome, with times relative to ``intended_start_s``.
        """
        time.sleep(2 * self.workload.client_delay_s)
        retries = 0
        excluded = []
        while True:
            address = self.entries.pick(excluded) or self.entries.pick()
            attempt = self._send_to_entry(arrival, address, len(excluded))
            is_unreachable = attempt.kind == "entry_unreachable"
            if attempt.ending is not _outcome.Ending.REFUSED:
                break
            if is_unreachable and len(excluded) < len(self.entries.addresses):
                # No connection was made: try the next host, as a load balancer does.
                excluded.append(address)
                self.entries.set_ready(address, False)
                continue
            if retries >= self.workload.not_run_retries:
                break
            retries += 1
            excluded.append(address)
        return _make_outcome(arrival, attempt, address, intended_start_s, retries)

    def make_booking_key(self, arrival):
        """Make the idempotency key of a booking.

        Parameters
        ----------
        arrival : Arrival
            The booking.

        Returns
        -------
        str
            Key that is unique across runs.
        """
        return f"{self.run_id}-{arrival.key}"

    def _send_to_entry(self, arrival, address, number):
        if address is None:
            return Attempt(_outcome.Ending.REFUSED, "no_entry_ready")
        request_id = f"{self.run_id}-{arrival.key}-{number}"
        account = self.workload.accounts[arrival.account]
        headers = {
            "Authorization": f"Bearer {account.api_key}",
            "Connection": "close",
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
        }
        request = make_request(arrival, self.make_booking_key(arrival))
        try:
            response = self._pool.request(
                request.method,
                f"http://{address}{request.path}",
                body=request.body,
                headers=headers | request.headers,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return Attempt(_outcome.Ending.REFUSED, "entry_unreachable")
        except urllib3.exceptions.HTTPError as error:
            return Attempt(_outcome.Ending.LOST, type(error).__name__)
        try:
            return _read_response(arrival, response, request_id)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return Attempt(_outcome.Ending.LOST, type(error).__name__)
        finally:
            response.close()


@attrs.frozen
class Request:
    """An HTTP request.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Request path.
    body : bytes or None
        Request body.
    headers : dict of str to str
        Headers besides those of every request.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: dict[str, str] = attrs.field(factory=dict)


def make_request(arrival, key):
    """Make the HTTP request of an arrival.

    Parameters
    ----------
    arrival : Arrival
        Request of the schedule.
    key : str
        Idempotency key, used only for a booking.

    Returns
    -------
    Request
        The HTTP request.
    """
    if arrival.kind is _schedule.RequestKind.LOOKUP:
        return Request("GET", arrival.path)
    if arrival.kind is _schedule.RequestKind.BOOKING:
        body = json.dumps({"slot": arrival.key, "name": key}).encode()
        return Request("POST", arrival.path, body, {"Idempotency-Key": key})
    body = {
        "model": arrival.model,
        "prompt": _schedule.make_prompt(arrival.thread, arrival.prompt_tokens),
        "max_tokens": arrival.answer_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    return Request("POST", "/v1/completions", json.dumps(body).encode())


def _read_response(arrival, response, request_id):
    head_s = time.monotonic()
    if response.status >= 400 and "X-Execution" in response.headers:
        return _read_refusal(response, head_s)
    if response.headers.get("X-Request-Id") != request_id:
        return Attempt(_outcome.Ending.LOST, "wrong_request_id")
    if arrival.kind is not _schedule.RequestKind.PROMPT:
        response.read()
        if response.status >= 500:
            return Attempt(_outcome.Ending.LOST, f"status_{response.status}")
        return Attempt(_outcome.Ending.ANSWERED, head_s=head_s)
    if response.status != 200:
        return Attempt(_outcome.Ending.LOST, f"status_{response.status}")
    return _read_stream(response, head_s)


def _read_refusal(response, head_s):
    kind = json.loads(response.read())["error"]["code"]
    if response.headers["X-Execution"] == domain.Execution.NOT_RUN.value:
        return Attempt(_outcome.Ending.REFUSED, kind, head_s=head_s)
    return Attempt(_outcome.Ending.LOST, kind, head_s=head_s)


def _read_stream(response, head_s):
    stream = _stream.StreamReader()
    for data in iter(functools.partial(response.read1, READ_BYTES), b""):
        stream.parse_chunk(data, time.monotonic())
    fault = stream.find_fault()
    if not fault:
        return Attempt(_outcome.Ending.ANSWERED, "", stream, head_s)
    is_not_run = stream.execution == domain.Execution.NOT_RUN.value
    if is_not_run and not stream.token_times_s:
        return Attempt(_outcome.Ending.REFUSED, fault, stream, head_s)
    return Attempt(_outcome.Ending.LOST, fault, stream, head_s)


def _make_outcome(arrival, attempt, address, intended_start_s, retries):
    stream = attempt.stream or _stream.StreamReader()
    times = stream.token_times_s
    first_token_at_s = times[0] if times else attempt.head_s or time.monotonic()
    return _outcome.Outcome(
        arrival=arrival,
        ending=attempt.ending,
        kind=attempt.kind,
        entry=address or "",
        first_token_s=first_token_at_s - intended_start_s,
        total_s=time.monotonic() - intended_start_s,
        gaps_s=tuple(b - a for a, b in itertools.pairwise(times)),
        prompt_tokens=stream.prompt_tokens,
        cached_tokens=stream.cached_tokens,
        not_run_retries=retries,
    )
