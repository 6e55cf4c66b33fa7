"""Admission control: order waiting requests fairly and refuse excess load early."""

from sycamorespoke.admission._admission import Admission
from sycamorespoke.admission._slots import SlotTable
from sycamorespoke.admission._ticket import (
    AdmissionStats,
    GroupStats,
    Queued,
    Ticket,
)
from sycamorespoke.decisions import AttemptOutcome

__all__ = [
    "Admission",
    "AdmissionStats",
    "AttemptOutcome",
    "GroupStats",
    "Queued",
    "SlotTable",
    "Ticket",
]
