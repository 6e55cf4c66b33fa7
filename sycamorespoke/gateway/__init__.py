"""Serves callers by routes of host name and path, for upstreams that register."""

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
from sycamorespoke.gateway._deployment import Deployment, ObjectKind, ObjectKinds
from sycamorespoke.gateway._model import (
    Account,
    BlockStore,
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
    LeaseUpdate,
    OrderOutcome,
    RolloutMode,
    VersionOrder,
)
from sycamorespoke.gateway._program import GatewayProgram
from sycamorespoke.gateway._source import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    Unavailable,
)
from sycamorespoke.gateway._store_index import StoreEvent, StoreEvents

__all__ = [
    "SOCKET_OPTIONS",
    "Account",
    "Answer",
    "AnswerHead",
    "BlockStore",
    "Call",
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
    "LeaseUpdate",
    "Listing",
    "NamedVersion",
    "ObjectKind",
    "ObjectKinds",
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
