"""Messages between the system's own processes, and their transport.

Frames are sent over pynng's request and reply sockets. Each frame carries a keyed
authenticator; frames that fail the check are dropped and counted.
"""

from sycamorespoke.messages._forward_messages import ForwardedPrompt, ForwardedRequest
from sycamorespoke.messages._frame import Codec, Direction, Dropped, Frame
from sycamorespoke.messages._message import Message
from sycamorespoke.messages._origin_messages import (
    OriginsReply,
    OriginsRequest,
    StreamOriginRecord,
)
from sycamorespoke.messages._peer import NoReply, Peer, send_request
from sycamorespoke.messages._reach_messages import ReachReply, ReachRequest
from sycamorespoke.messages._rollout_messages import (
    RolloutReply,
    RolloutReport,
    RouteTally,
)
from sycamorespoke.messages._server import Server
from sycamorespoke.messages._target_messages import (
    TargetAge,
    TargetAgesReply,
    TargetAgesRequest,
)
from sycamorespoke.messages._types import (
    MESSAGE_TYPES,
    DocumentKind,
    DocumentReply,
    DocumentRequest,
    DumpReply,
    DumpRequest,
    Heartbeat,
    HeartbeatReply,
    InForceReply,
    InForceRequest,
    PermitReply,
    PermitRequest,
    PermitReturn,
)
from sycamorespoke.messages._update_messages import (
    ObjectsPage,
    StorePage,
    UpdatesReply,
    UpdatesRequest,
)

__all__ = [
    "MESSAGE_TYPES",
    "Codec",
    "Direction",
    "DocumentKind",
    "DocumentReply",
    "DocumentRequest",
    "Dropped",
    "DumpReply",
    "DumpRequest",
    "ForwardedPrompt",
    "ForwardedRequest",
    "Frame",
    "Heartbeat",
    "HeartbeatReply",
    "InForceReply",
    "InForceRequest",
    "Message",
    "NoReply",
    "ObjectsPage",
    "OriginsReply",
    "OriginsRequest",
    "Peer",
    "PermitReply",
    "PermitRequest",
    "PermitReturn",
    "ReachReply",
    "ReachRequest",
    "RolloutReply",
    "RolloutReport",
    "RouteTally",
    "Server",
    "StorePage",
    "StreamOriginRecord",
    "TargetAge",
    "TargetAgesReply",
    "TargetAgesRequest",
    "UpdatesReply",
    "UpdatesRequest",
    "send_request",
]
