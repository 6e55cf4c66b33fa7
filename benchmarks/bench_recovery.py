"""Start, reconfiguration and failover times of the daemons.

Each time is measured several times on real daemons, with lightweight stand-ins for
all other hosts. Run with ``python -m benchmarks.bench_recovery``.
"""

import json
import statistics
import tempfile
import time

import urllib3

from benchmarks import deployment, processes

ROUNDS = 3
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 30.0


def main():
    """Measure and print the median and the range of each time."""
    for name, measure in (
        ("entry daemon, start until ready, 2 peers", measure_start_small),
        ("entry daemon, start until ready, 75 peers", measure_start_large),
        ("rules, write until in force", measure_rules_change),
        ("steward killed until its lease is held again", measure_lease_takeover),
    ):
        values_s = [measure() for _ in range(ROUNDS)]
        median_s = statistics.median(values_s)
        print(
            f"{name:45} {median_s:6.2f} s ({min(values_s):.2f} to {max(values_s):.2f})"
        )


def measure_start_small():
    """Measure the start of an entry daemon with two peers."""
    return measure_start(2)


def measure_start_large():
    """Measure the start of an entry daemon with 75 peers."""
    return measure_start(75)


def measure_start(peers):
    """Measure the time from the start of an entry daemon until it is ready."""
    with (
        processes.ProcessLauncher() as launcher,
        tempfile.TemporaryDirectory() as folder,
    ):
        environment = deployment.Deployment(
            launcher, folder, deployment.Plan(peers, 4, 1200)
        )
        environment.start()
        return environment.ready_after_s


def measure_rules_change():
    """Measure the time from a write of the rules until they are in force."""
    with (
        processes.ProcessLauncher() as launcher,
        tempfile.TemporaryDirectory() as folder,
    ):
        plan = deployment.Plan(2, 4, 1200)
        environment = deployment.Deployment(launcher, folder, plan)
        environment.start()
        time.sleep(2.0)
        stored = environment.platform.get("rules")
        value = deployment.make_rules_value(plan, 2)
        written_s = time.monotonic()
        environment.platform.put("rules", value, stored.version)
        url = f"http://127.0.0.1:{environment.operators_port}/in-force"
        return wait_until(lambda: read_json(url)["rules"] == 2) - written_s


def measure_lease_takeover():
    """Measure the time from the end of a lease holder until another one acquires it."""
    with (
        processes.ProcessLauncher() as launcher,
        tempfile.TemporaryDirectory() as folder,
    ):
        environment = deployment.Deployment(
            launcher, folder, deployment.Plan(2, 4, 10, role="steward")
        )
        environment.start()
        wait_until(lambda: holds_lease(environment.operators_port))
        other_port = environment.start_second()
        time.sleep(3.0)
        environment.daemon.kill()
        killed_s = time.monotonic()
        return wait_until(lambda: holds_lease(other_port)) - killed_s


def holds_lease(operators_port):
    """Return whether a steward holds the lease of any shard."""
    shards = read_json(f"http://127.0.0.1:{operators_port}/dump")["shards"]
    return any(shard["held"] for shard in shards.values())


def read_json(url):
    """Return the JSON content of a URL."""
    return json.loads(urllib3.request("GET", url, timeout=2.0).data)


def wait_until(condition):
    """Wait until a condition holds; return the monotonic time, in seconds.

    Raises
    ------
    TimeoutError
        If it does not hold within `TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        if condition():
            return time.monotonic()
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError("the condition did not hold in time")


if __name__ == "__main__":
    main()
