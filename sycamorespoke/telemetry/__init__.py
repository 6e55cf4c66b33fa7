"""Logs as JSON lines, metrics and the operators' address of a daemon."""

from sycamorespoke.telemetry._logs import configure_bounded_logging, configure_logging
from sycamorespoke.telemetry._metrics import Metrics
from sycamorespoke.telemetry._operators import OperatorsServer, make_operators_app
from sycamorespoke.telemetry._sink import BoundedSink
from sycamorespoke.telemetry._story import Line, read_line, tell_story
from sycamorespoke.telemetry._volume import VolumeLimit

__all__ = [
    "BoundedSink",
    "Line",
    "Metrics",
    "OperatorsServer",
    "VolumeLimit",
    "configure_bounded_logging",
    "configure_logging",
    "make_operators_app",
    "read_line",
    "tell_story",
]
