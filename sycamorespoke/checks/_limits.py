"""Checks of the limits on callers in a gateway's configuration."""

from sycamorespoke.checks import _findings


def find_limit_findings(entries):
    """Yield what is found about the limits on callers.

    Parameters
    ----------
    entries : gateway.ConfigurationEntries
        Entries of the configuration.

    Yields
    ------
    Finding
        Findings.
    """
    limits = entries.limits
    if limits.header_bytes > limits.body_bytes:
        yield _findings.Finding(
            _findings.FindingKind.CONTRADICTION,
            "limits",
            f"the limit of the headers, {limits.header_bytes} bytes, is above that of"
            f" the body, {limits.body_bytes} bytes",
        )
    if limits.header_s > limits.idle_s:
        yield _findings.Finding(
            _findings.FindingKind.CONTRADICTION,
            "limits",
            f"the time for the headers, {limits.header_s:g} s, is above that for which"
            f" an idle connection is kept, {limits.idle_s:g} s",
        )
