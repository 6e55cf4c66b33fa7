"""Summary of a run, printed as a table and written as JSON."""

import collections

import attrs
from hdrh import histogram

from sycamorespoke.load import _outcome, _schedule

HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1e6
MEGABYTE = 1e6


@attrs.frozen
class Bookings:
    """Bookings of a run, compared with the runs that the services counted.

    Parameters
    ----------
    sent : int
        Bookings sent.
    landed : int
        Bookings that ran at least once.
    doubled : int
        Bookings that ran more than once.
    answered_not_landed : int
        Bookings that were answered but did not run.
    refused_but_landed : int
        Bookings that were refused as not run but did run.
    """

    sent: int = 0
    landed: int = 0
    doubled: int = 0
    answered_not_landed: int = 0
    refused_but_landed: int = 0


@attrs.frozen
class Report:
    """Summary of a run.

    Parameters
    ----------
    workload : str
        Name of the workload.
    seed : int
        Seed of the workload.
    requests, answered, refused, lost : int
        Number of requests, in total and by ending.
    refused_by_kind, lost_by_kind : dict of str to int
        Counts by error kind or cause.
    not_run_retries : int
        Retries after refusals that stated "not run".
    first_token_p50_ms, first_token_p95_ms : float
        Time from a prompt's intended start to its first token, in milliseconds.
    gap_p95_ms : float
        Time between tokens, in milliseconds.
    call_p95_ms : float
        Time from the intended start to the end of a booking or look-up, in
        milliseconds.
    share_recomputed : float or None
        Share of prompt tokens that were not cached, 0 to 1; ``None`` if no usage
        was reported.
    link_bytes : int or None
        Bytes transferred to and from store hosts; ``None`` if it was not read.
    bookings : Bookings or None
        ``None`` if the services' counts were not read.
    events : list of dict
        Time and name of each event.
    timeline : list of dict
        Time, kind, account, ending, error kind, time to first token and entry host
        of each request.
    """

    workload: str
    seed: int
    requests: int
    answered: int
    refused: int
    lost: int
    refused_by_kind: dict[str, int]
    lost_by_kind: dict[str, int]
    not_run_retries: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    gap_p95_ms: float
    call_p95_ms: float
    share_recomputed: float | None
    link_bytes: int | None
    bookings: Bookings | None
    events: list[dict]
    timeline: list[dict]

    def is_clean(self):
        """Return whether no request was lost and no booking was wrong.

        Returns
        -------
        bool
            ``False`` if a request was lost, or if a booking ran twice, was answered
            without a run or ran although it was refused.
        """
        bookings = self.bookings or Bookings()
        wrong = bookings.doubled + bookings.answered_not_landed
        return not (self.lost or wrong or bookings.refused_but_landed)


def summarise(workload, outcomes, bookings, link_bytes=None):
    """Summarise the outcomes of a run.

    Parameters
    ----------
    workload : Workload
        Workload that was run.
    outcomes : list of Outcome
        Outcome of each request.
    bookings : Bookings or None
        Result of `count_bookings`; ``None`` if the services' counts were not read.
    link_bytes : int or None, default=None
        Bytes transferred to and from store hosts.

    Returns
    -------
    Report
        Summary of the run.
    """
    by_ending = collections.defaultdict(list)
    for outcome in outcomes:
        by_ending[outcome.ending].append(outcome)
    answered = by_ending[_outcome.Ending.ANSWERED]
    prompts = [o for o in answered if o.arrival.kind is _schedule.RequestKind.PROMPT]
    service_requests = [
        o for o in answered if o.arrival.kind is not _schedule.RequestKind.PROMPT
    ]
    first_token = make_histogram(o.first_token_s for o in prompts)
    return Report(
        workload=workload.name,
        seed=workload.seed,
        requests=len(outcomes),
        answered=len(answered),
        refused=len(by_ending[_outcome.Ending.REFUSED]),
        lost=len(by_ending[_outcome.Ending.LOST]),
        refused_by_kind=_count_kinds(by_ending[_outcome.Ending.REFUSED]),
        lost_by_kind=_count_kinds(by_ending[_outcome.Ending.LOST]),
        not_run_retries=sum(o.not_run_retries for o in outcomes),
        first_token_p50_ms=_compute_percentile_ms(first_token, 50),
        first_token_p95_ms=_compute_percentile_ms(first_token, 95),
        gap_p95_ms=_compute_percentile_ms(
            make_histogram(gap for o in prompts for gap in o.gaps_s), 95
        ),
        call_p95_ms=_compute_percentile_ms(
            make_histogram(o.total_s for o in service_requests), 95
        ),
        share_recomputed=_compute_recomputed_share(prompts),
        link_bytes=link_bytes,
        bookings=bookings,
        events=[{"at_s": e.at_s, "name": e.name} for e in workload.events],
        timeline=[_make_timeline_entry(outcome) for outcome in outcomes],
    )


def count_bookings(outcomes, sender, runs_by_key):
    """Compare the bookings of a run with the runs that the services counted.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes of all requests.
    sender : Sender
        Sender of the run, which makes the idempotency keys.
    runs_by_key : dict of str to int
        Number of runs by idempotency key, summed over the services.

    Returns
    -------
    Bookings
        Counts of the bookings.
    """
    sent = [o for o in outcomes if o.arrival.kind is _schedule.RequestKind.BOOKING]
    runs = [
        (o.ending, runs_by_key.get(sender.make_booking_key(o.arrival), 0)) for o in sent
    ]
    answered = _outcome.Ending.ANSWERED
    refused = _outcome.Ending.REFUSED
    return Bookings(
        sent=len(runs),
        landed=sum(n >= 1 for _, n in runs),
        doubled=sum(n > 1 for _, n in runs),
        answered_not_landed=sum(e is answered and n == 0 for e, n in runs),
        refused_but_landed=sum(e is refused and n > 0 for e, n in runs),
    )


def make_histogram(values_s):
    """Make a histogram of times.

    Parameters
    ----------
    values_s : iterable of float
        Times, in seconds; values below 1 microsecond count as 1.

    Returns
    -------
    hdrh.histogram.HdrHistogram
        Histogram in microseconds.
    """
    recorded = histogram.HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)
    for value_s in values_s:
        recorded.record_value(max(1, int(value_s * MICROSECONDS)))
    return recorded


def format_table(report):
    """Format a report as a table.

    Parameters
    ----------
    report : Report
        The report.

    Returns
    -------
    str
        A title line, then a name and a value in each line.
    """
    rows = [
        ("requests", report.requests),
        ("answered", report.answered),
        ("refused (not run)", report.refused),
        *[(f"  {kind}", n) for kind, n in sorted(report.refused_by_kind.items())],
        ("lost", report.lost),
        *[(f"  {kind}", n) for kind, n in sorted(report.lost_by_kind.items())],
        ("retried at another entry host", report.not_run_retries),
        ("time to first token p50", f"{report.first_token_p50_ms:.1f} ms"),
        ("time to first token p95", f"{report.first_token_p95_ms:.1f} ms"),
        ("gap between tokens p95", f"{report.gap_p95_ms:.1f} ms"),
        ("bookings and look-ups p95", f"{report.call_p95_ms:.1f} ms"),
        ("share recomputed", _format_share(report.share_recomputed)),
        *_make_link_rows(report.link_bytes),
        *_make_booking_rows(report.bookings),
    ]
    title = f"{report.workload}, seed {report.seed}"
    return "\n".join([title] + [f"  {name:<32}{value:>12}" for name, value in rows])


def _make_link_rows(link_bytes):
    if link_bytes is None:
        return []
    return [("link use, to and from stores", f"{link_bytes / MEGABYTE:.1f} MB")]


def _make_booking_rows(bookings):
    if bookings is None:
        return []
    return [
        ("bookings sent", bookings.sent),
        ("bookings landed", bookings.landed),
        ("bookings landed twice", bookings.doubled),
        ("  answered but not landed", bookings.answered_not_landed),
        ("  refused but landed", bookings.refused_but_landed),
    ]


def _format_share(share):
    return "unknown" if share is None else f"{share:.1%}"


def _compute_recomputed_share(prompts):
    total = sum(outcome.prompt_tokens for outcome in prompts)
    cached = sum(outcome.cached_tokens for outcome in prompts)
    return (total - cached) / total if total else None


def _compute_percentile_ms(recorded, percentile):
    return recorded.get_value_at_percentile(percentile) / 1000


def _count_kinds(outcomes):
    return dict(collections.Counter(outcome.kind for outcome in outcomes))


def _make_timeline_entry(outcome):
    return {
        "at_s": round(outcome.arrival.at_s, 4),
        "request": outcome.arrival.kind.value,
        "account": outcome.arrival.account,
        "ending": outcome.ending.value,
        "kind": outcome.kind,
        "first_token_ms": round(outcome.first_token_s * 1000, 2),
        "entry": outcome.entry,
    }
