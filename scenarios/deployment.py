"""Deployment of stand-ins in this process and entry hosts in child processes."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import attrs
import urllib3
import yaml

from sycamorespoke import clients, domain, standins
from tests.fakes import free_ports

BIN_DIR = pathlib.Path(sys.executable).parent
SHARED_KEY = "5c" * 32
API_KEYS_BY_ACCOUNT = {"clubs": "key-of-clubs", "pickup": "key-of-pickup"}
START_TIMEOUT_S = 15.0
POLL_S = 0.05


def wait_until(condition, timeout_s, description):
    ends_s = time.monotonic() + timeout_s
    while time.monotonic() < ends_s:
        if condition():
            return
        time.sleep(POLL_S)
    raise AssertionError(f"timed out after {timeout_s} s: {description}")


def make_rules(version="v1", limit=8, cold_limit=8, warm_up="0s", extra=""):
    accounts = "\n".join(
        f"account {name} key=sha256:{domain.hash_api_key(key)} rate=1000/s "
        "concurrency=1000  # asked by Salma: test"
        for name, key in API_KEYS_BY_ACCOUNT.items()
    )
    return f"""\
deployment abrr  # asked by Salma: test
data-centre seeb  # asked by Salma: test
data-centre ruwi  # asked by Salma: test
data-centre qurum  # asked by Salma: test
group scribe kind=model model=scribe version={version} limit={limit} \
cold_limit={cold_limit} warm_up={warm_up}  # asked by Salma: test
group bibdesk kind=service limit=32  # asked by Salma: test
route chat model=scribe group=scribe idempotent=yes  # asked by Salma: test
route bookings path=/bookings methods=POST group=bibdesk idempotent=no \
deadline=5s  # asked by Salma: test
route lookups path=/bookings methods=GET group=bibdesk \
idempotent=yes  # asked by Salma: test
{accounts}
{extra}
"""


@attrs.define
class EntryProcess:
    """An entry host that runs in its own process."""

    host: domain.Host
    operators_address: str
    settings_path: pathlib.Path
    log_path: pathlib.Path
    process: subprocess.Popen = None

    @property
    def url(self):
        return f"http://{self.host.address}"

    def send_signal(self, number):
        os.kill(self.process.pid, number)

    def freeze(self):
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.send_signal(signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def get(self, path, operators=False):
        base = f"http://{self.operators_address}" if operators else self.url
        return urllib3.request("GET", base + path, timeout=5, retries=False)

    def is_ready(self):
        if self.process.poll() is not None:
            return False
        try:
            return self.get("/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False


class Deployment:
    """Stand-ins and entry hosts, usable as a context manager.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings and log files.
    engines_by_name : dict of str to tuple of (str, standins.EngineOptions)
        Data centre and options of each engine.
    services_by_name : dict of str to tuple of (str, standins.ServiceOptions)
        Data centre and options of each plain service.
    stores_by_name : dict of str to tuple of (str, standins.StoreOptions)
        Data centre and options of each KV store host.
    """

    def __init__(
        self, folder, engines_by_name=None, services_by_name=None, stores_by_name=None
    ):
        self.folder = pathlib.Path(folder)
        self.entries_by_name = {}
        self.handles_by_name = {}
        self.upstreams_by_name = {}
        self.platform = standins.run_in_thread(standins.PlatformStandin(), threads=128)
        self.platform_client = clients.PlatformClient(self.platform.url)
        for name, (data_centre, options) in (engines_by_name or {}).items():
            self._add_upstream(
                name, data_centre, "scribe", standins.EngineStandin(options)
            )
        for name, (data_centre, options) in (services_by_name or {}).items():
            self._add_upstream(
                name, data_centre, "bibdesk", standins.ServiceStandin(options)
            )
        for name, (data_centre, options) in (stores_by_name or {}).items():
            self._add_upstream(name, data_centre, "", standins.StoreStandin(options))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for entry in self.entries_by_name.values():
            if entry.process is not None and entry.process.poll() is None:
                entry.kill()
        for handle in self.handles_by_name.values():
            handle.close()
        self.platform.close()

    def standin(self, name):
        return self.handles_by_name[name].standin

    def set_faults(self, name, **faults):
        handle = self.platform if name == "platform" else self.handles_by_name[name]
        body = json.dumps(faults).encode()
        response = urllib3.request("PUT", f"{handle.url}/faults", body=body)
        assert response.status in (200, 204), response.data

    def read_counts(self, name):
        handle = self.platform if name == "platform" else self.handles_by_name[name]
        return urllib3.request("GET", f"{handle.url}/counts").json()

    def count_stored_blocks(self, name):
        usage = urllib3.request("GET", f"{self.handles_by_name[name].url}/v1/usage")
        return usage.json()["blocks"]

    def add_entry(self, name, data_centre, threads=64, drain_s=10.0):
        ports = [free_ports.choose_free_port() for _ in range(3)]
        host = domain.Host(
            name=name,
            data_centre=data_centre,
            role=domain.HostRole.ENTRY,
            address=f"127.0.0.1:{ports[0]}",
            peer_address=f"127.0.0.1:{ports[1]}",
        )
        settings_path = self.folder / f"{name}.yaml"
        values = {
            "name": name,
            "data_centre": data_centre,
            "listen": host.address,
            "operators_listen": f"127.0.0.1:{ports[2]}",
            "peer_listen": host.peer_address,
            "platform": self.platform.url,
            "shared_key": SHARED_KEY,
            "threads": threads,
            "drain_s": drain_s,
        }
        settings_path.write_text(yaml.safe_dump(values))
        entry = EntryProcess(
            host, f"127.0.0.1:{ports[2]}", settings_path, self.folder / f"{name}.log"
        )
        self.entries_by_name[name] = entry
        return entry

    def start_entry(self, name):
        entry = self.entries_by_name[name]
        with open(entry.log_path, "ab") as log:
            entry.process = subprocess.Popen(
                [BIN_DIR / "sycamorespoke-entry", "--settings", entry.settings_path],
                stdout=log,
                stderr=log,
            )
        return entry

    def start(self, rules=None):
        """Publish hosts and rules, start the entry hosts and wait for readiness."""
        self.publish_hosts()
        self.publish("rules", {"text": rules or make_rules()})
        for name in self.entries_by_name:
            self.start_entry(name)
        for name, entry in self.entries_by_name.items():
            description = f"{name} ready; see {entry.log_path}"
            wait_until(entry.is_ready, START_TIMEOUT_S, description)

    def publish_hosts(self, leaving=()):
        # The platform also removes a dead host from its list after some time.
        hosts = [
            entry.host
            for entry in self.entries_by_name.values()
            if entry.process is None or entry.process.poll() is None
        ]
        hosts += list(self.upstreams_by_name.values())
        items = [attrs.asdict(host) for host in hosts]
        for item in items:
            item["role"] = item["role"].value
            item["state"] = "leaving" if item["name"] in leaving else "live"
        self.platform.standin.set_hosts(items)

    def publish(self, name, fields):
        """Write the next revision of a document, as an operator's command does."""
        stored = self.platform_client.get(name)
        exists = isinstance(stored, clients.StoredObject)
        value = {
            "revision": stored.value["revision"] + 1 if exists else 1,
            "writer": "test",
            "author": "test",
            "applied_at": 0.0,
            **fields,
        }
        written = self.platform_client.put(name, value, stored.version if exists else 0)
        assert isinstance(written, clients.StoredObject), written
        return value["revision"]

    def publish_service_state(self, data_centres_out=(), upstreams_out=()):
        return self.publish(
            "service-state",
            {
                "data_centres_out": list(data_centres_out),
                "upstreams_out": list(upstreams_out),
            },
        )

    def send_completion(
        self, entry, prompt, max_tokens=5, account="clubs", headers=None
    ):
        """Send a completion without streaming."""
        body = {"model": "scribe", "prompt": prompt, "max_tokens": max_tokens}
        return self.send_request(
            entry, "POST", "/v1/completions", body, account, headers
        )

    def send_booking(self, entry, slot, key=None, account="pickup", timeout_s=10.0):
        """Send a booking, with an idempotency key if `key` is given."""
        headers = {"Idempotency-Key": key} if key else {}
        return self.send_request(
            entry, "POST", "/bookings", {"slot": slot}, account, headers, timeout_s
        )

    def send_request(
        self, entry, method, path, body, account, headers=None, timeout_s=30.0
    ):
        all_headers = {
            "Authorization": f"Bearer {API_KEYS_BY_ACCOUNT[account]}",
            **(headers or {}),
        }
        return urllib3.request(
            method,
            self.entries_by_name[entry].url + path,
            body=None if body is None else json.dumps(body).encode(),
            headers=all_headers,
            timeout=timeout_s,
            retries=False,
        )

    def end_upstream(self, name):
        """Close the listener and all connections of an upstream, as its end does."""
        self.handles_by_name[name].close()

    def restart_upstream(self, name):
        """Start an upstream that has ended anew, at its former address."""
        ended = self.handles_by_name[name]
        ended.standin.set_faults({"turn_cold": True})
        ended.standin.set_faults({})
        self.handles_by_name[name] = standins.run_in_thread(
            ended.standin, ended.address
        )

    def _add_upstream(self, name, data_centre, group, standin):
        listen = f"127.0.0.1:{free_ports.choose_free_port()}"
        handle = standins.run_in_thread(standin, listen)
        self.handles_by_name[name] = handle
        self.upstreams_by_name[name] = domain.Host(
            name=name,
            data_centre=data_centre,
            role=domain.HostRole.UPSTREAM if group else domain.HostRole.STORE,
            address=handle.address,
            group=group,
        )
