"""Checks of the guarantees to callers, on the observations of both ends."""

import collections

from tests.soak import callers, upstreams

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REFUSED_STATUSES = frozenset({400, 401, 403, 404, 413, 431})
RUN_ONCE_KINDS = frozenset({callers.RequestKind.UNSAFE, callers.RequestKind.ONCE})
MIN_SERVED_SHARE = 0.95


def check(outcomes, runs):
    """Check the outcomes of all requests.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        Outcomes that the callers observed.
    runs : list of upstreams.Run
        Requests that the upstreams ran.

    Returns
    -------
    list of str
        One line for each violated guarantee.
    """
    runs_by_id = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append(run)
    violations = []
    for outcome in outcomes:
        ran = runs_by_id.pop(outcome.request_id, [])
        violations.extend(
            f"{outcome.request_id} ({outcome.kind.value} at {outcome.host}, status "
            f"{outcome.status}, ran {len(ran)} times): {line}"
            for line in check_one(outcome, ran)
        )
    violations.extend(f"{name} ran, but no caller sent it" for name in runs_by_id)
    return violations


def check_one(outcome, ran):
    """Check the outcome of a request; return a line for each violated guarantee."""
    violations = []
    is_success = outcome.status is not None and outcome.status < 300
    runs_once = outcome.kind in RUN_ONCE_KINDS
    if runs_once and len(ran) > 1:
        violations.append("ran more than once")
    if outcome.status in NOT_RUN_STATUSES and runs_once and ran:
        violations.append("ran although the status says that it has not")
    if outcome.status in REFUSED_STATUSES:
        violations.append("refused although it is valid and allowed")
    if is_success and not outcome.has_stamp:
        violations.append("success without the upstream's response stamp")
    if is_success and outcome.is_complete and outcome.body != _expected(outcome):
        violations.append(f"complete response with a wrong body: {outcome.body!r}")
    if is_success and not _expected(outcome).startswith(outcome.body):
        violations.append(f"wrong body received: {outcome.body!r}")
    return violations


def check_recovery(outcomes):
    """Check that requests succeed after the faults have ended."""
    if not outcomes:
        return ["after the faults, a host did not become ready"]
    served = [each for each in outcomes if each.status == 200 and each.is_complete]
    if len(served) >= MIN_SERVED_SHARE * len(outcomes):
        return []
    return [f"after the faults, {len(served)} of {len(outcomes)} requests were served"]


def _expected(outcome):
    if outcome.kind in (callers.RequestKind.STREAM, callers.RequestKind.ONCE):
        return upstreams.make_stream(outcome.request_id)
    return upstreams.make_body(outcome.request_id)
