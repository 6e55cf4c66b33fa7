"""Starts the project's gateway as the deploy file says, on loopback addresses."""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the users' sheet for a small deployment.
BOUNDS = {
    "StabilityWindowMs": 3000,
    "DrainMs": 2000,
    "GraceS": 8,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 58,
    "ColdOver": 1.5,
    "ColdSlack": 5,
    "LeaseMs": 3000,
    "VersionMs": 6000,
}
HEARTBEAT_MS = 1200
ZONES = ("seeb", "ruwi", "qurum")
HOST_NAME = "desk.example"
KEY = "k3y0fthefirsttenant0"
TENANT = "tenant-a"
START_TIMEOUT_S = 20.0
OPERATORS_PORT = 9100
LOGGED_BYTES = 600
_SECTION = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_PLACE = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")


class CannotRunError(Exception):
    """The case could not run; nothing is known of the rule."""


def free_port(ip):
    """Return a port that is free on an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def find_free_ip(number):
    """Return a loopback address that no other deployment of this machine uses."""
    pid = os.getpid()
    for attempt in range(50):
        ip = f"127.{64 + (pid // 250 + attempt) % 128}.{pid % 250 + 1}.{number}"
        with socket.socket() as sock:
            try:
                # The deploy file's template fixes this port.
                sock.bind((ip, OPERATORS_PORT))
            except OSError:
                continue
            return ip
    raise CannotRunError("no loopback address is free")


def _look_up(fields, path):
    value = fields
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if int(key) < len(value) else None
        else:
            value = value.get(key) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """Fill a template in, as far as the deploy file's template needs it."""

    def fill_section(match):
        value = _look_up(fields, match.group(1))
        if value in (None, False):
            return ""
        return match.group(2).replace("{{.}}", str(value))

    def fill_place(match):
        value = _look_up(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    return _PLACE.sub(fill_place, _SECTION.sub(fill_section, template))


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, number, store_address, folder, memory_mb=300):
        self.number = number
        self.store_address = store_address
        self.memory_mb = memory_mb
        self.name = f"front-{number}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.settings = folder / f"{self.name}.yaml"
        self.log_path = folder / f"{self.name}.log"
        self.process = None
        self.configure()

    def configure(self):
        """Choose an address and ports, and write the settings file."""
        self.ip = find_free_ip(self.number)
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = system["roles"]["gateway"]
        fields = {
            "Node": self.name,
            "Zone": self.zone,
            "Ip": self.ip,
            "Listen": {"Front": self.front, "Ready": self.ready},
            "Provider": {"Address": self.store_address},
            "PortRange": [free_port(self.ip), free_port(self.ip)],
            "Limits": {"MemoryMb": self.memory_mb, "MaxFds": 4100},
            "Bounds": BOUNDS,
        }
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(render(template, fields))
        self.command = role["run"].split()

    def start(self):
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SYCAMORESPOKE_BOOT": str(self.settings),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_ready(self):
        """Return whether the gateway says that it is ready."""
        ip, port = self.ready.split(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=1)
        try:
            connection.request("GET", "/sycamorespoke/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_ready(self):
        """Wait until the gateway is ready."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.process.poll() is not None:
                last = self.log_path.read_bytes()[-LOGGED_BYTES:]
                status = self.process.returncode
                raise CannotRunError(f"{self.name} ended: {status}, {last!r}")
            if self.is_ready():
                return
            time.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """A store, some gateways and what the case adds; ends all at the end."""

    def __init__(self, gateways, memory_mb=300):
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = pathlib.Path(self._folder.name)
        self.store_server = platform_store.StoreServer("127.0.0.1")
        self.store = self.store_server.store
        self.gateways = [
            Gateway(number + 1, self.store_server.address, folder, memory_mb)
            for number in range(gateways)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for gateway in self.gateways:
            gateway.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for gateway in self.gateways:
                if gateway.log_path.exists():
                    target = pathlib.Path(keep) / gateway.log_path.name
                    target.write_bytes(gateway.log_path.read_bytes())
        self._folder.cleanup()

    def start(self):
        """Start all gateways and wait until they are ready."""
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build step")
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            try:
                gateway.wait_ready()
            except CannotRunError:
                # A port may have been taken since it was found free.
                gateway.kill()
                gateway.configure()
                gateway.start()
                gateway.wait_ready()

    def write_configuration(self, version, routes, services, tenants=None):
        """Write a desired state as the operator does."""
        self.store.put(
            "config",
            "main",
            {
                "Version": version,
                "Routes": routes,
                "Services": services,
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 5000,
                    "IdleTimeoutMs": 20000,
                },
                "Tenants": tenants or [{"Name": TENANT, "ApiKeys": [KEY]}],
            },
        )

    def register(self, server, state="ready"):
        """Write the entry of a server, as the server itself does."""
        entry = server.entry(state)
        self.store.put("servers", server.id, entry)


def make_route(name, kind, service, **fields):
    """Return one route of the desired state."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 200,
        "Priority": 1,
        "MaxAttempts": 1,
        **fields,
    }


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._begun_s = time.monotonic()

    def write(self, text):
        """Write one line with the time since the beginning."""
        elapsed_s = time.monotonic() - self._begun_s
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


def run_case(case, folder):
    """Run a case and end the process with its result."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble {int(trouble)}")
    try:
        is_broken = case(record, trouble)
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    except Exception:
        record.write(f"could not run: {traceback.format_exc()}")
        print("could not run, see the record")
        sys.exit(2)
    record.write("rule broken" if is_broken else "rule held")
    print("rule broken" if is_broken else "rule held")
    sys.exit(1 if is_broken else 0)
