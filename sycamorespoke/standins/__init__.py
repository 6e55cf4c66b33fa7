"""Stand-ins for the platform, engines, plain services, weight and block stores.

Each implements its protocol of docs/PROTOCOLS.md over HTTP; ``PUT /faults`` makes
it fail in a chosen way. Tests run stand-ins in process with `run_in_thread`.
"""

from sycamorespoke.standins._command import main
from sycamorespoke.standins._engine import EngineStandin
from sycamorespoke.standins._engine_options import EngineOptions
from sycamorespoke.standins._platform import PlatformOptions, PlatformStandin
from sycamorespoke.standins._runs import count_answer_tokens, make_token
from sycamorespoke.standins._server import Handle, run_in_thread
from sycamorespoke.standins._service import ServiceOptions, ServiceStandin
from sycamorespoke.standins._store import StoreOptions, StoreStandin
from sycamorespoke.standins._weights import WeightsOptions, WeightsStandin

__all__ = [
    "EngineOptions",
    "EngineStandin",
    "Handle",
    "PlatformOptions",
    "PlatformStandin",
    "ServiceOptions",
    "ServiceStandin",
    "StoreOptions",
    "StoreStandin",
    "WeightsOptions",
    "WeightsStandin",
    "count_answer_tokens",
    "main",
    "make_token",
    "run_in_thread",
]
