"""Processes that a benchmark starts, and their resource use."""

import contextlib
import json
import random
import socket
import subprocess
import sys
import time

import attrs
import psutil
import urllib3

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
MEBIBYTE = 1 << 20
# Below the range from which the kernel assigns ports to outgoing connections.
LISTEN_PORT_RANGE = (20000, 30000)


class ProcessLauncher(contextlib.ExitStack):
    """Context manager that starts processes and ends each of them on exit."""

    def start(self, *arguments):
        """Start a process with text pipes as its standard input and output.

        Parameters
        ----------
        *arguments : str
            Command line.

        Returns
        -------
        subprocess.Popen
            The started process.
        """
        process = subprocess.Popen(
            arguments,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.callback(stop, process)
        return process

    def start_module(self, name, *arguments):
        """Start a module of this package with ``python -m``."""
        return self.start(sys.executable, "-m", f"benchmarks.{name}", *arguments)

    def start_program(self, name, *arguments):
        """Start the ``main`` function of a module as a program."""
        code = f"import sys; from {name} import main; sys.exit(main())"
        return self.start(sys.executable, "-c", code, *arguments)


@attrs.frozen
class Usage:
    """Resource use of a process since its start.

    Parameters
    ----------
    cpu_s : float
        Processor time, seconds.
    at_s : float
        Monotonic time of the reading, seconds.
    resident_mib : float
        Resident memory, MiB.
    """

    cpu_s: float
    at_s: float
    resident_mib: float


def read_usage(process):
    """Return the resource use of a process.

    Parameters
    ----------
    process : subprocess.Popen
        Process to read.

    Returns
    -------
    Usage
        Resource use since the start of the process.
    """
    process_info = psutil.Process(process.pid)
    times = process_info.cpu_times()
    resident_mib = process_info.memory_info().rss / MEBIBYTE
    return Usage(times.user + times.system, time.monotonic(), resident_mib)


def stop(process):
    """Terminate a process, and kill it if it has not ended in `STOP_TIMEOUT_S`."""
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
    for pipe in (process.stdin, process.stdout):
        pipe.close()


def query_count(process):
    """Send an empty line to a process and return the number that it prints."""
    process.stdin.write("\n")
    process.stdin.flush()
    return int(process.stdout.readline())


def read_json(process):
    """Return the value of the next line of a process's output, which is JSON."""
    return json.loads(process.stdout.readline())


def find_free_port():
    """Return a free port that the kernel does not assign to outgoing connections."""
    while True:
        port = random.randrange(*LISTEN_PORT_RANGE)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class StartError(Exception):
    """A process ended before it was ready; its port may have been in use."""


def wait_for_url(url, process):
    """Wait until a process responds to a URL with a status below 300.

    Raises
    ------
    StartError
        If the process has ended.
    TimeoutError
        If there is no such response within `START_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            response = urllib3.request("GET", url, retries=False, timeout=1)
            # If the process has ended, another process on its port sent the response.
            if process.poll() is not None:
                raise StartError(f"the process behind {url} has ended")
            if response.status < 300:
                return
        time.sleep(0.05)
    raise TimeoutError(f"{url} did not become ready in time")


def wait_for_port(port):
    """Wait until a port accepts connections.

    Raises
    ------
    TimeoutError
        If it does not within `START_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with (
            contextlib.suppress(OSError),
            socket.create_connection(("127.0.0.1", port)),
        ):
            return
        time.sleep(0.05)
    raise TimeoutError(f"port {port} did not open in time")
