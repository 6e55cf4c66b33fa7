"""The promises to callers, checked on what callers and upstreams saw."""

import collections

from tests.soak import callers, upstreams

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REFUSED_STATUSES = frozenset({400, 401, 403, 404, 413, 431})
RUN_ONCE_KINDS = frozenset({callers.RequestKind.UNSAFE, callers.RequestKind.ONCE})
MIN_SERVED_SHARE = 0.95


def check(outcomes, runs):
    """Check every answer.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        What callers got.
    runs : list of upstreams.Run
        What ran.

    Returns
    -------
    list of str
        A line for each promise that was broken.
    """
    runs_by_id = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append(run)
    broken = []
    for outcome in outcomes:
        ran = runs_by_id.pop(outcome.request_id, [])
        broken.extend(
            f"{outcome.request_id} ({outcome.kind.value} at {outcome.host}, status "
            f"{outcome.status}, ran {len(ran)} times): {line}"
            for line in check_one(outcome, ran)
        )
    broken.extend(f"{name} ran, but nobody sent it" for name in runs_by_id)
    return broken


def check_one(outcome, ran):
    """Check one answer; return a line for each broken promise."""
    broken = []
    is_success = outcome.status is not None and outcome.status < 300
    runs_once = outcome.kind in RUN_ONCE_KINDS
    if runs_once and len(ran) > 1:
        broken.append("it ran more than once")
    if outcome.status in NOT_RUN_STATUSES and runs_once and ran:
        broken.append("the answer says that it has not run")
    if outcome.status in REFUSED_STATUSES:
        broken.append("it is allowed and was denied")
    if is_success and not outcome.has_receipt:
        broken.append("a success without the upstream's receipt")
    if is_success and outcome.is_whole and outcome.body != _expected(outcome):
        broken.append(f"the whole answer is another: {outcome.body!r}")
    if is_success and not _expected(outcome).startswith(outcome.body):
        broken.append(f"what came of the answer is another: {outcome.body!r}")
    return broken


def check_recovery(outcomes):
    """Check that callers are served once the faults are over."""
    if not outcomes:
        return ["after the faults no host got ready"]
    served = [each for each in outcomes if each.status == 200 and each.is_whole]
    if len(served) >= MIN_SERVED_SHARE * len(outcomes):
        return []
    return [f"after the faults {len(served)} of {len(outcomes)} were served"]


def _expected(outcome):
    if outcome.kind in (callers.RequestKind.STREAM, callers.RequestKind.ONCE):
        return upstreams.make_stream(outcome.request_id)
    return upstreams.make_body(outcome.request_id)
