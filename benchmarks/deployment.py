"""Deployment of stand-ins around one real daemon, for benchmarks."""

import json
import time

import attrs
import urllib3

from benchmarks import processes
from sycamorespoke import clients, domain

SHARED_KEY = "00" * 32
DATA_CENTRE = "bench"
RULE_COMMENT = "# asked by bench: measurement"
SERVICE_STATE = {
    "revision": 1,
    "writer": "bench",
    "data_centres_out": [],
    "upstreams_out": [],
}


@attrs.frozen
class Plan:
    """Composition of a deployment.

    Parameters
    ----------
    peers : int
        Daemons with which the measured daemon exchanges heartbeats, 0 or more.
    upstreams : int
        Model engines, 1 or more.
    accounts : int
        Client accounts, 1 or more.
    blocks : int, default=0
        Cached blocks that each engine reports.
    limit : int, default=8
        Maximum number of requests that one engine runs concurrently.
    threads : int, default=64
        Threads of the daemon that serve callers.
    role : {"entry", "steward"}, default="entry"
        Measured program.
    """

    peers: int
    upstreams: int
    accounts: int
    blocks: int = 0
    limit: int = 8
    threads: int = 64
    role: str = "entry"


class Deployment:
    """One real daemon and the stand-ins that it communicates with.

    Parameters
    ----------
    launcher : processes.ProcessLauncher
        Starts the processes, and ends them when its context exits.
    folder : str
        Folder for the settings files of the daemons.
    plan : Plan
        Composition of the deployment.
    """

    def __init__(self, launcher, folder, plan):
        self.launcher = launcher
        self.folder = folder
        self.plan = plan
        self.daemon = None
        self.platform = None
        self.port = processes.find_free_port()
        self.engine_port = 0
        self.operators_port = processes.find_free_port()
        self.ready_after_s = 0.0
        self._peer_port = processes.find_free_port()
        self._peer_process = None
        self._counter_process = None
        self._counter_port = 0

    def start(self):
        """Start the stand-ins and the daemon, and wait until the daemon is ready."""
        platform_port = processes.find_free_port()
        address = f"127.0.0.1:{platform_port}"
        platform = self.launcher.start_program(
            "sycamorespoke.standins", "platform", "--listen", address
        )
        processes.wait_for_url(f"http://{address}/v1/hosts", platform)
        self.platform = clients.PlatformClient(f"http://{address}")
        self._counter_process = self.launcher.start_module(
            "byte_counter", "--port", str(platform_port)
        )
        self._counter_port = int(self._counter_process.stdout.readline())
        self._start_and_register_hosts(platform_port)
        self.platform.put("rules", make_rules_value(self.plan, 1), 0)
        self.platform.put("service-state", SERVICE_STATE, 0)
        start_s = time.monotonic()
        self.daemon = self._start_daemon("bench-entry-1", self.operators_port)
        self._peer_process.stdin.write(f"127.0.0.1:{self._peer_port}\n")
        self._peer_process.stdin.flush()
        url = f"http://127.0.0.1:{self.operators_port}/metrics"
        processes.wait_for_url(url, self.daemon)
        if self.plan.role == "entry":
            url = f"http://127.0.0.1:{self.port}/readyz"
            processes.wait_for_url(url, self.daemon)
        self.ready_after_s = time.monotonic() - start_s

    def start_second(self):
        """Start a second steward and return its operators' port."""
        operators_port = processes.find_free_port()
        self._peer_port = processes.find_free_port()
        second_daemon = self._start_daemon("bench-entry-2", operators_port)
        processes.wait_for_url(
            f"http://127.0.0.1:{operators_port}/metrics", second_daemon
        )
        return operators_port

    def count_bytes(self):
        """Return the number of bytes to and from the daemon so far."""
        url = f"http://127.0.0.1:{self.engine_port}/bytes"
        engines = json.loads(urllib3.request("GET", url).data)["bytes"]
        return (
            engines
            + processes.query_count(self._peer_process)
            + processes.query_count(self._counter_process)
        )

    def count_platform_requests(self):
        """Return the number of requests to the platform so far."""
        url = f"{self.platform.base_url}/counts"
        counts = json.loads(urllib3.request("GET", url).data)
        return counts["reads"] + counts["watches"] + counts["writes"]

    def _start_and_register_hosts(self, platform_port):
        engines = self.launcher.start_module(
            "token_source",
            "--engines",
            str(self.plan.upstreams),
            "--blocks",
            str(self.plan.blocks),
        )
        self._peer_process = self.launcher.start_module(
            "peer_stub",
            "--peers",
            str(self.plan.peers),
            "--data-centre",
            DATA_CENTRE,
            "--shared-key",
            SHARED_KEY,
        )
        ports = processes.read_json(engines)
        self.engine_port = ports[0]
        peer_address = f"127.0.0.1:{self._peer_port}"
        hosts = [make_host("bench-entry-1", "entry", "", peer_address)]
        for number, address in enumerate(processes.read_json(self._peer_process)):
            hosts.append(make_host(f"bench-peer-{number}", "entry", "", address))
        for number, port in enumerate(ports):
            hosts.append(
                make_host(f"bench-engine-{number}", "upstream", f"127.0.0.1:{port}", "")
            )
        url = f"http://127.0.0.1:{platform_port}/v1/hosts"
        urllib3.request("PUT", url, json={"hosts": hosts})

    def _start_daemon(self, name, operators_port):
        path = self._write_settings(name, operators_port)
        program = f"sycamorespoke.{self.plan.role}"
        return self.launcher.start_program(program, "--settings", path)

    def _write_settings(self, name, operators_port):
        lines = [
            f"name: {name}",
            f"data_centre: {DATA_CENTRE}",
            f"operators_listen: 127.0.0.1:{operators_port}",
            f"peer_listen: 127.0.0.1:{self._peer_port}",
            f"platform: http://127.0.0.1:{self._counter_port}",
            f'shared_key: "{SHARED_KEY}"',
            "log_level: ERROR",
        ]
        if self.plan.role == "entry":
            lines.append(f"listen: 127.0.0.1:{self.port}")
            lines.append(f"threads: {self.plan.threads}")
            lines.append("drain_s: 1")
        path = f"{self.folder}/{name}.yaml"
        with open(path, "w", encoding="utf-8") as stream:
            stream.write("\n".join(lines) + "\n")
        return path


def make_host(name, role, address, peer_address):
    """Return an entry of the platform's host list."""
    return {
        "name": name,
        "data_centre": DATA_CENTRE,
        "role": role,
        "address": address or "127.0.0.1:9",
        "peer_address": peer_address,
        "group": "m" if role == "upstream" else "",
        "state": "live",
    }


def make_rules_value(plan, revision):
    """Return the value of the platform's rules object."""
    group_limits = f"limit={plan.limit} cold_limit={plan.limit}"
    lines = [
        f"deployment bench {RULE_COMMENT}",
        f"data-centre {DATA_CENTRE} {RULE_COMMENT}",
        f"group m kind=model model=m version=v1 {group_limits} {RULE_COMMENT}",
        f"route m model=m group=m idempotent=yes deadline=60s {RULE_COMMENT}",
    ]
    for number in range(plan.accounts):
        key_hash = domain.hash_api_key(f"bench-{number}")
        limits = "rate=10000/s concurrency=10000"
        lines.append(
            f"account account-{number} key=sha256:{key_hash} {limits} {RULE_COMMENT}"
        )
    return {
        "revision": revision,
        "writer": f"bench-{revision}",
        "author": "bench",
        "applied_at": "2026-01-01T00:00:00+00:00",
        "text": "\n".join(lines) + "\n",
    }
