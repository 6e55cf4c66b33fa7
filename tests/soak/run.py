"""Runs the soak: ``python -m tests.soak.run --seed 1 --seconds 10``."""

import argparse
import signal
import subprocess
import sys
import threading
import time

import attrs

from tests.soak import callers, faults, gateway_deployment, guarantees

CALLERS = 6
# Rules and views are back within this time after the last fault.
RECOVERY_S = 6.0
REQUESTS_AFTER_FAULTS = 40
# A host that was told to stop has gone after this time.
STOP_TIMEOUT_S = 9.0


@attrs.frozen
class Verdict:
    """What a run has shown.

    Parameters
    ----------
    seed : int
        Its seed.
    broken : list of str
        A line for each promise that was broken.
    planned : list of faults.PlannedFault
        What was done.
    requests, served : int
        Calls, and those with a whole answer.
    """

    seed: int
    broken: list[str]
    planned: list[faults.PlannedFault]
    requests: int
    served: int


def run_seed(seed, seconds):
    """Play one run.

    Parameters
    ----------
    seed : int
        Seed of faults and callers.
    seconds : float
        Time with faults, above 1.

    Returns
    -------
    Verdict
        The broken promises.
    """
    planned = faults.plan_faults(
        seed, seconds, gateway_deployment.HOSTS, gateway_deployment.UPSTREAMS
    )
    with gateway_deployment.GatewayDeployment() as deployment:
        if not deployment.wait_ready():
            return Verdict(seed, ["the hosts did not get ready"], planned, 0, 0)
        senders = [callers.Caller(n, deployment.hosts, seed) for n in range(CALLERS)]
        for sender in senders:
            sender.start()
        _inject_faults(deployment, planned)
        for sender in senders:
            sender.stop_requested.set()
        for sender in senders:
            sender.join()
        outcomes = [each for sender in senders for each in sender.outcomes]
        broken = _restart_hosts(deployment)
        time.sleep(RECOVERY_S)
        after = _send_after_faults(deployment, seed)
        # Requests that a host gave up may still reach an upstream.
        broken += guarantees.check(outcomes + after, deployment.log.list())
        broken += guarantees.check_recovery(after)
        served = sum(each.is_whole and each.status == 200 for each in outcomes)
        return Verdict(seed, broken, planned, len(outcomes), served)


def _inject_faults(deployment, planned):
    """Begin and end each fault in its time; hosts that have gone are restarted."""
    transitions = [
        (each.at_s, number, True, each) for number, each in enumerate(planned)
    ]
    transitions += [
        (each.ends_s, number, False, each) for number, each in enumerate(planned)
    ]
    started_s = time.monotonic()
    for at_s, _, is_start, each in sorted(
        transitions, key=lambda transition: transition[:2]
    ):
        wait_s = started_s + at_s - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        if is_start:
            faults.inject(deployment, each)
        else:
            faults.end(deployment, each)
            _restart_exited_hosts(deployment)


def _restart_exited_hosts(deployment):
    for host in deployment.hosts:
        if host.program.process.poll() is not None:
            host.end()
            host.start()


def _restart_hosts(deployment):
    """Let every host run again; return a line for each that did not stop."""
    broken = []
    threads = []
    for host in deployment.hosts:
        host.signal(signal.SIGCONT)
        thread = threading.Thread(target=_restart_host, args=(host, broken))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return broken


def _restart_host(host, broken):
    """Stop a host gracefully and start it again."""
    host.signal(signal.SIGTERM)
    try:
        status = host.program.process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        status = None
    if status not in (0, -signal.SIGTERM, -signal.SIGKILL):
        broken.append(f"{host.name} ended with status {status} after SIGTERM")
    host.end()
    host.start()


def _send_after_faults(deployment, seed):
    if not deployment.wait_ready():
        return []
    sender = callers.Caller(CALLERS, deployment.hosts, seed)
    kinds = list(callers.RequestKind)
    return [
        sender.send(
            deployment.hosts[number % len(deployment.hosts)],
            kinds[number % len(kinds)],
            f"after-{number}",
        )
        for number in range(REQUESTS_AFTER_FAULTS)
    ]


def main(arguments):
    """Play seeds and print what each has shown.

    Returns
    -------
    int
        Exit status: 0 if every promise was kept.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=10.0, help="time with faults")
    options = parser.parse_args(arguments)
    status = 0
    for seed in range(options.seed, options.seed + options.seeds):
        verdict = run_seed(seed, options.seconds)
        print(
            f"seed {seed}: {len(verdict.broken)} broken, {len(verdict.planned)} "
            f"faults, {verdict.served} of {verdict.requests} calls served",
            flush=True,
        )
        if verdict.broken:
            status = 1
            print("\n".join([*verdict.broken[:20], *map(str, verdict.planned)]))
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
