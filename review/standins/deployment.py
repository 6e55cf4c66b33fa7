"""Starts gateway processes with the command of the deploy file, and keeps a record."""

import asyncio
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import http_server

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_PATH = "/sycamorespoke/ready"
READY_TIMEOUT_S = 30.0
GRACE_S = 8
RESTART_S = 0.5
MEMORY_POLL_S = 0.02
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRun(Exception):
    """Raised if a case could not run."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._path = path
        self._begun_s = time.monotonic()
        path.write_text("", encoding="utf-8")

    def note(self, text):
        """Write one line."""
        line = f"{time.monotonic() - self._begun_s:8.3f}  {text}"
        with self._path.open("a", encoding="utf-8") as file:
            file.write(line + "\n")


def find_free_port():
    """Return a port that nobody listens on now."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


class Gateway:
    """One gateway process on a host of its own name and ports.

    Parameters
    ----------
    name, zone : str
        Name of the host and its zone.
    store_address : str
        Address of the platform's store.
    record : Record
        Gets the starts and ends.
    """

    def __init__(self, name, zone, store_address, record):
        self.name = name
        self.zone = zone
        self.store_address = store_address
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.process = None
        self.ports = {
            each: find_free_port()
            for each in ("front", "ready", "operators", "peer", "forward")
        }

    @property
    def port(self):
        """Port for clients."""
        return self.ports["front"]

    async def start(self):
        """Start the process."""
        settings = self.folder / "boot.yaml"
        settings.write_text(self._make_settings(), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["gateway"]["run"].split()
        paths = [str(ROOT / "target/deps"), str(ROOT)]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": os.pathsep.join(paths),
            "SYCAMORESPOKE_BOOT": str(settings),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{self.name}: process started")

    async def wait_ready(self):
        """Wait until the process says that it is ready."""
        ends_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_s:
            if self.process.returncode is not None:
                break
            answer = await http_server.send(
                self.ports["ready"], "GET", READY_PATH, {}, timeout_s=1.0
            )
            if answer.status == 200:
                self.record.note(f"{self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"{self.name} did not become ready")

    def signal(self, number):
        """Send a signal to the process."""
        self.record.note(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def read_log(self):
        """Return what the process has logged."""
        return (self.folder / "log").read_text("utf-8", "replace")

    async def end(self):
        """Kill the process if it still runs, and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copy(self.folder / "log", f"{os.environ['KEEP_LOGS']}/{self.name}")
        shutil.rmtree(self.folder, ignore_errors=True)

    def _make_settings(self):
        ports = self.ports
        return f"""name: {self.name}
data_centre: {self.zone}
listen: "127.0.0.1:{ports["front"]}"
ready_listen: "127.0.0.1:{ports["ready"]}"
operators_listen: "127.0.0.1:{ports["operators"]}"
platform: "{self.store_address}"
peer_ip: "127.0.0.1"
peer_port: {ports["peer"]}
forward_port: {ports["forward"]}
memory_mb: 300
files: 4100
grace_s: {GRACE_S}
lease_ms: 3000
version_ms: 6000
retry_ratio: 0.2
retry_slack: 58
cold_tolerated: 1.5
cold_slack: 5
"""


class Machine:
    """A machine of the platform, which kills a process that exceeds its memory.

    Parameters
    ----------
    gateway : Gateway
        The process that it runs, and starts again after its end.
    memory_mb : float
        Memory that a process of it may use.
    record : Record
        Gets the ends.
    """

    def __init__(self, gateway, memory_mb, record):
        self.gateway = gateway
        self.memory_mb = memory_mb
        self.record = record
        self.kills = 0
        self.peak_mb = 0.0

    async def watch(self):
        """Watch the process until cancelled."""
        while True:
            await asyncio.sleep(MEMORY_POLL_S)
            memory_mb = self._read_memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb <= self.memory_mb:
                continue
            self.kills += 1
            self.record.note(f"{self.gateway.name}: uses {memory_mb:.0f} MB, is killed")
            self.gateway.signal(signal.SIGKILL)
            await self.gateway.process.wait()
            await asyncio.sleep(RESTART_S)
            await self.gateway.start()
            await self.gateway.wait_ready()

    def _read_memory_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.gateway.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+([0-9]+) kB", text)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0


def run_case(play, folder, time_limit_s=100.0):
    """Play a case and exit as the script of a case has to.

    Parameters
    ----------
    play : coroutine function
        Takes the record and whether there is trouble; returns whether the rule was
        kept.
    folder : pathlib.Path
        Folder of the case.
    time_limit_s : float
        The case could not run if it takes longer.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {'yes' if has_trouble else 'no'}")

    async def limited():
        # The processes that it started end also if it is terminated.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(time_limit_s):
            return await play(record, has_trouble)

    try:
        is_kept = asyncio.run(limited())
    except (NotRun, TimeoutError, asyncio.CancelledError) as error:
        record.note(f"the case could not run: {error!r}")
        print(f"not run: {error!r}")
        sys.exit(NOT_RUN)
    record.note("the rule held" if is_kept else "the rule was broken")
    print("held" if is_kept else "broken")
    sys.exit(HELD if is_kept else BROKEN)
