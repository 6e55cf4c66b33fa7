"""Checks of the limits on callers in a gateway's configuration."""

from sycamorespoke import serving
from sycamorespoke.checks import _findings


def find_limit_findings(entries):
    """Yield what is found about the limits on callers.

    A limit that has its default may not be stated, and contradicts none.

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
    defaults = serving.CallerLimits()
    is_stated = limits.header_bytes != defaults.header_bytes
    if is_stated and limits.header_bytes > limits.body_bytes:
        yield _findings.Finding(
            _findings.FindingKind.CONTRADICTION,
            "limits",
            f"the limit of the headers, {limits.header_bytes} bytes, is above that of"
            f" the body, {limits.body_bytes} bytes",
        )
    is_stated = limits.header_s != defaults.header_s
    if is_stated and limits.header_s > limits.idle_s:
        yield _findings.Finding(
            _findings.FindingKind.CONTRADICTION,
            "limits",
            f"the time for the headers, {limits.header_s:g} s, is above that for which"
            f" an idle connection is kept, {limits.idle_s:g} s",
        )
