"""The HTTP server for callers, and the clock for the times of their requests."""

from sycamorespoke.serving._allocator import limit_arenas
from sycamorespoke.serving._byte_budget import (
    ByteBudget,
    ByteHold,
    ByteKind,
    compute_held_bytes,
)
from sycamorespoke.serving._channel import BrokenStreamError
from sycamorespoke.serving._clock import read_clock
from sycamorespoke.serving._limits import CallerLimits
from sycamorespoke.serving._server import CallerServer

__all__ = [
    "BrokenStreamError",
    "ByteBudget",
    "ByteHold",
    "ByteKind",
    "CallerLimits",
    "CallerServer",
    "compute_held_bytes",
    "limit_arenas",
    "read_clock",
]
