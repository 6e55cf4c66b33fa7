"""Placement of requests by the expected wait at each upstream.

Load answered: many hosts that choose at the same moment, by figures that are a little
old. A choice by the least load would send all of them to the same upstream.
"""

from sycamorespoke.placement._engines import (
    EngineCandidate,
    WaitLimits,
    choose_engine,
    estimate_memory_wait_s,
)
from sycamorespoke.placement._pace import Pace, PaceTable
from sycamorespoke.placement._room import choose_hold_s
from sycamorespoke.placement._services import ServiceCandidate, choose_by_draw

__all__ = [
    "EngineCandidate",
    "Pace",
    "PaceTable",
    "ServiceCandidate",
    "WaitLimits",
    "choose_by_draw",
    "choose_engine",
    "choose_hold_s",
    "estimate_memory_wait_s",
]
