"""Names of the platform's headers, calls and kinds of objects."""

HEADER_PREFIX = "X-Sycamorespoke-"

REQUEST_ID = HEADER_PREFIX + "Request-Id"
DEADLINE_MS = HEADER_PREFIX + "Deadline-Ms"
RESPONSE_STAMP = HEADER_PREFIX + "Response-Stamp"
TENANT_ID = HEADER_PREFIX + "Tenant-Id"
MODEL = HEADER_PREFIX + "Model"
TOKEN_COUNT = HEADER_PREFIX + "Token-Count"
PROMPT_PREFIX = HEADER_PREFIX + "Prompt-Prefix"
EXPECT_INSTANCE = HEADER_PREFIX + "Expect-Instance"
EXPECT_VERSION = HEADER_PREFIX + "Expect-Version"
INSTANCE_ID = HEADER_PREFIX + "Instance-Id"
NOT_RUN = HEADER_PREFIX + "Not-Run"
WEIGHT_VERSIONS = HEADER_PREFIX + "Weight-Versions"
REQUEST_PRIORITY = HEADER_PREFIX + "Request-Priority"
CACHE_SALT = HEADER_PREFIX + "Cache-Salt"
KV_FETCH = HEADER_PREFIX + "Kv-Fetch"
KV_SAVE = HEADER_PREFIX + "Kv-Save"
KV_UNTIL = HEADER_PREFIX + "Kv-Until"
COLD_MS = HEADER_PREFIX + "Cold-Ms"
LAST_EVENT_ID = "Last-Event-Id"

# Only the system sets these; what a caller sends in them is not passed on.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        RESPONSE_STAMP,
        TENANT_ID,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        INSTANCE_ID,
        NOT_RUN,
        WEIGHT_VERSIONS,
        REQUEST_PRIORITY,
        CACHE_SALT,
        KV_FETCH,
        KV_SAVE,
        KV_UNTIL,
        COLD_MS,
        HEADER_PREFIX + "Pin-Ms",
        HEADER_PREFIX + "Kv-Hold",
        HEADER_PREFIX + "Kv-Backup",
        HEADER_PREFIX + "Kv-From",
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
KV_EVENTS_PATH = "/sycamorespoke/kv-events"
KV_FREE_PATH = "/sycamorespoke/kv-free"

KIND_CONFIGURATION = "config"
KIND_UPSTREAMS = "servers"
KIND_DATA_CENTRES_OUT = "evacuations"
KIND_VERSIONS = "versions"
KIND_HOSTS = "syk-hosts"
KIND_PEER_KEYS = "syk-keys"
PEER_KEY_NAME = "peers"
KIND_LEASES = "syk-leases"
