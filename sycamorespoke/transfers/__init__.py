"""Transfers of KV cache blocks between model engines and store hosts.

Every block passes through this process, which verifies it and limits the
bandwidth used on each link. The index of which store host holds which block is
soft state.
"""

from sycamorespoke.transfers._directory import Location
from sycamorespoke.transfers._importer import ImportResult
from sycamorespoke.transfers._stats import TransferStats
from sycamorespoke.transfers._transfers import Transfers

__all__ = ["ImportResult", "Location", "TransferStats", "Transfers"]
