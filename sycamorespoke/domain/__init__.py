"""Value types shared by all packages: hosts, links, routes, accounts, errors.

Nothing here reads a clock, opens a connection or keeps state. Every other
package may import this package, which imports none of them.
"""

from sycamorespoke.domain._block import (
    BLOCK_TOKENS,
    Block,
    BlockChain,
    chain_block_keys,
    count_tokens,
    split_prompt,
)
from sycamorespoke.domain._client_account import ClientAccount, hash_api_key
from sycamorespoke.domain._configuration import (
    Configuration,
    CostWeights,
    Event,
    Limits,
    ServiceState,
)
from sycamorespoke.domain._contract import Contract, Route, UpstreamGroup, UpstreamKind
from sycamorespoke.domain._data_centre import DataCentre
from sycamorespoke.domain._errors import (
    ERROR_RESPONSE_BY_KIND,
    ErrorKind,
    ErrorResponse,
    Execution,
    Refusal,
)
from sycamorespoke.domain._host import Host, HostList, HostRole, HostState
from sycamorespoke.domain._link import Link, link_key
from sycamorespoke.domain._revision import (
    MAX_ERA,
    get_era,
    get_number,
    make_revision,
)
from sycamorespoke.domain._upstream import LoadReport

__all__ = [
    "BLOCK_TOKENS",
    "ERROR_RESPONSE_BY_KIND",
    "MAX_ERA",
    "Block",
    "BlockChain",
    "ClientAccount",
    "Configuration",
    "Contract",
    "CostWeights",
    "DataCentre",
    "ErrorKind",
    "ErrorResponse",
    "Event",
    "Execution",
    "Host",
    "HostList",
    "HostRole",
    "HostState",
    "Limits",
    "Link",
    "LoadReport",
    "Refusal",
    "Route",
    "ServiceState",
    "UpstreamGroup",
    "UpstreamKind",
    "chain_block_keys",
    "count_tokens",
    "get_era",
    "get_number",
    "hash_api_key",
    "link_key",
    "make_revision",
    "split_prompt",
]
