"""Cost of one member by number of peers.

Nothing is random. The sizes are measured twice in the given order, so that drift
of the machine shows. Run with ``python -m benchmarks.bench_peers``.
"""

import json
import statistics
import time

from benchmarks import processes

SIZES = (4, 8, 16, 32, 76)
ROUNDS = 2
SETTLE_S = 1.5
MEASURE_S = 3.0
SHARED_KEY = "bench"
DATA_CENTRE = "seeb"


def main():
    """Measure every size and print a table."""
    rows_by_size = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            rows_by_size[size].append(measure(size))
    print(f"{'peers':>5} {'active':>6} {'CPU %':>12} {'kB/s':>12} {'MiB':>12}")
    for size, rows in rows_by_size.items():
        active_peers, *columns = zip(*rows, strict=True)
        cells = [
            f"{statistics.mean(column):6.2f}±{(max(column) - min(column)) / 2:<5.2f}"
            for column in columns
        ]
        print(f"{size:>5} {min(active_peers):>6} {' '.join(cells)}")


def measure(size):
    """Measure one member with the given number of peers.

    Parameters
    ----------
    size : int
        Number of peers.

    Returns
    -------
    tuple of (int, float, float, float)
        Peers from which it received heartbeats, processor time in percent of one
        core, kB per second of frames in both directions, and resident memory in MiB.
    """
    options = ["--data-centre", DATA_CENTRE, "--shared-key", SHARED_KEY]
    with processes.ProcessLauncher() as launcher:
        peers = launcher.start_module("peer_stub", "--peers", str(size), *options)
        addresses = processes.read_json(peers)
        member = launcher.start_module("member_stub", *options)
        member.stdin.write(json.dumps(addresses) + "\n")
        member.stdin.flush()
        peers.stdin.write(processes.read_json(member) + "\n")
        peers.stdin.flush()
        time.sleep(SETTLE_S)
        before, bytes_before = (
            processes.read_usage(member),
            processes.query_count(peers),
        )
        time.sleep(MEASURE_S)
        after, bytes_after = processes.read_usage(member), processes.query_count(peers)
        elapsed_s = after.at_s - before.at_s
        return (
            processes.query_count(member),
            100 * (after.cpu_s - before.cpu_s) / elapsed_s,
            (bytes_after - bytes_before) / elapsed_s / 1000,
            after.resident_mib,
        )


if __name__ == "__main__":
    main()
