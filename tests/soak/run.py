"""Runs the soak: ``python -m tests.soak.run --seed 1 --seconds 10``."""

import argparse
import signal
import subprocess
import sys
import threading
import time

import attrs

from tests.soak import callers, faults, promises, world

CALLERS = 6
# Rules and views are back within this time after the last fault.
SETTLE_S = 6.0
CALLS_AFTER = 40
# A host that was told to stop has gone after this time.
STOP_S = 9.0


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
    calls, served : int
        Calls, and those with a whole answer.
    """

    seed: int
    broken: list[str]
    planned: list[faults.PlannedFault]
    calls: int
    served: int


def play(seed, seconds):
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
    planned = faults.plan_faults(seed, seconds, world.HOSTS, world.UPSTREAMS)
    with world.World() as made:
        if not made.wait_ready():
            return Verdict(seed, ["the hosts did not get ready"], planned, 0, 0)
        senders = [callers.Caller(n, made.hosts, seed) for n in range(CALLERS)]
        for sender in senders:
            sender.start()
        _do_faults(made, planned)
        for sender in senders:
            sender.stopped.set()
        for sender in senders:
            sender.join()
        outcomes = [each for sender in senders for each in sender.outcomes]
        broken = _end_hosts(made)
        time.sleep(SETTLE_S)
        after = _call_after(made, seed)
        # Requests that a host gave up may still reach an upstream.
        broken += promises.check(outcomes + after, made.log.list())
        broken += promises.check_recovery(after)
        served = sum(each.is_whole and each.status == 200 for each in outcomes)
        return Verdict(seed, broken, planned, len(outcomes), served)


def _do_faults(made, planned):
    """Begin and end each fault in its time; hosts that have gone are restarted."""
    moments = [(each.at_s, number, True, each) for number, each in enumerate(planned)]
    moments += [
        (each.ends_s, number, False, each) for number, each in enumerate(planned)
    ]
    begun_s = time.monotonic()
    for at_s, _, begins, each in sorted(moments, key=lambda moment: moment[:2]):
        wait_s = begun_s + at_s - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        if begins:
            faults.begin(made, each)
        else:
            faults.end(made, each)
            _restart_gone(made)


def _restart_gone(made):
    for host in made.hosts:
        if host.program.process.poll() is not None:
            host.end()
            host.start()


def _end_hosts(made):
    """Let every host run again; return a line for each that did not stop."""
    broken = []
    threads = []
    for host in made.hosts:
        host.signal(signal.SIGCONT)
        thread = threading.Thread(target=_await_stop, args=(host, broken))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return broken


def _await_stop(host, broken):
    """Stop a host gracefully and start it again."""
    host.signal(signal.SIGTERM)
    try:
        status = host.program.process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        status = None
    if status not in (0, -signal.SIGTERM, -signal.SIGKILL):
        broken.append(f"{host.name} ended with status {status} after SIGTERM")
    host.end()
    host.start()


def _call_after(made, seed):
    if not made.wait_ready():
        return []
    sender = callers.Caller(CALLERS, made.hosts, seed)
    kinds = list(callers.Kind)
    return [
        sender.send(
            made.hosts[number % len(made.hosts)],
            kinds[number % len(kinds)],
            f"after-{number}",
        )
        for number in range(CALLS_AFTER)
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
        verdict = play(seed, options.seconds)
        print(
            f"seed {seed}: {len(verdict.broken)} broken, {len(verdict.planned)} "
            f"faults, {verdict.served} of {verdict.calls} calls served",
            flush=True,
        )
        if verdict.broken:
            status = 1
            print("\n".join([*verdict.broken[:20], *map(str, verdict.planned)]))
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
