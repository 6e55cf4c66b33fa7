"""Goodput, fairness, refusals and recovery under overload, by mechanism.

Each row is one run of `overload_model.Model`. All runs use the same seed, so their
arrivals are equal until the first refusal. Run with
``python -m benchmarks.bench_overload``.
"""

import argparse
import threading
import time

import attrs

from benchmarks import overload_model
from sycamorespoke import admission, domain

STEADY_LOAD = 0.7
LOADS = (1.0, 2.0, 3.0)
WARM_UP_S = 5.0
BURST_S = 10.0
AFTER_BURST_S = 15.0
BURST_END_S = WARM_UP_S + BURST_S
DURATION_S = BURST_END_S + AFTER_BURST_S
WINDOW_S = 1.0
MIN_NORMAL_ANSWERED_SHARE = 0.95
MAX_NORMAL_DELAY_RATIO = 1.5
IMMEDIATE_REFUSAL_S = 0.05
WAITING_THREADS = 100
WAIT_LIMIT_S = 0.3
DEADLINE_S = 30.0
ALL_MECHANISMS = overload_model.Mechanisms()
VARIANTS = {
    "all mechanisms": ALL_MECHANISMS,
    "no fair queue": attrs.evolve(ALL_MECHANISMS, fair_queue=False),
    "no limits per upstream": attrs.evolve(ALL_MECHANISMS, upstream_limits=False),
    "no refusal at once": attrs.evolve(ALL_MECHANISMS, immediate_refusal=False),
    "no retry budget": attrs.evolve(ALL_MECHANISMS, retry_budget=False),
    "only the retry budget": attrs.evolve(ALL_MECHANISMS, admission=False),
    "no admission at all": attrs.evolve(
        ALL_MECHANISMS, admission=False, retry_budget=False
    ),
}


@attrs.frozen
class Row:
    """Results of one run.

    Parameters
    ----------
    goodput : float
        Requests answered in time per second of the burst.
    small_answered_share : float
        Share of the small accounts' requests that are answered in time.
    small_wait_p95_s : float
        p95 wait of the small accounts' answered requests before they are sent,
        seconds.
    immediate_refusal_share : float
        Share of the refusals that come within `IMMEDIATE_REFUSAL_S`.
    refusal_delay_p99_s : float
        p99 time from a request to its refusal, seconds.
    sends_per_request : float
        Attempts at upstreams per first attempt of a caller.
    recovery_s : float or None
        Time from the end of the burst to normal operation, seconds; ``None`` if it
        is not reached.
    """

    goodput: float
    small_answered_share: float
    small_wait_p95_s: float
    immediate_refusal_share: float
    refusal_delay_p99_s: float
    sends_per_request: float
    recovery_s: float | None


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    capacity = overload_model.CAPACITY_PER_S
    print(f"capacity {capacity:.0f} requests/s, seed {arguments.seed}")
    print(
        f"{'mechanisms':<24}{'load':>5}{'goodput/s':>11}{'of peak':>9}"
        f"{'small ok':>10}{'small wait p95':>16}{'at once':>9}{'refusal p99':>13}"
        f"{'sends':>7}{'recovery':>10}"
    )
    for name, mechanisms in VARIANTS.items():
        rows = {load: measure(mechanisms, load, arguments.seed) for load in LOADS}
        peak = max(row.goodput for row in rows.values())
        for load, row in rows.items():
            print(format_row(name, load, row, peak))
    excess_wait_s = measure_excess_wait_s()
    print(
        f"{WAITING_THREADS} waiting threads, delay between the wait limit and the"
        f" return of acquire(): p99 {percentile(excess_wait_s, 0.99) * 1000:.1f} ms"
    )


def measure_excess_wait_s():
    """Return the seconds from the wait limit until `Admission.acquire` returns.

    The list contains one value for each waiting thread.
    """
    configuration = domain.Configuration(
        limits=domain.Limits(queue_wait_s=WAIT_LIMIT_S),
        groups_by_name={
            "agenda": domain.UpstreamGroup(
                "agenda", domain.UpstreamKind.SERVICE, limit=1
            )
        },
        routes_by_name={"jobs": domain.Route("jobs", "agenda")},
        accounts_by_name={"one": domain.ClientAccount("one", "1", concurrency=1000)},
    )
    admission_control = admission.Admission(configuration)
    admission_control.set_upstreams("agenda", ["agenda-1"], time.monotonic())
    admission_control.acquire("one", "jobs", DEADLINE_S, time.monotonic())
    excess_wait_s = []

    def acquire_slot():
        requested_s = time.monotonic()
        admission_control.acquire("one", "jobs", DEADLINE_S, requested_s)
        excess_wait_s.append(time.monotonic() - requested_s - WAIT_LIMIT_S)

    threads = [threading.Thread(target=acquire_slot) for _ in range(WAITING_THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return excess_wait_s


def measure(mechanisms, load, seed):
    def rate_at(now):
        is_burst = WARM_UP_S <= now < BURST_END_S
        return (load if is_burst else STEADY_LOAD) * overload_model.CAPACITY_PER_S

    model = overload_model.Model(mechanisms, rate_at, DURATION_S, seed).run()
    in_burst = [
        request for request in model.answered if WARM_UP_S <= request.at_s < BURST_END_S
    ]
    small = [request for request in in_burst if request.account != "large"]
    refusals = [
        request for request in model.refusals if WARM_UP_S <= request.at_s < BURST_END_S
    ]
    small_offered = load * overload_model.CAPACITY_PER_S * BURST_S * 0.15
    return Row(
        goodput=len(in_burst) / BURST_S,
        small_answered_share=len(small) / small_offered,
        small_wait_p95_s=percentile([request.wait_s for request in small], 0.95),
        immediate_refusal_share=sum(
            request.delay_s < IMMEDIATE_REFUSAL_S for request in refusals
        )
        / max(len(refusals), 1),
        sends_per_request=model.total_sends / len(model.arrivals),
        refusal_delay_p99_s=percentile([request.delay_s for request in refusals], 0.99),
        recovery_s=find_recovery_s(model),
    )


def find_recovery_s(model):
    """Return the seconds from the end of the burst until every window is normal.

    A window is normal if at least 95% of the callers whose first attempt falls in it
    are answered on that attempt, with a p95 delay of at most 1.5 times that before
    the burst. Returns ``None`` if the last window is not normal.
    """
    delays_before_s = [
        request.delay_s
        for request in model.answered
        if request.attempt == 1 and request.requested_s < WARM_UP_S
    ]
    limit_s = MAX_NORMAL_DELAY_RATIO * percentile(delays_before_s, 0.95)
    windows = int((AFTER_BURST_S - overload_model.DEADLINE_S) / WINDOW_S)
    request_counts = [0] * windows
    delays_s = [[] for _ in range(windows)]
    for requested_s in model.arrivals:
        window = int((requested_s - BURST_END_S) // WINDOW_S)
        if 0 <= window < windows:
            request_counts[window] += 1
    for request in model.answered:
        window = int((request.requested_s - BURST_END_S) // WINDOW_S)
        if 0 <= window < windows and request.attempt == 1:
            delays_s[window].append(request.delay_s)
    abnormal = [
        window
        for window in range(windows)
        if len(delays_s[window]) < MIN_NORMAL_ANSWERED_SHARE * request_counts[window]
        or percentile(delays_s[window], 0.95) > limit_s
    ]
    if abnormal and abnormal[-1] == windows - 1:
        return None
    return (abnormal[-1] + 1) * WINDOW_S if abnormal else 0.0


def percentile(values, share):
    """Return the value below which ``share`` of the values lie; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def format_row(name, load, row, peak):
    recovery = "never" if row.recovery_s is None else f"{row.recovery_s:.0f} s"
    return (
        f"{name:<24}{load:>4.0f}x{row.goodput:>11.1f}{row.goodput / peak:>9.0%}"
        f"{row.small_answered_share:>10.0%}{row.small_wait_p95_s * 1000:>13.0f} ms"
        f"{row.immediate_refusal_share:>9.0%}{row.refusal_delay_p99_s * 1000:>10.0f} ms"
        f"{row.sends_per_request:>7.2f}{recovery:>10}"
    )


if __name__ == "__main__":
    main()
