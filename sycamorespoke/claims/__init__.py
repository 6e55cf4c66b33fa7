"""Claims of non-idempotent requests, stored in the platform's object service.

A claim is written before its request is sent and never expires by a timeout, so
that the request of an idempotency key runs at most once under any failure.
"""

from sycamorespoke.claims._claims import Claims, ClaimsStats
from sycamorespoke.claims._run import ServiceRequest, run_once
from sycamorespoke.decisions import Claimed, ClaimToken, Outcome, Recorded

__all__ = [
    "ClaimToken",
    "Claimed",
    "Claims",
    "ClaimsStats",
    "Outcome",
    "Recorded",
    "ServiceRequest",
    "run_once",
]
