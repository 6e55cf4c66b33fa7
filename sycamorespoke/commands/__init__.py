"""The operators' command line, the program ``sycamorespoke``."""

from sycamorespoke.commands._application import main, run
from sycamorespoke.commands._clock import Clock
from sycamorespoke.commands._context import Context
from sycamorespoke.commands._exit_codes import ExitCode

__all__ = ["Clock", "Context", "ExitCode", "main", "run"]
