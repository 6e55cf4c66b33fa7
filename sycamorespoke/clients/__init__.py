"""Clients of external systems: the platform, engines, services and stores.

Each external system has its own modules. Support for another wire format
replaces these modules and changes nothing elsewhere.
"""

from sycamorespoke.clients._block_checks import (
    find_block_error,
)
from sycamorespoke.clients._blocks import (
    BlockClient,
)
from sycamorespoke.clients._checked_http import (
    CheckedConnection,
    CheckedPool,
    CheckedPoolManager,
    ReplyPool,
    ReplyPoolManager,
    open_single_use_pool,
    open_single_use_reply_pool,
)
from sycamorespoke.clients._engine import (
    EngineClient,
    GenerationRequest,
    make_continuation,
    replace_request_id,
)
from sycamorespoke.clients._engine_stream import (
    TERMINAL_MESSAGES,
    Done,
    EngineStream,
    Incomplete,
    Mismatch,
    Started,
    Token,
)
from sycamorespoke.clients._entry_reader import EntryProblem, EntryReader
from sycamorespoke.clients._envelope import (
    Envelope,
    encode_envelope,
    parse_envelope,
)
from sycamorespoke.clients._header_values import (
    is_event_stream,
    parse_connection_options,
    parse_decimal,
    parse_integer,
    parse_keep_alive,
)
from sycamorespoke.clients._json_documents import (
    MalformedDocumentError,
    decode_document,
    salvage_document,
)
from sycamorespoke.clients._json_fields import (
    MalformedFieldError,
    check_address,
    check_name,
    check_number,
    check_type,
    read_field,
    read_list,
)
from sycamorespoke.clients._json_requests import send_json
from sycamorespoke.clients._orders import OrderAccepted, OrderClient
from sycamorespoke.clients._platform import (
    Conflict,
    Missing,
    PlatformClient,
    StoredObject,
    Unavailable,
    Uncertain,
    Unchanged,
)
from sycamorespoke.clients._service import (
    ServiceClient,
    ServiceResponse,
)
from sycamorespoke.clients._store import (
    StoreClient,
)
from sycamorespoke.clients._store_history import StoreHistory
from sycamorespoke.clients._store_results import (
    Full,
    Invalid,
    Slot,
    Stale,
    StoreUsage,
)
from sycamorespoke.clients._write_results import WriteOutcome, WriteResult

__all__ = [
    "TERMINAL_MESSAGES",
    "BlockClient",
    "CheckedConnection",
    "CheckedPool",
    "CheckedPoolManager",
    "Conflict",
    "Done",
    "EngineClient",
    "EngineStream",
    "EntryProblem",
    "EntryReader",
    "Envelope",
    "Full",
    "GenerationRequest",
    "Incomplete",
    "Invalid",
    "MalformedDocumentError",
    "MalformedFieldError",
    "Mismatch",
    "Missing",
    "OrderAccepted",
    "OrderClient",
    "PlatformClient",
    "ReplyPool",
    "ReplyPoolManager",
    "ServiceClient",
    "ServiceResponse",
    "Slot",
    "Stale",
    "Started",
    "StoreClient",
    "StoreHistory",
    "StoreUsage",
    "StoredObject",
    "Token",
    "Unavailable",
    "Uncertain",
    "Unchanged",
    "WriteOutcome",
    "WriteResult",
    "check_address",
    "check_name",
    "check_number",
    "check_type",
    "decode_document",
    "encode_envelope",
    "find_block_error",
    "is_event_stream",
    "make_continuation",
    "open_single_use_pool",
    "open_single_use_reply_pool",
    "parse_connection_options",
    "parse_decimal",
    "parse_envelope",
    "parse_integer",
    "parse_keep_alive",
    "read_field",
    "read_list",
    "replace_request_id",
    "salvage_document",
    "send_json",
]
