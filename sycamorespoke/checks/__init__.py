"""Checks of a configuration before it is sent, and what it would change.

The checks are pure functions; they read neither files nor the network.
"""

from sycamorespoke.checks._command import ExitStatus, run_command
from sycamorespoke.checks._differences import Difference, list_differences
from sycamorespoke.checks._findings import Finding, FindingKind
from sycamorespoke.checks._gateway import find_gateway_findings
from sycamorespoke.checks._report import Report, make_report
from sycamorespoke.checks._rules import find_rules_findings

__all__ = [
    "Difference",
    "ExitStatus",
    "Finding",
    "FindingKind",
    "Report",
    "find_gateway_findings",
    "find_rules_findings",
    "list_differences",
    "make_report",
    "run_command",
]
