"""JSON logging, metrics and the operators' HTTP endpoint of a daemon."""

from sycamorespoke.telemetry._logs import configure_bounded_logging, configure_logging
from sycamorespoke.telemetry._metrics import Metrics
from sycamorespoke.telemetry._operators import OperatorsServer, make_operators_app
from sycamorespoke.telemetry._rate_limit import LogRateLimiter
from sycamorespoke.telemetry._request_log import (
    LogLine,
    parse_line,
    select_request_lines,
)
from sycamorespoke.telemetry._sink import BoundedSink

__all__ = [
    "BoundedSink",
    "LogLine",
    "LogRateLimiter",
    "Metrics",
    "OperatorsServer",
    "configure_bounded_logging",
    "configure_logging",
    "make_operators_app",
    "parse_line",
    "select_request_lines",
]
