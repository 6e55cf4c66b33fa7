"""Settings of the programs, read from YAML files and validated at startup."""

from sycamorespoke.settings._classes import (
    EntrySettings,
    GatewaySettings,
    OperatorSettings,
    StewardSettings,
)
from sycamorespoke.settings._command_line import EXIT_INVALID, Exit, read_command_line
from sycamorespoke.settings._faults import Fault, Faults
from sycamorespoke.settings._load import load, parse
from sycamorespoke.settings._values import is_address

__all__ = [
    "EXIT_INVALID",
    "EntrySettings",
    "Exit",
    "Fault",
    "Faults",
    "GatewaySettings",
    "OperatorSettings",
    "StewardSettings",
    "is_address",
    "load",
    "parse",
    "read_command_line",
]
