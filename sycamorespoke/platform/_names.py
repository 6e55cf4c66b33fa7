"""Names of the platform's headers, calls and kinds of objects."""

PREFIX = "X-Sycamorespoke-"

CALL_ID = PREFIX + "Request-Id"
LEFT_MS = PREFIX + "Deadline-Ms"
RECEIPT = PREFIX + "Response-Stamp"
ACCOUNT = PREFIX + "Tenant-Id"
MODEL = PREFIX + "Model"
TOKEN_COUNTS = PREFIX + "Token-Count"
PROMPT_PARTS = PREFIX + "Prompt-Prefix"
EXPECTED_UPSTREAM = PREFIX + "Expect-Instance"
EXPECTED_VERSION = PREFIX + "Expect-Version"
UPSTREAM_ID = PREFIX + "Instance-Id"
NOT_RUN = PREFIX + "Not-Run"
WEIGHT_VERSION = PREFIX + "Weight-Versions"
URGENCY = PREFIX + "Request-Priority"
CACHE_SCOPE = PREFIX + "Cache-Salt"
FETCH_FROM = PREFIX + "Kv-Fetch"
SAVE_TO = PREFIX + "Kv-Save"
FETCH_UNTIL = PREFIX + "Kv-Until"
COLD_MS = PREFIX + "Cold-Ms"
LAST_EVENT_ID = "Last-Event-Id"

# Only the system sets these; what a caller sends in them is not passed on.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        LEFT_MS,
        RECEIPT,
        ACCOUNT,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        UPSTREAM_ID,
        NOT_RUN,
        WEIGHT_VERSION,
        URGENCY,
        CACHE_SCOPE,
        FETCH_FROM,
        SAVE_TO,
        FETCH_UNTIL,
        COLD_MS,
        PREFIX + "Pin-Ms",
        PREFIX + "Kv-Hold",
        PREFIX + "Kv-Backup",
        PREFIX + "Kv-From",
        "Kv-From",
        "Authorization",
    )
)

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)

READY_PATH = "/sycamorespoke/ready"
OBJECTS_PATH = "/sycamorespoke/objects/"
REPORT_PATH = "/sycamorespoke/report"
ORDER_PATH = "/sycamorespoke/order"
EVENTS_PATH = "/sycamorespoke/kv-events"
FREE_PATH = "/sycamorespoke/kv-free"

KIND_CONFIGURATION = "config"
KIND_UPSTREAMS = "servers"
KIND_DATA_CENTRES_OUT = "evacuations"
KIND_VERSIONS = "versions"
KIND_HOSTS = "syk-hosts"
KIND_KEYS = "syk-keys"
PEER_KEY = "peers"
KIND_LEASES = "syk-leases"
