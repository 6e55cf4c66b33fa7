"""Load tool: sends the requests of a workload file to entry hosts and reports."""

from sycamorespoke.load._command import main, read_workload
from sycamorespoke.load._report import Report
from sycamorespoke.load._schedule import Arrival, make_prompt, make_schedule
from sycamorespoke.load._workload import Workload

__all__ = [
    "Arrival",
    "Report",
    "Workload",
    "main",
    "make_prompt",
    "make_schedule",
    "read_workload",
]
