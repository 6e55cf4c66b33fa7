"""Run a non-idempotent request at most once."""

import time

import attrs

from sycamorespoke import clients, decisions, domain

REPLAYED_HEADER = ("Idempotency-Replayed", "true")
NO_BODY_HEADER = ("X-Body-Recorded", "false")


@attrs.frozen
class ServiceRequest:
    """A request to a plain service.

    Parameters
    ----------
    account : str
        Name of the client account.
    route : str
        Name of the route.
    method, path : str
        HTTP method and path as the caller sent them.
    headers : tuple of (str, str)
        Headers to forward.
    body : bytes
        Complete body.
    request_id : str
        Request ID of this attempt of the caller.
    idempotency_key : str, default=""
        Idempotency key of the caller, empty for none.
    echoes_request_id : bool, default=True
        Whether the upstream echoes the request ID, see `domain.Contract`.
    """

    account: str
    route: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    idempotency_key: str = ""
    echoes_request_id: bool = True


def run_once(
    claims,
    service_client,
    request,
    upstreams,
    deadline_s,
    wall_now,
    clock=time.monotonic,
):
    """Run a non-idempotent request at most once.

    Parameters
    ----------
    claims : Claims
        Claims of requests with an idempotency key.
    service_client : clients.ServiceClient
        Sends the request.
    request : ServiceRequest
        The request.
    upstreams : iterable of domain.Host
        Upstreams in order of preference. The iterator is advanced to the next one
        only if nothing could be sent to the previous one.
    deadline_s : float
        Deadline of the request, in seconds of ``clock``.
    wall_now : float
        Current time in seconds since the epoch.
    clock : callable, default=time.monotonic
        Returns the current time, in seconds.

    Returns
    -------
    clients.ServiceResponse or domain.Refusal
        The upstream's response, the recorded response of an earlier run, or a
        refusal.

    Notes
    -----
    A request without an idempotency key is sent once and not claimed, because a
    retry by its caller could not be recognized.
    """
    if not request.idempotency_key:
        return _send(service_client, request, upstreams, deadline_s, clock)
    key_hash = decisions.hash_claim_key(
        request.account, request.route, request.idempotency_key
    )
    fingerprint = decisions.hash_request(request.method, request.path, request.body)
    left_s = deadline_s - clock()
    if left_s <= 0.0:
        return _make_deadline_refusal()
    claimed = claims.claim(key_hash, fingerprint, wall_now, deadline_s=left_s)
    if isinstance(claimed, domain.Refusal):
        return claimed
    if isinstance(claimed, decisions.Recorded):
        return _replay(claimed.outcome)
    result = _send(service_client, request, upstreams, deadline_s, clock)
    _record_result(claims, claimed.token, result)
    return result


def _send(service_client, request, upstreams, deadline_s, clock):
    result = domain.Refusal(
        domain.ErrorKind.NO_UPSTREAM, "no upstream is eligible for the request"
    )
    for host in upstreams:
        left_s = deadline_s - clock()
        if left_s <= 0.0:
            return _make_deadline_refusal()
        result = service_client.send(
            host,
            request.method,
            request.path,
            request.headers,
            request.body,
            left_s,
            request.request_id,
            echoes_request_id=request.echoes_request_id,
        )
        if not _is_unsent(result):
            return result
    return result


def _is_unsent(result):
    return (
        isinstance(result, domain.Refusal)
        and result.kind is domain.ErrorKind.UPSTREAM_UNREACHABLE
    )


def _record_result(claims, token, result):
    if isinstance(result, clients.ServiceResponse):
        outcome = decisions.Outcome(result.status, result.headers, result.body)
        claims.record(token, outcome)
    elif result.error_response().execution is domain.Execution.NOT_RUN:
        claims.release(token)
    else:
        claims.record(token, decisions.Outcome(status=0))


def _replay(outcome):
    headers = (*outcome.headers, REPLAYED_HEADER)
    if outcome.body is None:
        return clients.ServiceResponse(outcome.status, (*headers, NO_BODY_HEADER), b"")
    return clients.ServiceResponse(outcome.status, headers, outcome.body)


def _make_deadline_refusal():
    return domain.Refusal(
        domain.ErrorKind.DEADLINE_BEFORE_SEND,
        "the deadline passed before the request was sent",
    )
