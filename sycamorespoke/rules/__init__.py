"""Rules files: one rule per line, with the name of its requester and the reason.

`parse` returns the configuration that a text defines, or all its faults.
"""

from sycamorespoke.rules._faults import Fault, Faults
from sycamorespoke.rules._format import format_rules
from sycamorespoke.rules._parse import parse

__all__ = ["Fault", "Faults", "format_rules", "parse"]
