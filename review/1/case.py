"""A tenant becomes isolated; another one goes on using what it left in the cache."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import deployment  # noqa: E402
import http_server  # noqa: E402
import platform_store  # noqa: E402
import servers  # noqa: E402

MODEL = "m0"
HOST = "requests.example"
SERVICE = "redactor"
KEYS = {"alpha": "key-of-alpha-0001", "beta": "key-of-beta-00001"}
# ConfigApplyMs is 2,000; the rule is judged well after it.
APPLIED_S = 6.0
OLD_PART = "5c1e07a2"
NEW_PART = "91bd3f06"


def make_state(version, is_isolated):
    """Return a desired state in which the tenant alpha is isolated, or is not."""
    route = {
        "Name": "r-sort",
        "Host": HOST,
        "PathPrefix": "/sort/",
        "Kind": "streaming",
        "TimeoutMs": 2500,
        "TargetLatencyMs": 800,
        "Priority": 0,
        "Service": SERVICE,
        "MaxAttempts": 1,
        "Anonymous": False,
        "Sticky": True,
        "Resumable": False,
        "GapAimMs": 400,
    }
    engine = {
        "Slots": 32,
        "KvCapacityTokens": 86791,
        "KvTokenBytes": 327680,
        "LinkMbps": 1500000.0,
        "Models": [{"Name": MODEL}],
    }
    service = {
        "Name": SERVICE,
        "HealthPath": "/healthz",
        "MaxConns": 230,
        "ColdStartS": 3.0,
        "ColdPerS": 16.0,
        "Engine": engine,
    }
    tenants = [
        {"Name": "alpha", "ApiKeys": [KEYS["alpha"]], "Isolated": is_isolated},
        {"Name": "beta", "ApiKeys": [KEYS["beta"]], "Isolated": False},
    ]
    return {
        "Version": version,
        "Routes": [route],
        "Services": [service],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants,
    }


async def ask(gateway, record, request_id, tenant, shared_part):
    """Send a request of a tenant whose prompt begins with a part that others share."""
    headers = {
        "Host": HOST,
        "X-Sycamorespoke-Request-Id": request_id,
        "X-Sycamorespoke-Model": MODEL,
        "X-Sycamorespoke-Token-Count": "2368,3",
        "X-Sycamorespoke-Prompt-Prefix": f"{shared_part}:1861,0{request_id}:507",
        "X-Sycamorespoke-Deadline-Ms": "2500",
        "Authorization": f"Bearer {KEYS[tenant]}",
    }
    record.note(f"client of {tenant} sends {request_id}, its prompt has {shared_part}")
    answer = await http_server.send(gateway.port, "POST", "/sort/1", headers, b"x" * 90)
    record.note(f"client of {tenant} gets for {request_id}: {answer}")
    if answer.status != 200:
        raise deployment.NotRun(f"{request_id} was answered {answer}")


def find_foreign(engine, isolated, record):
    """Return the uses of parts that break the rule, of tenants isolated now."""
    foreign = []
    for request_id, part_id, part, _ in engine.used:
        user = {"a": "alpha", "b": "beta"}[request_id[0]]
        if part.tenant != user and not isolated.isdisjoint({part.tenant, user}):
            foreign.append(request_id)
            record.note(
                f"WALL: {request_id} of {user} used {part_id}, which {part.tenant} made"
            )
    return foreign


async def play(record, has_trouble):
    """Play the case; return whether the rule was kept."""
    platform = platform_store.Platform()
    await platform.start()
    await platform.put("versions", MODEL, {"Model": MODEL, "Version": 1})
    await platform.put("config", "main", make_state(3, is_isolated=False))
    engine = servers.Engine("i-e1", SERVICE, "stgo-a", platform, record, MODEL)
    await engine.start()
    gateway = deployment.Gateway(
        "front-stgo-a-1", "stgo-a", platform.server.address, record
    )
    isolated = set()
    try:
        await gateway.start()
        await gateway.wait_ready()
        await ask(gateway, record, "a1", "alpha", OLD_PART)
        if has_trouble:
            await platform.put("config", "main", make_state(7, is_isolated=True))
            isolated.add("alpha")
            record.note("the store acknowledged version 7: alpha is isolated")
        await asyncio.sleep(APPLIED_S)
        # What alpha makes from now on is kept apart.
        await ask(gateway, record, "a2", "alpha", NEW_PART)
        await ask(gateway, record, "b2", "beta", NEW_PART)
        # What it made before is not.
        await ask(gateway, record, "b1", "beta", OLD_PART)
    finally:
        await gateway.end()
        await engine.stop()
    return not find_foreign(engine, isolated, record)


deployment.run_case(play, HERE)
