"""Cost of relaying token streams: naive relay, entry daemon, direct connection.

Each round measures the three targets in turn, so that noise of a shared machine
affects all of them. Callers, engine and relay run in separate processes. Run with
``python -m benchmarks.bench_relay``.
"""

import argparse
import json
import statistics
import tempfile
import time

import attrs

from benchmarks import deployment, processes

RAMP_UP_S = 2.0
WINDOW_S = 4.0
PAUSE_S = 1.0
DIRECT_BODY = json.dumps({"request_id": "rNUMBER", "max_tokens": 100000})
ENTRY_BODY = json.dumps(
    {"model": "m", "prompt": "NUMBER", "max_tokens": 1000, "stream": True}
)


@attrs.frozen
class Target:
    """Address that serves token streams.

    Parameters
    ----------
    name : str
        Name in the table.
    port : int
        Port to which callers connect.
    path, body : str
        Path and body of the request; ``NUMBER`` in the body is replaced by the
        number of the caller.
    process : subprocess.Popen or None
        Relay whose processor time is measured; ``None`` without a relay.
    """

    name: str
    port: int
    path: str
    body: str
    process: object = None


def main():
    """Run the rounds and print the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="20,100,200,300")
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    counts = [int(count) for count in options.streams.split(",")]
    with (
        processes.ProcessLauncher() as launcher,
        tempfile.TemporaryDirectory() as folder,
    ):
        targets = start_targets(launcher, folder)
        print(
            f"{'streams':>7} {'':>7} {'CPU ms per token':>22} {'added gap p95 ms':>22}"
            f" {'added delay p95 ms':>22} {'added first token p95 ms':>26} {'MiB':>5}"
            f" broken"
        )
        for count in counts:
            print_rounds(count, measure_rounds(targets, count, options.rounds))


def start_targets(launcher, folder):
    """Start the engine, the naive relay and the entry daemon."""
    plan = deployment.Plan(0, 1, 1, limit=10000, threads=400)
    entry = deployment.Deployment(launcher, folder, plan)
    entry.start()
    naive_port = processes.find_free_port()
    naive_relay = launcher.start_module(
        "naive_relay",
        "--port",
        str(naive_port),
        "--upstream-port",
        str(entry.engine_port),
    )
    processes.wait_for_port(naive_port)
    generate_path = "/v1/generate"
    return [
        Target("naive", naive_port, generate_path, DIRECT_BODY, naive_relay),
        Target("entry", entry.port, "/v1/completions", ENTRY_BODY, entry.daemon),
        Target("direct", entry.engine_port, generate_path, DIRECT_BODY),
    ]


def measure_rounds(targets, streams, rounds):
    """Measure the targets in turn in each round."""
    measurements_by_name = {target.name: [] for target in targets}
    for _ in range(rounds):
        for target in targets:
            measurements_by_name[target.name].append(measure(target, streams))
            time.sleep(PAUSE_S)
    return measurements_by_name


def measure(target, streams):
    """Measure one target over `WINDOW_S`."""
    with processes.ProcessLauncher() as launcher:
        reader = launcher.start_module(
            "token_reader",
            *("--port", str(target.port), "--path", target.path),
            *("--body", target.body, "--streams", str(streams)),
            *("--ramp-s", str(RAMP_UP_S), "--window-s", str(WINDOW_S)),
        )
        process = target.process or reader
        reader.stdout.readline()
        before = processes.read_usage(process)
        reader.stdout.readline()
        after = processes.read_usage(process)
        measurement = processes.read_json(reader)
        measurement["cpu_ms"] = (
            (after.cpu_s - before.cpu_s) * 1000 / measurement["tokens"]
        )
        measurement["resident_mib"] = after.resident_mib
        return measurement


def print_rounds(streams, measurements_by_name):
    """Print the median and the range of the measurements of each target."""
    direct = measurements_by_name["direct"]
    for name, rounds in measurements_by_name.items():
        cpu_ms = [each["cpu_ms"] for each in rounds] if name != "direct" else [0.0]
        columns = [format_values(cpu_ms, 3, 22)]
        for key, width in (
            ("gap_p95_ms", 22),
            ("delay_p95_ms", 22),
            ("first_token_p95_ms", 26),
        ):
            direct_median = statistics.median(each[key] for each in direct)
            columns.append(
                format_values([row[key] - direct_median for row in rounds], 1, width)
            )
        resident_mib = max(each["resident_mib"] for each in rounds)
        broken = sum(each["broken"] for each in rounds)
        print(
            f"{streams:>7} {name:>7} {' '.join(columns)} {resident_mib:5.0f} {broken:6}"
        )


def format_values(values, digits, width):
    """Format the median and the range of values."""
    median = statistics.median(values)
    value_range = f"({min(values):.{digits}f} to {max(values):.{digits}f})"
    return f"{median:.{digits}f} {value_range}".rjust(width)


if __name__ == "__main__":
    main()
