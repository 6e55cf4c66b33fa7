"""Control-plane cost of one daemon as a function of the deployment's size.

Starts a real entry daemon without callers, or a steward that holds the lease of
its data centre, with lightweight stand-ins for all other hosts. Varies one size at a
time and prints processor time, resident memory, bytes per second and platform
requests per second, each with a linear fit. Run with
``python -m benchmarks.bench_control``.
"""

import argparse
import statistics
import tempfile
import time

import attrs

from benchmarks import deployment, processes

SETTLE_S = 4.0
WINDOW_S = 8.0


@attrs.frozen
class Sizes:
    """Sizes of the deployment around one daemon.

    Parameters
    ----------
    peers : int
        Daemons with which it exchanges heartbeats.
    upstreams : int
        Model engines.
    accounts : int
        Client accounts.
    prefixes : int
        Cached blocks that all engines together report.
    changes_per_s : float
        Configuration changes per second.
    role : {"entry", "steward"}, default="entry"
        Measured program.
    """

    peers: int = 2
    upstreams: int = 4
    accounts: int = 10
    prefixes: int = 0
    changes_per_s: float = 0.0
    role: str = "entry"

    def make_plan(self):
        """Return the plan of a deployment of these sizes."""
        blocks = self.prefixes // self.upstreams
        return deployment.Plan(
            self.peers, self.upstreams, self.accounts, blocks, role=self.role
        )


STEWARD_PREFIX = "steward_"
SWEEPS = {
    "steward_peers": (2, 25, 50, 75),
    "steward_upstreams": (4, 16, 32, 64),
    "peers": (2, 25, 50, 75, 100),
    "upstreams": (4, 16, 32, 64),
    "accounts": (10, 400, 800, 1200),
    "prefixes": (0, 10000, 20000, 40000),
    "changes_per_s": (0.0, 0.5, 1.0, 2.0),
}


# A change is a new rules file, whose cost is mostly that of its client accounts.
# 1,700 accounts would exceed the parser's limit of 200,000 characters.
BASE_BY_SWEEP = {"changes_per_s": Sizes(accounts=1200)}


@attrs.frozen
class Measurement:
    """Resource use of a daemon at given sizes.

    Parameters
    ----------
    core_percent : float
        Processor time, in percent of one core.
    resident_mib : float
        Resident memory at the end of the window, MiB.
    bytes_per_s : float
        Bytes sent to and received from platform, engines and peers, without TCP
        overhead.
    platform_requests_per_s : float
        Requests to the platform; each long-polling watch counts as one.
    """

    core_percent: float
    resident_mib: float
    bytes_per_s: float
    platform_requests_per_s: float


def main():
    """Run the sweeps given on the command line, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sweeps", nargs="*", default=list(SWEEPS))
    parser.add_argument("--repeats", type=int, default=2)
    options = parser.parse_args()
    for name in options.sweeps:
        print_sweep(name, run_sweep(name, options.repeats))


def run_sweep(name, repeats):
    """Measure one daemon at each size of a sweep.

    Each repetition visits all sizes, so that drift of the machine affects all.
    """
    base = BASE_BY_SWEEP.get(name, Sizes())
    field = name.removeprefix(STEWARD_PREFIX)
    if field != name:
        base = attrs.evolve(base, role="steward")
    measurements_by_size = {size: [] for size in SWEEPS[name]}
    for _ in range(repeats):
        for size, measurements in measurements_by_size.items():
            measurements.append(measure(attrs.evolve(base, **{field: size})))
    return measurements_by_size


def print_sweep(name, measurements_by_size):
    """Print the medians, the range of processor time and the linear fits."""
    print(
        f"\n{name:>14}  core %  (range)      resident MiB     bytes/s"
        f"  platform requests/s"
    )
    medians = {}
    for size, measurements in measurements_by_size.items():
        core_percents = [measurement.core_percent for measurement in measurements]
        median = Measurement(
            *(
                statistics.median(column)
                for column in zip(*map(attrs.astuple, measurements), strict=True)
            )
        )
        medians[size] = median
        core_range = f"{min(core_percents):.2f}-{max(core_percents):.2f}"
        print(
            f"{size:>14}  {median.core_percent:6.2f}  ({core_range:>9})"
            f"  {median.resident_mib:10.1f}"
            f"  {median.bytes_per_s:10.0f}"
            f"  {median.platform_requests_per_s:19.2f}"
        )
    for field in attrs.fields(Measurement):
        values = [getattr(median, field.name) for median in medians.values()]
        slope, base = statistics.linear_regression(list(medians), values)
        print(f"  {field.name}: {base:.4g} + {slope:.4g} per unit", flush=True)


def measure(sizes):
    """Start a daemon at given sizes and measure it.

    Parameters
    ----------
    sizes : Sizes
        Sizes of the deployment.

    Returns
    -------
    Measurement
        Resource use over `WINDOW_S`.
    """
    with (
        processes.ProcessLauncher() as launcher,
        tempfile.TemporaryDirectory() as folder,
    ):
        environment = deployment.Deployment(launcher, folder, sizes.make_plan())
        environment.start()
        publisher = Publisher(environment.platform, sizes)
        publisher.publish_until(time.monotonic() + SETTLE_S)
        before = processes.read_usage(environment.daemon)
        bytes_before = environment.count_bytes()
        requests_before = environment.count_platform_requests()
        publisher.publish_until(time.monotonic() + WINDOW_S)
        after = processes.read_usage(environment.daemon)
        bytes_after = environment.count_bytes()
        requests = environment.count_platform_requests() - requests_before
        window_s = after.at_s - before.at_s
        return Measurement(
            core_percent=100 * (after.cpu_s - before.cpu_s) / window_s,
            resident_mib=after.resident_mib,
            bytes_per_s=(bytes_after - bytes_before) / window_s,
            # The publisher reads and writes once for each change.
            platform_requests_per_s=requests / window_s - 2 * sizes.changes_per_s,
        )


class Publisher:
    """Publishes revisions of the rules at a constant rate.

    Parameters
    ----------
    platform : clients.PlatformClient
        Client of the platform that stores the rules.
    sizes : Sizes
        Rate of changes and number of client accounts.
    """

    def __init__(self, platform, sizes):
        self.platform = platform
        self.sizes = sizes
        self._revision = 1

    def publish_until(self, deadline_s):
        """Publish revisions until the monotonic time ``deadline_s``, in seconds."""
        while time.monotonic() < deadline_s:
            if not self.sizes.changes_per_s:
                time.sleep(deadline_s - time.monotonic())
                return
            self._revision += 1
            stored = self.platform.get("rules")
            value = deployment.make_rules_value(self.sizes.make_plan(), self._revision)
            self.platform.put("rules", value, stored.version)
            time.sleep(1 / self.sizes.changes_per_s)


if __name__ == "__main__":
    main()
