"""Checks of the guarantees to callers, on the observations of both ends."""

import collections

import attrs

from tests.soak import callers, upstreams

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REFUSED_STATUSES = frozenset({400, 401, 403, 404, 413, 431})
RUN_ONCE_KINDS = frozenset(
    {
        callers.RequestKind.UNSAFE,
        callers.RequestKind.ONCE,
        callers.RequestKind.PROMPT_ONCE,
    }
)
PLAIN_KINDS = frozenset({callers.RequestKind.SAFE, callers.RequestKind.UNSAFE})
MIN_SERVED_SHARE = 0.95
# Bound of the users' platform.
DRAIN_S = 2.0
BACKOFF_UNBOUND_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
STABILITY_WINDOW_S = 3.0
COUNTED_ENDS = 3
MAX_LATE_ENDS = 3


def check(outcomes, runs):
    """Check the outcomes of all requests.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        Outcomes that the callers observed.
    runs : list of run_log.Run
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


def name_senders(outcomes, senders_by_request):
    """Replace the hosts of requests that were forwarded by those that sent them.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        Outcomes that the callers observed.
    senders_by_request : dict of str to str
        Host to which each of the forwarded requests was forwarded, by request ID.

    Returns
    -------
    list of callers.Outcome
        In the same order.
    """
    return [
        attrs.evolve(each, host=senders_by_request.get(each.request_id, each.host))
        for each in outcomes
    ]


def check_leaving(outcomes, runs, signalled_s_by_host):
    """Check that hosts avoid upstreams that told them that they leave.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        Outcomes that the callers observed.
    runs : list of run_log.Run
        Requests that the upstreams ran.
    signalled_s_by_host : dict of str to list of float
        When each host was signalled; it need not remember what it was told before.

    Returns
    -------
    list of str
        One line for each request that reached a leaving upstream too late.
    """
    runs_by_request = collections.defaultdict(list)
    for run in runs:
        runs_by_request[run.request_id].append(run)
    told_times_by_pair = collections.defaultdict(list)
    violations = []
    for outcome in sorted(outcomes, key=lambda each: each.ended_s):
        reached = runs_by_request[outcome.request_id]
        signalled_s = signalled_s_by_host.get(outcome.host, ())
        for upstream in [run.upstream for run in reached]:
            told_times_s = told_times_by_pair[outcome.host, upstream]
            if _is_too_late(outcome, told_times_s, signalled_s):
                violations.append(
                    f"{outcome.request_id} at {outcome.host} reached {upstream} "
                    f"later than {DRAIN_S} s after it said that it leaves"
                )
        # A resumed stream has the head of another upstream than its end.
        leaving = [run.upstream for run in reached if run.says_leaving]
        if outcome.says_leaving and leaving:
            told_times_by_pair[outcome.host, leaving[-1]].append(outcome.ended_s)
    return violations


def _is_too_late(outcome, told_times_s, signalled_s):
    return any(
        outcome.sent_s > told_s + DRAIN_S
        and not any(told_s <= each <= outcome.ended_s for each in signalled_s)
        for told_s in told_times_s
    )


def check_versions(outcomes):
    """Check that the events of a stream are all of one software version.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        Outcomes that the callers observed; some take up the stream of another one.

    Returns
    -------
    list of str
        One line for each stream that holds events of several versions.
    """
    versions_by_first = collections.defaultdict(set)
    for outcome in outcomes:
        first = outcome.resumes or outcome.request_id
        versions_by_first[first] |= upstreams.list_versions(outcome.body)
    return [
        f"the stream of {first} holds events of {sorted(versions)}"
        for first, versions in versions_by_first.items()
        if len(versions) > 1
    ]


def check_backoff(outcomes, runs, refusals, signalled_s_by_host, link_faults_by_id):
    """Check that hosts leave upstreams alone for the time that a refusal names.

    Parameters
    ----------
    outcomes : list of callers.Outcome
        Outcomes that the callers observed.
    runs : list of run_log.Run
        Requests that the upstreams ran.
    refusals : list of run_log.Refusal
        Requests that the upstreams refused, each with a time.
    signalled_s_by_host : dict of str to list of float
        When each host was signalled; it need not remember what it was told before.
    link_faults_by_id : dict of str to list of (float, float)
        Faults of the link to each upstream, which may have lost a refusal.

    Returns
    -------
    list of str
        One line for each refusal after which too many requests followed.
    """
    host_by_request = {each.request_id: each.host for each in outcomes}
    times_by_pair = collections.defaultdict(list)
    for each in [*runs, *refusals]:
        pair = host_by_request.get(each.request_id), each.upstream
        times_by_pair[pair].append(each.at_s)
    violations = []
    for refusal in refusals:
        host = host_by_request.get(refusal.request_id)
        signalled_s = signalled_s_by_host.get(host, ())
        # A host that is signalled later need not remember what it was told.
        ends_s = min(
            [refusal.at_s + upstreams.BACKOFF_S]
            + [each for each in signalled_s if each >= refusal.at_s]
        )
        is_excused = host is None or _overlaps(
            refusal.at_s - callers.DEADLINE_S,
            ends_s,
            [(each, each) for each in signalled_s if each < refusal.at_s]
            + [tuple(each) for each in link_faults_by_id.get(refusal.upstream, ())],
        )
        count = sum(
            refusal.at_s + BACKOFF_UNBOUND_S < at_s < ends_s
            for at_s in times_by_pair[host, refusal.upstream]
        )
        if count > MAX_REQUESTS_IN_BACKOFF and not is_excused:
            violations.append(
                f"{count} requests of {host} reached {refusal.upstream} before the "
                f"end of its backoff, told with {refusal.request_id}"
            )
    return violations


def _overlaps(begins_s, ends_s, intervals):
    return any(first <= ends_s and last >= begins_s for first, last in intervals)


def check_memory(peaks_mb_by_host, limit_mb):
    """Check that no process has used more memory than its host has.

    Parameters
    ----------
    peaks_mb_by_host : dict of str to list of float
        Highest use of each process that ran until it was ended, MB.
    limit_mb : float
        Memory of a host, MB.

    Returns
    -------
    list of str
        One line for each process that used more.
    """
    return [
        f"a process of {host} used {peak_mb:.0f} MB of {limit_mb}"
        for host, peaks_mb in peaks_mb_by_host.items()
        for peak_mb in peaks_mb
        if peak_mb > limit_mb
    ]


def check_fatal(ended_s):
    """Check that a request which ends upstreams soon reaches no more of them.

    Parameters
    ----------
    ended_s : list of float
        Monotonic times at which it ended an upstream.

    Returns
    -------
    list of str
        One line if it reached too many.
    """
    if len(ended_s) < COUNTED_ENDS:
        return ["the fatal request reached too few upstreams to tell"]
    bound_s = sorted(ended_s)[COUNTED_ENDS - 1] + STABILITY_WINDOW_S
    late = sum(each > bound_s for each in ended_s)
    if late <= MAX_LATE_ENDS:
        return []
    return [f"a request ended {late} upstreams more than the window after the third"]


def check_recovery(outcomes):
    """Check that requests succeed after the faults have ended."""
    if not outcomes:
        return ["after the faults, a host did not become ready"]
    served = [each for each in outcomes if each.status == 200 and each.is_complete]
    if len(served) >= MIN_SERVED_SHARE * len(outcomes):
        return []
    return [f"after the faults, {len(served)} of {len(outcomes)} requests were served"]


def _expected(outcome):
    if outcome.kind not in PLAIN_KINDS:
        first = outcome.last_event_id + 1
        versions = upstreams.list_versions(outcome.body) or {b"v1"}
        # Of several versions one makes the body wrong, and another check reports it.
        version = min(versions).decode()
        return upstreams.make_stream(outcome.request_id, first, version)
    return upstreams.make_body(outcome.request_id)
