"""Routes callers' requests by host name and path to registered upstreams."""

from sycamorespoke.gateway._configuration_entries import (
    AccountEntry,
    ConfigurationEntries,
)
from sycamorespoke.gateway._connections import SOCKET_OPTIONS
from sycamorespoke.gateway._deployment import Deployment, ObjectKind, ObjectKinds
from sycamorespoke.gateway._host_registry import HostRegistry
from sycamorespoke.gateway._lease_objects import LeaseStore
from sycamorespoke.gateway._model import (
    Account,
    BlockStore,
    Configuration,
    EngineSpec,
    Host,
    Route,
    RouteKind,
    Service,
    Upstream,
)
from sycamorespoke.gateway._orders import (
    EngineReport,
    LeaseUpdate,
    OrderOutcome,
    OrderResult,
    RolloutMode,
    VersionOrder,
)
from sycamorespoke.gateway._process import run_process
from sycamorespoke.gateway._program import GatewayProgram
from sycamorespoke.gateway._requests import (
    Dispatch,
    Failure,
    Framing,
    Prompt,
    PromptBlock,
    Request,
    Response,
    ResponseHead,
)
from sycamorespoke.gateway._statements import Statements
from sycamorespoke.gateway._store_index import StoreEvent, StoreEvents
from sycamorespoke.gateway._target_versions import TargetVersion

__all__ = [
    "SOCKET_OPTIONS",
    "Account",
    "AccountEntry",
    "BlockStore",
    "Configuration",
    "ConfigurationEntries",
    "Deployment",
    "Dispatch",
    "EngineReport",
    "EngineSpec",
    "Failure",
    "Framing",
    "GatewayProgram",
    "Host",
    "HostRegistry",
    "LeaseStore",
    "LeaseUpdate",
    "ObjectKind",
    "ObjectKinds",
    "OrderOutcome",
    "OrderResult",
    "Prompt",
    "PromptBlock",
    "Request",
    "Response",
    "ResponseHead",
    "RolloutMode",
    "Route",
    "RouteKind",
    "Service",
    "Statements",
    "StoreEvent",
    "StoreEvents",
    "TargetVersion",
    "Upstream",
    "VersionOrder",
    "run_process",
]
