"""Rollouts of a software version of a service: trial, verdict, move.

Hosts send a version that is brought in a share of the requests of its service, report
the outcomes to one host, which judges them, and move to the version or leave it.
"""

from sycamorespoke.rollouts._durations import Outcome
from sycamorespoke.rollouts._exchange import RolloutExchange
from sycamorespoke.rollouts._judge import Judge
from sycamorespoke.rollouts._orders import RolloutId, RolloutOrder, RolloutState
from sycamorespoke.rollouts._plan import Plan, PlannedRequest
from sycamorespoke.rollouts._rollouts import Rollouts, SentRequest
from sycamorespoke.rollouts._timing import Limits

__all__ = [
    "Judge",
    "Limits",
    "Outcome",
    "Plan",
    "PlannedRequest",
    "RolloutExchange",
    "RolloutId",
    "RolloutOrder",
    "RolloutState",
    "Rollouts",
    "SentRequest",
]
