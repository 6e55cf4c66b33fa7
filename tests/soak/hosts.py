"""Gateway processes under test, each behind proxies of its own."""

import json
import pathlib
import re
import signal
import tempfile
import time

from tests.fakes import host_links
from tests.platform import test_program
from tests.soak import proxy

# Memory of the smallest hosts of the users.
MEMORY_MB = 150
PORT_IN_USE = "Address already in use"


class Host:
    """Gateway process that reaches the store and each upstream through proxies.

    Parameters
    ----------
    name : str
        Name of the host, which a restart keeps.
    store : FakeObjectStore
        The platform's store.
    addresses : list of str
        Addresses of the upstreams.
    """

    def __init__(self, name, store, addresses):
        self.name = name
        self.links = host_links.HostLinks(addresses)
        self.proxy = proxy.LoopbackProxy(store.address)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        self.program = None
        self.logs = []
        # Monotonic times of all signals, which may have stopped or paused the host.
        self.signalled_s = []
        # Monotonic times at which the links to the upstreams were cut or mended.
        self.cut_s = []
        # Monotonic times at which the link to the store was disturbed or restored.
        self.store_cut_s = []
        # Monotonic times at which processes were started.
        self.started_s = []
        # Memory of the processes that were running when they were ended, MB.
        self.peaks_mb = []

    @property
    def port(self):
        """Port of the current process for callers."""
        return self.program.ports["listen"]

    def start(self):
        """Start a process; the previous one must have ended."""
        self.started_s.append(time.monotonic())
        self.program = test_program.GatewayProcess(
            self.proxy,
            self.folder,
            module=host_links.MODULE,
            environment=self.links.make_environment(),
            name=f'"{self.name}"',
            log_level="INFO",
            memory_mb=MEMORY_MB,
        )

    def wait_ready(self):
        """Wait until the process is ready; return whether it is.

        If the process exited because its port was in use, which happens when a
        concurrent run chooses the same port, it is started once more.
        """
        if self.program.wait_ready():
            return True
        if self.program.process.poll() is None:
            return False
        self.end()
        if PORT_IN_USE not in self.logs[-1]:
            return False
        self.start()
        return self.program.wait_ready()

    def signal(self, number):
        """Send a signal to the process, if it is running."""
        self.signalled_s.append(time.monotonic())
        if self.program.process.poll() is None:
            self.program.process.send_signal(number)

    def set_links(self, mode):
        """Set the mode of the links to all upstreams."""
        self.cut_s.append(time.monotonic())
        self.links.set_mode(mode)

    def set_store_link(self, mode):
        """Set the mode of the link to the store."""
        self.store_cut_s.append(time.monotonic())
        self.proxy.set_mode(mode)

    def end(self):
        """Kill the process and append its log to `logs`."""
        self.signal(signal.SIGCONT)
        self._record_peak()
        self.logs.append(self.program.close())

    def _record_peak(self):
        path = pathlib.Path(f"/proc/{self.program.process.pid}/status")
        text = path.read_text() if path.exists() else ""
        found = re.search(r"VmHWM:\s+(\d+) kB", text)
        if found:
            self.peaks_mb.append(int(found[1]) * 1024 / 1_000_000)

    def list_lines(self, event):
        """Return the fields of the log lines of an event of ended processes."""
        found = []
        for text in "\n".join(self.logs).splitlines():
            if f'"event":"{event}"' in text:
                found.append(json.loads(text))
        return found

    def close(self):
        """End the process and proxy; write the logs to the host's folder."""
        self.end()
        self.proxy.close()
        self.links.close()
        (self.folder / "log").write_text("\n".join(self.logs))
