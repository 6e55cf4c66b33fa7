"""Checks that entries have names of their own."""

import collections

from sycamorespoke.checks import _findings


def find_repeated_names(label, entries):
    """Yield a finding for each name that several entries have.

    Parameters
    ----------
    label : str
        What the entries are, for example ``"route"``.
    entries : iterable
        Entries with a name.

    Yields
    ------
    Finding
        One for each such name.

    Examples
    --------
    >>> from sycamorespoke import gateway
    >>> services = [gateway.Service("s"), gateway.Service("s")]
    >>> print(*find_repeated_names("service", services))
    service s: ambiguous: 2 entries have this name
    """
    counts_by_name = collections.Counter(entry.name for entry in entries)
    for name, count in counts_by_name.items():
        if count > 1:
            yield _findings.Finding(
                _findings.FindingKind.AMBIGUOUS,
                f"{label} {name}",
                f"{count} entries have this name",
            )
