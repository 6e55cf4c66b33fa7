"""The HTTP server for callers, and the clock for the times of their requests."""

from sycamorespoke.serving._clock import read_clock
from sycamorespoke.serving._server import (
    BrokenStreamError,
    CallerLimits,
    CallerServer,
)

__all__ = ["BrokenStreamError", "CallerLimits", "CallerServer", "read_clock"]
