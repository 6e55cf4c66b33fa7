"""Desired states come in quick succession; each process keeps all of them."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import deployment  # noqa: E402
import http_server  # noqa: E402
import platform_store  # noqa: E402
import servers  # noqa: E402

HOST = "requests.example"
SERVICE = "agenda"
KEY = "key-of-alpha-0001"
# The machines of the site.
MEMORY_MB = 150
# The site's own routes, and those by which `big_config` lets the desired state grow.
ROUTES = 16 + 8 * 350
STORM_S = 4.0
STORM_GAP_S = 0.33
PAUSE_S = 4.0
# Without trouble the operator makes a change now and then.
CALM_GAP_S = 10.0
LENGTH_S = 100.0
REQUEST_GAP_S = 0.25
MACHINES = 2
ENDS = 3


def make_routes():
    """Return the routes; the first one carries the requests."""
    return [
        {
            "Name": f"r-{number:07x}",
            "Host": HOST,
            "PathPrefix": f"/p{number:06x}/q/",
            "Kind": "safe",
            "TimeoutMs": 600,
            "TargetLatencyMs": 125,
            "Priority": 2,
            "Service": SERVICE,
            "MaxAttempts": 2,
            "Anonymous": False,
            "Sticky": False,
            "Resumable": False,
            "GapAimMs": 0,
        }
        for number in range(ROUTES)
    ]


def make_state(version, routes):
    """Return a desired state; each one changes the time-out of the last route."""
    last = {**routes[-1], "TimeoutMs": 600 + version % 100}
    service = {
        "Name": SERVICE,
        "HealthPath": "/healthz",
        "MaxConns": 100,
        "ColdStartS": 0.0,
        "ColdPerS": 0.0,
    }
    return {
        "Version": version,
        "Routes": [*routes[:-1], last],
        "Services": [service],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "alpha", "ApiKeys": [KEY]}],
    }


async def change(platform, record, has_trouble):
    """Write one desired state after the other."""
    routes = make_routes()
    begun_s = time.monotonic()
    version = 3
    while (elapsed_s := time.monotonic() - begun_s) < LENGTH_S:
        version += 2
        await platform.put("config", "main", make_state(version, routes))
        in_cycle_s = elapsed_s % (STORM_S + PAUSE_S)
        gap_s = STORM_GAP_S
        if in_cycle_s + gap_s > STORM_S:
            gap_s = STORM_S + PAUSE_S - in_cycle_s
        await asyncio.sleep(gap_s if has_trouble else CALM_GAP_S)
    record.note(f"the operator has written version {version} last")


async def ask(gateway, record, answers):
    """Send requests, one after the other."""
    begun_s = time.monotonic()
    number = 0
    while time.monotonic() - begun_s < LENGTH_S:
        number += 1
        request_id = f"{gateway.name}-{number}"
        headers = {
            "Host": HOST,
            "X-Sycamorespoke-Request-Id": request_id,
            "X-Sycamorespoke-Deadline-Ms": "600",
            "Authorization": f"Bearer {KEY}",
        }
        answer = await http_server.send(
            gateway.port, "GET", "/p000000/q/1", headers, timeout_s=0.6
        )
        record.note(f"{request_id}: {answer}")
        answers.append(answer)
        await asyncio.sleep(REQUEST_GAP_S)


async def play(record, has_trouble):
    """Play the case; return whether the rule was kept."""
    platform = platform_store.Platform()
    await platform.start()
    await platform.put("config", "main", make_state(3, make_routes()))
    server = servers.Server("i-a1", SERVICE, "stgo-a", platform, record)
    await server.start()
    machines = [
        deployment.Machine(
            deployment.Gateway(
                f"front-stgo-a-{n}", "stgo-a", platform.server.address, record
            ),
            MEMORY_MB,
            record,
        )
        for n in range(1, MACHINES + 1)
    ]
    answers = []
    try:
        for machine in machines:
            await machine.gateway.start()
        for machine in machines:
            await machine.gateway.wait_ready()
        watches = [asyncio.create_task(machine.watch()) for machine in machines]
        await asyncio.gather(
            change(platform, record, has_trouble),
            *(ask(machine.gateway, record, answers) for machine in machines),
        )
        for watch in watches:
            watch.cancel()
    finally:
        for machine in machines:
            await machine.gateway.end()
        await server.stop()
    served = sum(answer.status == 200 for answer in answers)
    record.note(f"requests {len(answers)}, 200: {served}")
    for machine in machines:
        record.note(
            f"{machine.gateway.name}: peak {machine.peak_mb:.0f} MB of {MEMORY_MB}, "
            f"ended {machine.kills} times"
        )
    return sum(machine.kills >= ENDS for machine in machines) < MACHINES


deployment.run_case(play, HERE, time_limit_s=115.0)
