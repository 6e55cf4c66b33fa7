"""Checks of the routes of a gateway's configuration."""

import re

from sycamorespoke import gateway
from sycamorespoke.checks import _findings, _names

Finding = _findings.Finding
Kind = _findings.FindingKind
# Characters of a request's path; all others are percent-encoded.
_PATH = re.compile(r"/[\x21-\x3e\x40-\x7e]*")
_HOST = re.compile(r"[\x21-\x39\x3b-\x7e]+")


def find_route_findings(entries):
    """Yield what is found about routes.

    Parameters
    ----------
    entries : gateway.ConfigurationEntries
        Entries of the configuration.

    Yields
    ------
    Finding
        Findings, in the order of the routes for each check.
    """
    yield from _names.find_repeated_names("route", entries.routes)
    yield from _find_shadowed_routes(entries.routes)
    services_by_name = {service.name: service for service in entries.services}
    for route in entries.routes:
        subject = f"route {route.name}"
        for kind, text in (
            *_check_match(route),
            *_check_services(route, services_by_name),
            *_check_times(route),
            *_check_options(route, services_by_name, entries.needs_key),
        ):
            yield Finding(kind, subject, text)


def _find_shadowed_routes(routes):
    """Yield the routes after the first with the same host and prefix."""
    first_by_key = {}
    for route in routes:
        first = first_by_key.setdefault((route.host.lower(), route.path_prefix), route)
        if first is not route:
            yield Finding(
                Kind.NEVER_MATCHES,
                f"route {route.name}",
                f"route {first.name}, which comes first, has the same host and prefix",
            )


def _check_match(route):
    if _HOST.fullmatch(route.host) is None:
        yield Kind.NEVER_MATCHES, f"{route.host!r} is no host name without a port"
    if _PATH.fullmatch(route.path_prefix) is None:
        yield (
            Kind.NEVER_MATCHES,
            f"no path begins with {route.path_prefix!r}: a path begins with a slash and"
            " holds no query and no character that must be percent-encoded",
        )
    elif not route.path_prefix.endswith("/"):
        yield (
            Kind.CONTRADICTION,
            f"prefix {route.path_prefix!r} does not end with a slash, so it covers"
            " longer names too",
        )


def _check_services(route, services_by_name):
    weights_by_service = route.weights_by_service
    for name, weight in weights_by_service.items():
        service = services_by_name.get(name)
        if service is None:
            yield Kind.UNDEFINED, f"service {name} is not defined"
        elif service.store is not None:
            yield Kind.CONTRADICTION, f"service {name} is a block store"
        if weight == 0 and any(weights_by_service.values()):
            yield (
                Kind.WITHOUT_EFFECT,
                f"the weight of service {name} is 0: it gets requests only while no"
                " other service of the route can",
            )
    if not any(weights_by_service.values()):
        yield Kind.CONTRADICTION, "the weights of all its services are 0"


def _check_times(route):
    if route.timeout_s < route.target_latency_s:
        yield (
            Kind.CONTRADICTION,
            f"the timeout, {route.timeout_s:g} s, is below the target latency,"
            f" {route.target_latency_s:g} s",
        )
    if route.timeout_s == 0:
        yield Kind.CONTRADICTION, "the timeout is 0: every request is refused"
    if route.event_gap_s > route.timeout_s:
        yield (
            Kind.CONTRADICTION,
            f"the pause between events, {route.event_gap_s:g} s, is above the timeout,"
            f" {route.timeout_s:g} s",
        )


def _check_options(route, services_by_name, needs_key):
    if route.kind is not gateway.RouteKind.STREAM:
        if route.is_resumable:
            yield Kind.WITHOUT_EFFECT, "only streams can be resumed"
        if route.event_gap_s:
            yield Kind.WITHOUT_EFFECT, "only streams have a pause between events"
    services = [
        services_by_name[name]
        for name in route.weights_by_service
        if name in services_by_name
    ]
    if route.carries_prompt and services and not any(s.engine for s in services):
        yield (
            Kind.WITHOUT_EFFECT,
            "it carries prompts, but no service of it has engines",
        )
    if route.is_anonymous and not needs_key:
        yield Kind.WITHOUT_EFFECT, "it is anonymous, but no route needs an API key"
