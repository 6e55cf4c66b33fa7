"""Transfers of KV cache blocks between model engines and store hosts.

Blocks go through this process, are verified on the way and stay within the
budgets of the links. Which store holds which block is soft state.
"""

from sycamorespoke.transfers._directory import Location
from sycamorespoke.transfers._importer import ImportResult
from sycamorespoke.transfers._stats import TransferStats
from sycamorespoke.transfers._transfers import Transfers

__all__ = ["ImportResult", "Location", "TransferStats", "Transfers"]
