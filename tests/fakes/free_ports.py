"""Ports of 127.0.0.1 for processes that a test starts."""

import functools
import itertools
import os
import socket

ADDRESS = "127.0.0.1"
# Below the system's ports of outgoing connections.
FIRST_PORT = 20000
PORTS_PER_RUN = 200
RUNS = 60


class PortRange:
    """Range of ports that belongs to one run of the tests at a time.

    The run listens on the first port of its range for as long as it exists, so that a
    concurrent run takes another range.

    Parameters
    ----------
    run_number : int
        Number of the range to try first.
    """

    def __init__(self, run_number):
        self._guard, first = _claim_range(run_number)
        self._ports = itertools.cycle(range(first + 1, first + PORTS_PER_RUN))

    def choose_port(self):
        """Return a free port; each one once before any is repeated."""
        for _ in range(PORTS_PER_RUN):
            port = next(self._ports)
            if _is_free(port):
                return port
        raise OSError("no port of the range is free")

    def close(self):
        """Leave the range to other runs."""
        self._guard.close()


def _claim_range(run_number):
    for attempt in range(RUNS):
        first = FIRST_PORT + (run_number + attempt) % RUNS * PORTS_PER_RUN
        guard = socket.socket()
        try:
            guard.bind((ADDRESS, first))
            guard.listen()
        except OSError:
            guard.close()
            continue
        return guard, first
    raise OSError("each range of ports belongs to another run")


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((ADDRESS, port))
        except OSError:
            return False
    return True


@functools.cache
def _get_range(process):
    return PortRange(process)


def choose_free_port():
    """Return a free port that this process has not drawn lately."""
    return _get_range(os.getpid()).choose_port()
