"""Quarantine of contents that end the upstreams which process them.

Each host observes which requests its upstreams lost when they ended (`CrashMonitor`),
and all hosts together decide which contents are the cause (`Quarantine`).
"""

from sycamorespoke.quarantine._fingerprint import compute_fingerprint
from sycamorespoke.quarantine._monitor import CrashMonitor, is_listening
from sycamorespoke.quarantine._quarantine import Quarantine
from sycamorespoke.quarantine._records import (
    CrashRecords,
    CrashReport,
    QuarantinedContent,
    make_quarantined_content,
    parse_crash_record,
)

__all__ = [
    "CrashMonitor",
    "CrashRecords",
    "CrashReport",
    "Quarantine",
    "QuarantinedContent",
    "compute_fingerprint",
    "is_listening",
    "make_quarantined_content",
    "parse_crash_record",
]
