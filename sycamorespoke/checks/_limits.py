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
