"""Scenarios with a frozen entry host, a restarted one and a steward as processes."""

import concurrent.futures
import contextlib
import subprocess
import time

import pytest
import yaml

from scenarios import deployment
from sycamorespoke import clients, decisions, standins
from tests.fakes import free_ports

pytestmark = pytest.mark.processes

ENGINE = standins.EngineOptions(warm_up_s=0.0, token_s=0.01)
REQUEST_COUNT = 12
READY_BOUND_S = 10.0
ORDER_BOUND_S = decisions.MAX_ORDER_DURATION_S + 15.0


@pytest.mark.data_centre_out
@pytest.mark.configuration
def test_frozen_entry_sends_nothing_to_a_data_centre_taken_out(make_deployment):
    cluster = make_deployment(
        {"scribe-1": ("ruwi", ENGINE)},
        entries_by_name={"entry-1": "seeb", "entry-2": "qurum"},
    )
    cluster.start()
    entry = cluster.entries_by_name["entry-1"]
    assert cluster.send_completion("entry-1", "before").status == 200
    runs = cluster.read_counts("scribe-1")["runs"]
    entry.freeze()
    try:
        cluster.publish_service_state(data_centres_out=["ruwi"])
        time.sleep(decisions.MAX_CONFIRMATION_AGE_S + 1.0)
        # The requests wait in the sockets of the frozen process until it thaws.
        with concurrent.futures.ThreadPoolExecutor(REQUEST_COUNT) as pool:
            requests = [
                pool.submit(cluster.send_completion, "entry-1", f"call {i}")
                for i in range(REQUEST_COUNT)
            ]
            time.sleep(0.5)
            entry.thaw()
            responses = [request.result() for request in requests]
    finally:
        entry.thaw()
    assert {response.status for response in responses} == {503}
    executions = {response.json()["error"]["execution"] for response in responses}
    assert executions == {"not_run"}
    assert cluster.read_counts("scribe-1")["runs"] == runs


@pytest.mark.configuration
def test_entry_started_while_the_platform_is_down_becomes_ready(make_deployment):
    cluster = make_deployment(
        {"scribe-1": ("ruwi", ENGINE)},
        entries_by_name={"entry-1": "seeb", "entry-2": "ruwi", "entry-3": "qurum"},
    )
    cluster.start()
    cluster.set_faults("platform", down=True)
    entry = cluster.entries_by_name["entry-1"]
    entry.kill()
    cluster.start_entry("entry-1")
    deployment.wait_until(entry.is_ready, READY_BOUND_S, "entry-1 ready")
    assert cluster.send_completion("entry-1", "during the outage").status == 200


@contextlib.contextmanager
def run_steward(cluster, name, data_centre):
    ports = [free_ports.choose_free_port() for _ in range(2)]
    path = cluster.folder / f"{name}.yaml"
    values = {
        "name": name,
        "data_centre": data_centre,
        "operators_listen": f"127.0.0.1:{ports[0]}",
        "peer_listen": f"127.0.0.1:{ports[1]}",
        "platform": cluster.platform.url,
        "shared_key": deployment.SHARED_KEY,
    }
    path.write_text(yaml.safe_dump(values))
    process = subprocess.Popen(
        [deployment.BIN_DIR / "sycamorespoke-steward", "--settings", path],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield process
        process.terminate()
        assert process.wait(10) == 0
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()


def read_versions(cluster):
    engine_client = clients.EngineClient()
    reports = [
        engine_client.read_load(host, time.monotonic())
        for host in cluster.upstreams_by_name.values()
    ]
    return {report.version for report in reports}


@pytest.mark.orders
def test_steward_loads_target_version_of_the_rules(make_deployment):
    engine = standins.EngineOptions(warm_up_s=0.0, checks_fencing=True, load_s=0.2)
    cluster = make_deployment({f"scribe-{i}": ("seeb", engine) for i in range(3)})
    cluster.publish_hosts()
    rules = deployment.make_rules("v2").replace(
        "cold_limit", "fencing=checked cold_limit"
    )
    cluster.publish("rules", {"text": rules})
    with run_steward(cluster, "entry-1", "seeb"):
        deployment.wait_until(
            lambda: read_versions(cluster) == {"v2"},
            ORDER_BOUND_S,
            "every engine holds v2",
        )
        assert cluster.platform_client.get("leases/steward-seeb").value["holder"]
    assert cluster.platform_client.get("leases/steward-seeb").value["holder"] == ""
