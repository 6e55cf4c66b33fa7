"""Time until the last engine has a new weight version, under failures.

The rollout of several hosts, as objects in real time, orders engines that lose or
delay orders. Run with ``python -m benchmarks.bench_weight_rollout``; it takes some
minutes.
"""

import concurrent.futures
import itertools
import statistics
import time

import attrs
import loguru

from sycamorespoke import serving
from tests.fakes import rollout_fleet

HOSTS = 7
ENGINES = (9, 63)
SEEDS = (1, 2, 3)
TIMEOUT_S = 40.0
# Fleets that run at the same time; they mostly wait.
CONCURRENT_FLEETS = 3
FAULT_DELAY_S = 0.2
FREEZE_S = 5.0
# From the signal to the end of a process with long requests, and to its next start.
STOP_S = 4.5
GRACE_S = 7.5


@attrs.frozen
class Case:
    """What happens to hosts and engines during a rollout.

    Parameters
    ----------
    name : str
        Printed name.
    faults : rollout_fleet.EngineFaults
        What goes wrong with the engines.
    inject : callable or None, default=None
        Takes the fleet, shortly after the first order.
    """

    name: str
    faults: rollout_fleet.EngineFaults = attrs.field(factory=rollout_fleet.EngineFaults)
    inject: object = None


def kill_holder(fleet):
    """Kill the holder of the lease."""
    fleet.find_holder().kill()


def freeze_holder(fleet):
    """Suspend the holder for some seconds."""
    holder = fleet.find_holder()
    holder.freeze()
    time.sleep(FREEZE_S)
    holder.thaw()


def cut_holder(fleet):
    """Cut the holder from the store."""
    fleet.find_holder().is_cut = True


def replace_hosts(fleet):
    """Stop and start all hosts, two at a time, the holder first."""
    holder = fleet.find_holder()
    names = sorted(fleet.hosts_by_name, key=lambda name: name != holder.name)
    for start in range(0, len(names), 2):
        pair = names[start : start + 2]
        for name in pair:
            stop_host(fleet, name)
        time.sleep(STOP_S)
        for name in pair:
            fleet.hosts_by_name[name].kill()
            fleet.start_host(name)


def stop_all(fleet):
    """Stop all hosts at once and start them again."""
    for name in sorted(fleet.hosts_by_name):
        stop_host(fleet, name)
    time.sleep(STOP_S)
    for name in sorted(fleet.hosts_by_name):
        fleet.hosts_by_name[name].kill()
        fleet.start_host(name)


def stop_host(fleet, name):
    """Stop a host by signal."""
    fleet.hosts_by_name[name].stop(serving.read_clock() + GRACE_S)


LOST_70 = rollout_fleet.EngineFaults(lost_ratio=0.7)
CASES = (
    Case("calm"),
    Case("holder killed", LOST_70, kill_holder),
    Case("holder frozen for 5 s", LOST_70, freeze_holder),
    Case("holder cut from the store", LOST_70, cut_holder),
    Case("hosts replaced in pairs", LOST_70, replace_hosts),
    Case("all hosts stopped", LOST_70, stop_all),
    Case("orders lost, 50 %", rollout_fleet.EngineFaults(lost_ratio=0.5)),
    Case("orders lost, 70 %", LOST_70),
    Case("orders lost, 90 %", rollout_fleet.EngineFaults(lost_ratio=0.9)),
    Case(
        "orders 2 to 12 s late, 90 %",
        rollout_fleet.EngineFaults(lost_ratio=0.9, late_s=(2.0, 12.0)),
    ),
    Case("engines at rest for 2 s, 30 %", rollout_fleet.EngineFaults(rest_ratio=0.3)),
)


@attrs.frozen
class Result:
    """Figures of one rollout.

    Parameters
    ----------
    duration_s : float
        From the naming of the version until all engines have it.
    pause_s : float
        Longest time without an order in it.
    orders : int
        Orders that reached engines.
    max_loading : int
        Engines that loaded at the same time.
    breaches : int
        Orders under outdated or shared fencing numbers.
    turns : int
        Orders of two hosts to one engine within the duration of a lease.
    """

    duration_s: float
    pause_s: float
    orders: int
    max_loading: int
    breaches: int
    turns: int


def main():
    """Print one line a case and number of engines."""
    loguru.logger.remove()
    print(
        "engines  case                            last engine s (median, worst)"
        "  no order s (worst)  orders  loading  breaches  turns"
    )
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_FLEETS) as executor:
        for engines in ENGINES:
            for case in CASES:
                results = list(
                    executor.map(
                        lambda seed, case=case, engines=engines: play(
                            case, engines, seed
                        ),
                        SEEDS,
                    )
                )
                print_line(engines, case, results)


def print_line(engines, case, results):
    """Print the figures of a case over its seeds."""
    durations_s = [result.duration_s for result in results]
    print(
        f"{engines:7}  {case.name:30}"
        f"  {statistics.median(durations_s):14.1f} {max(durations_s):14.1f}"
        f"  {max(result.pause_s for result in results):18.1f}"
        f"  {statistics.median(result.orders for result in results):6.0f}"
        f"  {max(result.max_loading for result in results):7}"
        f"  {sum(result.breaches for result in results):8}"
        f"  {sum(result.turns for result in results):5}",
        flush=True,
    )


def play(case, engines, seed):
    """Roll a version out once and return the `Result`."""
    fleet = rollout_fleet.RolloutFleet(HOSTS, engines, case.faults, seed)
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        time.sleep(1.0)
        begun_s = fleet.set_target()
        fleet.wait_until(lambda: fleet.engines.sent_orders, TIMEOUT_S)
        if case.inject is not None:
            fleet.wait_until(lambda: False, FAULT_DELAY_S)
            if fleet.find_holder() is not None:
                fault = executor.submit(case.inject, fleet)
        fleet.wait_until(fleet.engines.is_rolled_out, TIMEOUT_S)
        duration_s = serving.read_clock() - begun_s
        if case.inject is not None:
            fault.result()
        fleet.close()
    return make_result(fleet, begun_s, duration_s)


def make_result(fleet, begun_s, duration_s):
    """Build the `Result` of a rollout."""
    end_s = begun_s + duration_s
    times_s = [order.received_s for order in fleet.engines.sent_orders]
    times_s = [begun_s, *(each for each in times_s if each < end_s), end_s]
    pause_s = max(later - earlier for earlier, later in itertools.pairwise(times_s))
    return Result(
        duration_s,
        pause_s,
        len(fleet.engines.sent_orders),
        fleet.engines.max_loading,
        len(fleet.list_fence_breaches()),
        len(fleet.list_turns()),
    )


if __name__ == "__main__":
    main()
