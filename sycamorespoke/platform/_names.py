"""Names of the platform's headers, paths and kinds of objects.

Constants of headers have the name of the header. A comment says what the header holds
where its name misleads.
"""

HEADER_PREFIX = "X-Sycamorespoke-"

REQUEST_ID = HEADER_PREFIX + "Request-Id"
# Time left until the deadline, not a point in time.
DEADLINE_MS = HEADER_PREFIX + "Deadline-Ms"
# Receipt that an upstream adds to its response.
RESPONSE_STAMP = HEADER_PREFIX + "Response-Stamp"
# Name of the client account.
TENANT_ID = HEADER_PREFIX + "Tenant-Id"
MODEL = HEADER_PREFIX + "Model"
# Input tokens, then output tokens, separated by a comma.
TOKEN_COUNT = HEADER_PREFIX + "Token-Count"
# All blocks of the prompt in order, as ID:TOKENS.
PROMPT_PREFIX = HEADER_PREFIX + "Prompt-Prefix"
# ID of the upstream that the request is meant for.
EXPECT_INSTANCE = HEADER_PREFIX + "Expect-Instance"
# Weight version that the upstream must have loaded.
EXPECT_VERSION = HEADER_PREFIX + "Expect-Version"
# ID of the upstream that responds.
INSTANCE_ID = HEADER_PREFIX + "Instance-Id"
NOT_RUN = HEADER_PREFIX + "Not-Run"
# A single weight version, in spite of the plural.
WEIGHT_VERSIONS = HEADER_PREFIX + "Weight-Versions"
REQUEST_PRIORITY = HEADER_PREFIX + "Request-Priority"
# Scope of the cache: blocks are shared only between requests with the same text.
CACHE_SALT = HEADER_PREFIX + "Cache-Salt"
# Store to import each block of the prompt from.
KV_FETCH = HEADER_PREFIX + "Kv-Fetch"
# Store to export each block of the prompt to.
KV_SAVE = HEADER_PREFIX + "Kv-Save"
# Time at which imports are discarded, Unix milliseconds of the stores' clock.
KV_UNTIL = HEADER_PREFIX + "Kv-Until"
COLD_MS = HEADER_PREFIX + "Cold-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# ID of the caller's request that brought the first event of the stream.
RESUMES = "Resumes"
# Requests per second that the upstream accepts from all hosts together.
SERVER_LIMIT = "Server-Limit"
# "1" in all responses of an upstream that is about to stop.
SERVER_LEAVING = "Server-Leaving"
# In responses of the store; rises when it comes back from an older copy.
STORE_ERA = "Store-Era"

# Set only by the system or consumed by it; never forwarded from a caller.
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

# Hop-by-hop headers; never forwarded.
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
# Each object names a data centre that is out of service.
KIND_DATA_CENTRES_OUT = "evacuations"
# Target versions of models.
KIND_VERSIONS = "versions"
# Orders to bring in a software version, one object for each service.
KIND_ROLLOUTS = "rollouts"
KIND_HOSTS = "syk-hosts"
KIND_PEER_KEYS = "syk-keys"
KIND_LEASES = "syk-leases"
# Reports on upstreams that ended, and contents of requests in quarantine.
KIND_CRASHES = "syk-crashes"
# Which software versions began streams, one object for each host that keeps records.
KIND_STREAMS = "syk-streams"
