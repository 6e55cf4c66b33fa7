"""Serves callers by routes of host name and path, for upstreams that register."""

from sycamorespoke.gateway._blocks import StoreEvent, StoreEvents
from sycamorespoke.gateway._calls import (
    Answer,
    AnswerHead,
    Call,
    Dispatch,
    Failure,
    Prompt,
    PromptPart,
)
from sycamorespoke.gateway._connections import SOCKET_OPTIONS
from sycamorespoke.gateway._model import (
    Account,
    BlockStore,
    CallerLimits,
    Configuration,
    EngineFacts,
    Host,
    NamedVersion,
    Route,
    RouteKind,
    Service,
    Upstream,
)
from sycamorespoke.gateway._orders import (
    EngineReport,
    LeaseSeen,
    OrderOutcome,
    RolloutMode,
    VersionOrder,
)
from sycamorespoke.gateway._program import (
    Deployment,
    GatewayProgram,
    Kind,
    Kinds,
)
from sycamorespoke.gateway._source import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    Unavailable,
)

__all__ = [
    "SOCKET_OPTIONS",
    "Account",
    "Answer",
    "AnswerHead",
    "BlockStore",
    "Call",
    "CallerLimits",
    "Change",
    "Changes",
    "Configuration",
    "Deployment",
    "Dispatch",
    "EngineFacts",
    "EngineReport",
    "Failure",
    "GatewayProgram",
    "HistoryGone",
    "Host",
    "Kind",
    "Kinds",
    "LeaseSeen",
    "Listing",
    "NamedVersion",
    "OrderOutcome",
    "Prompt",
    "PromptPart",
    "RolloutMode",
    "Route",
    "RouteKind",
    "Service",
    "StoreEvent",
    "StoreEvents",
    "Unavailable",
    "Upstream",
    "VersionOrder",
]
