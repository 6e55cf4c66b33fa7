"""Checks of a gateway's configuration."""

from sycamorespoke.checks import _accounts, _findings, _limits, _routes, _services


def find_gateway_findings(entries, in_force=None):
    """Return what is found in a gateway's configuration.

    Parameters
    ----------
    entries : gateway.ConfigurationEntries
        Entries of the configuration.
    in_force : gateway.ConfigurationEntries or None, default=None
        Entries of the configuration in force, if it is known.

    Returns
    -------
    list of Finding
        Findings.
    """
    return [
        *_find_old_version(entries, in_force),
        *_routes.find_route_findings(entries),
        *_services.find_service_findings(entries),
        *_accounts.find_account_findings(entries),
        *_limits.find_limit_findings(entries),
    ]


def _find_old_version(entries, in_force):
    if in_force is not None and entries.version <= in_force.version:
        yield _findings.Finding(
            _findings.FindingKind.NOT_NEWER,
            f"version {entries.version}",
            f"version {in_force.version} is in force, and hosts adopt only a later one",
        )
