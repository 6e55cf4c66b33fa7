"""Platform writes per claim with group commit, by hosts, shards and offered rate.

The claims of all entry hosts run in threads of this process, on a stand-in of
the platform that delays each response by 3 ms. The outcome of every claim is
recorded. Run with ``python -m benchmarks.bench_claims``.
"""

import argparse
import concurrent.futures
import itertools
import time

import attrs

from sycamorespoke import claims, clients, decisions, standins

PLATFORM_RESPONSE_DELAY_S = 0.003
RUN_S = 3.0
THREADS = 96
CLAIM_TIMEOUT_S = 10.0
FLUSH_TIMEOUT_S = 10.0
CONFIGURATIONS = (
    # Hosts, shards, claims offered per second by all hosts together.
    (1, 1, 100),
    (1, 1, 300),
    (1, 16, 100),
    (1, 16, 300),
    (1, 256, 100),
    (1, 256, 300),
    (9, 1, 100),
    (9, 16, 20),
    (9, 16, 100),
    (9, 256, 20),
    (9, 256, 100),
    (9, 256, 200),
)


@attrs.frozen
class Measurement:
    """Results of one configuration.

    Parameters
    ----------
    claimed, refused : int
        Claims that succeeded, and claims that were refused.
    writes, conflicts, reads : int
        Requests that the platform served; conflicts are rejected conditional
        writes.
    wait_p50_s, wait_p99_s : float
        Time from the due time of a claim to its success, seconds.
    """

    claimed: int
    refused: int
    writes: int
    conflicts: int
    reads: int
    wait_p50_s: float
    wait_p99_s: float


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--run-s", type=float, default=RUN_S)
    arguments = parser.parse_args()
    print(
        f"{'hosts':>5}{'shards':>8}{'offered/s':>11}{'claimed/s':>11}{'refused':>9}"
        f"{'writes/claim':>14}{'conflicts/claim':>17}{'reads/claim':>13}"
        f"{'p50':>8}{'p99':>9}"
    )
    for hosts, shards, rate in CONFIGURATIONS:
        measurement = measure(hosts, shards, rate, arguments.run_s)
        print(format_row(hosts, shards, rate, measurement, arguments.run_s))


def measure(hosts, shards, rate, run_s):
    platform = standins.run_in_thread(standins.PlatformStandin(), threads=THREADS)
    platform.standin.set_faults({"delay_s": PLATFORM_RESPONSE_DELAY_S})
    claim_clients = [
        claims.Claims(
            clients.PlatformClient(platform.url), f"entry-{number}", shards=shards
        )
        for number in range(hosts)
    ]
    try:
        results = submit_claims(claim_clients, rate, run_s)
        for claim_client in claim_clients:
            claim_client.flush(time.monotonic() + FLUSH_TIMEOUT_S)
        counts = platform.standin.count()
    finally:
        for claim_client in claim_clients:
            claim_client.stop()
        platform.close()
    waits_s = sorted(wait_s for wait_s, is_claimed in results if is_claimed)
    return Measurement(
        claimed=len(waits_s),
        refused=len(results) - len(waits_s),
        writes=counts["writes"],
        conflicts=counts["conflicts"],
        reads=counts["reads"],
        wait_p50_s=waits_s[len(waits_s) // 2],
        wait_p99_s=waits_s[int(len(waits_s) * 0.99)],
    )


def submit_claims(claim_clients, rate, run_s):
    """Submit claims at fixed times, without waiting for earlier claims."""
    start_s = time.monotonic()
    round_robin = itertools.cycle(claim_clients)
    with concurrent.futures.ThreadPoolExecutor(THREADS) as executor:
        pending = []
        for number in range(int(rate * run_s)):
            due_s = start_s + number / rate
            time.sleep(max(due_s - time.monotonic(), 0.0))
            pending.append(executor.submit(claim, next(round_robin), number, due_s))
        return [future.result() for future in pending]


def claim(claim_client, number, due_s):
    """Claim a key and record an outcome.

    Returns
    -------
    tuple of (float, bool)
        Seconds from the due time to the result, and whether the claim succeeded.
    """
    key_hash = decisions.hash_claim_key("abrr", "bibs", str(number))
    fingerprint = decisions.hash_request("POST", "/bibs", b"{}")
    now = time.time()
    result = claim_client.claim(key_hash, fingerprint, now, wait_s=CLAIM_TIMEOUT_S)
    wait_s = time.monotonic() - due_s
    is_claimed = isinstance(result, decisions.Claimed)
    if is_claimed:
        claim_client.record(
            result.token, decisions.Outcome(201, body=b'{"booking": 1}')
        )
    return wait_s, is_claimed


def format_row(hosts, shards, rate, measurement, run_s):
    claimed = max(measurement.claimed, 1)
    return (
        f"{hosts:>5}{shards:>8}{rate:>11}{measurement.claimed / run_s:>11.0f}"
        f"{measurement.refused:>9}{measurement.writes / claimed:>14.2f}"
        f"{measurement.conflicts / claimed:>17.2f}{measurement.reads / claimed:>13.2f}"
        f"{measurement.wait_p50_s * 1000:>5.0f} ms"
        f"{measurement.wait_p99_s * 1000:>6.0f} ms"
    )


if __name__ == "__main__":
    main()
