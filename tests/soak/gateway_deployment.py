"""Deployment under test: gateway processes, fake upstreams and store, and proxies."""

import json
import pathlib
import re
import signal
import tempfile
import time

from tests.fakes import host_links, in_process_gateway, object_store
from tests.platform import test_program
from tests.soak import engines, proxy, run_log, upstreams

ROUTE_ATTEMPTS = 3
HOSTS = 3
UPSTREAMS = 4
ENGINES = 4
TIMEOUT_MS = 9000
# Memory of the smallest hosts of the users.
MEMORY_MB = 150
# Client accounts by their key. Only the second one is ever isolated.
OTHER_KEY = "key-2"
ISOLATED_ACCOUNT = "u"
# The configurations of a storm have so many routes more, 0.4 MB in all.
STORM_ROUTES = 1500
STORM_CHANGES = 12
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


class GatewayDeployment:
    """Hosts, upstreams and the platform's store.

    Notes
    -----
    Signals are only sent to processes that the deployment has started itself.
    """

    def __init__(self):
        self.log = run_log.RunLog()
        self.store = object_store.FakeObjectStore()
        # Monotonic times at which the store was disturbed or restored.
        self.store_disturbed_s = []
        # Monotonic times at which the store had acknowledged each weight version.
        self.acked_s_by_version = {}
        self.name_weight_version()
        # Monotonic times at which a request has ended an upstream.
        self.ended_s = []
        self.upstreams = [
            upstreams.Upstream(n, self.log, self.end_under_request)
            for n in range(UPSTREAMS)
        ]
        self.engines = [
            engines.Engine(
                n,
                self.log,
                self.end_under_request,
                self.register,
                self.get_weight_version,
            )
            for n in range(UPSTREAMS, UPSTREAMS + ENGINES)
        ]
        self.upstreams += self.engines
        self.version = 0
        self.is_isolated = False
        self.change_configuration()
        for upstream in self.upstreams:
            self.register(upstream)
        addresses = [upstream.proxy.address for upstream in self.upstreams]
        self.hosts = [Host(f"h{n}", self.store, addresses) for n in range(HOSTS)]
        for host in self.hosts:
            host.start()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for host in self.hosts:
            host.close()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()

    def wait_ready(self):
        """Wait until all hosts are ready; return whether they are."""
        return all(host.wait_ready() for host in self.hosts)

    def change_configuration(self):
        """Write the next version of the configuration, otherwise unchanged."""
        self._write_configuration(extra_routes=[])

    def change_isolation(self):
        """Isolate an account, or take that back."""
        self.is_isolated = not self.is_isolated
        self.change_configuration()

    def storm_configurations(self):
        """Write large configurations one after the other, then a small one."""
        extra_routes = [
            _make_route(f"extra-{number}", "safe", "s")
            for number in range(STORM_ROUTES)
        ]
        for _ in range(STORM_CHANGES):
            self._write_configuration(extra_routes)
        self.change_configuration()

    def _write_configuration(self, extra_routes):
        self.version += 1
        configuration = make_configuration(self.version, self.is_isolated)
        configuration["Routes"] += extra_routes
        self.store.put("config", "main", configuration)

    def name_weight_version(self):
        """Name the next weight version of the model, as an operator would."""
        version = self.get_weight_version() + 1
        spec = {"Model": engines.MODEL, "Version": version}
        self.store.put("versions", engines.MODEL, spec)
        self.acked_s_by_version[version] = time.monotonic()

    def get_weight_version(self):
        """Return the weight version that was named last."""
        return max(self.acked_s_by_version, default=0)

    def register(self, upstream):
        """Register an upstream in the platform's store with its current ID."""
        self.store.put("servers", upstream.id, upstream.make_registration())

    def drain(self, upstream):
        """Have an upstream say in the platform's store that it leaves."""
        upstream.state = "draining"
        self.register(upstream)

    def restart(self, upstream):
        """Restart an upstream with another ID at the same address."""
        self.store.delete("servers", upstream.id)
        upstream.restart()
        self.register(upstream)

    def list_link_faults_by_id(self):
        """Return the faults of the link to each start of an upstream, by ID."""
        return {
            f"i-{upstream.number}-{start}": upstream.link_faults
            for upstream in self.upstreams
            for start in range(1, upstream.starts + 1)
        }

    def list_senders_by_request(self):
        """Return the hosts that others forwarded requests to, by request ID.

        The processes must have ended.
        """
        return {
            line["request_id"]: line["peer"]
            for host in self.hosts
            for line in host.list_lines("call forwarded")
        }

    def end_under_request(self, upstream):
        """End an upstream that runs a fatal request, and start it anew."""
        self.ended_s.append(time.monotonic())
        self.restart(upstream)


def _make_route(name, kind, service):
    return {
        "Name": name,
        "Host": in_process_gateway.HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": 500,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": ROUTE_ATTEMPTS,
        "Resumable": name in ("stream", "prompt"),
        "Sticky": service == engines.Engine.service,
    }


def make_configuration(version, is_isolated):
    """Return a configuration with a route for each kind of request."""
    routes = [
        _make_route(*each)
        for each in (
            ("safe", "safe", "s"),
            ("unsafe", "unsafe", "s"),
            ("stream", "streaming", "s"),
            ("once", "streaming", "s"),
            ("prompt", "streaming", engines.Engine.service),
            ("prompt-once", "streaming", engines.Engine.service),
        )
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "MaxConns": 200} for name in ("s", engines.Engine.service)
        ],
        "Tenants": [
            {"Name": "t", "ApiKeys": [in_process_gateway.API_KEY]},
            {
                "Name": ISOLATED_ACCOUNT,
                "ApiKeys": [OTHER_KEY],
                "Isolated": is_isolated,
            },
        ],
    }
