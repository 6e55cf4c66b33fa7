"""Configurations of the deployment under test."""

from tests.fakes import in_process_gateway
from tests.soak import engines, probes

ROUTE_ATTEMPTS = 3
TIMEOUT_MS = 9000
# Client accounts by their key. Only the second one is ever isolated.
OTHER_KEY = "key-2"
ISOLATED_ACCOUNT = "u"


def make_route(name, kind, service):
    """Return a route for the paths under its name."""
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
        make_route(*each)
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
            {"Name": name, "MaxConns": 200}
            for name in ("s", engines.Engine.service, probes.SERVICE)
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
