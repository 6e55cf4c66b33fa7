"""Checks of the configuration that a rules file defines."""

from sycamorespoke.checks import _findings

Finding = _findings.Finding
Kind = _findings.FindingKind


def find_rules_findings(configuration, wall_now):
    """Return what is found in the configuration of a rules file.

    Parameters
    ----------
    configuration : domain.Configuration
        Configuration without faults, see `rules.parse`.
    wall_now : float
        Current time, seconds since the Unix epoch.

    Returns
    -------
    list of Finding
        Findings.
    """
    return [
        *_find_unused_groups(configuration),
        *_find_hidden_routes(configuration),
        *_find_route_contradictions(configuration),
        *_find_past_events(configuration, wall_now),
    ]


def _find_unused_groups(configuration):
    used = {route.group for route in configuration.routes_by_name.values()}
    for name in configuration.groups_by_name:
        if name not in used:
            yield Finding(Kind.WITHOUT_EFFECT, f"group {name}", "no route uses it")


def _find_hidden_routes(configuration):
    """Yield routes for some methods after one for all methods of the same path."""
    first_by_path = {}
    for route in configuration.routes_by_name.values():
        first = first_by_path.get(route.path)
        if first is not None:
            yield Finding(
                Kind.NEVER_MATCHES,
                f"route {route.name}",
                f"route {first.name}, which comes first, has the same path and all"
                " methods",
            )
        elif route.path and not route.methods:
            first_by_path[route.path] = route


def _find_route_contradictions(configuration):
    for route in configuration.routes_by_name.values():
        if route.retries > 0 and configuration.limits.retry_ratio == 0:
            yield Finding(
                Kind.CONTRADICTION,
                f"route {route.name}",
                f"it allows {route.retries} retries, but at a retry ratio of 0 requests"
                " earn none",
            )


def _find_past_events(configuration, wall_now):
    for event in configuration.events_by_name.values():
        if event.start_s < wall_now:
            yield Finding(
                Kind.NEVER_MATCHES, f"event {event.name}", "its start has passed"
            )
