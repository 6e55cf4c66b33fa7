"""The program that orders the upstreams of a data centre to load weight versions."""

from sycamorespoke.steward._program import main
from sycamorespoke.steward._shard import ShardSteward
from sycamorespoke.steward._steward import Steward

__all__ = ["ShardSteward", "Steward", "main"]
