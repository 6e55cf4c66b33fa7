"""Decisions as pure functions over the domain objects.

Each function takes the current time as an argument and performs no I/O.
"""

from sycamorespoke.decisions._admission import (
    RetryBudget,
    TokenBucket,
    choose_retry_after_s,
    estimate_wait_s,
)
from sycamorespoke.decisions._attempts import (
    RETRYABLE_KINDS,
    combine_refusals,
)
from sycamorespoke.decisions._availability import (
    MAX_BACKOFF_S,
    Availability,
    Obstacle,
    Purpose,
    UpstreamSignals,
    assess_upstream,
)
from sycamorespoke.decisions._block_plan import (
    BlockPlan,
    StoreState,
    plan_blocks,
)
from sycamorespoke.decisions._block_retirement import (
    CLOCK_MARGIN_S,
    CONFIGURATION_MAX_AGE_S,
    EXCLUSION_SETTLE_S,
    IMPORT_CONFIGURATION_MAX_AGE_S,
    IMPORT_TIMEOUT_S,
    TARGET_VERSION_MAX_AGE_S,
    UNUSED_SCOPE_WAIT_S,
    BlockScope,
    compute_exclusion,
    is_unused,
    may_import,
    parse_block_scope,
    select_retired_blocks,
)
from sycamorespoke.decisions._byte_bucket import (
    reserve_bytes,
)
from sycamorespoke.decisions._claim_operations import (
    Claim,
    Claimed,
    ClaimToken,
    Outcome,
    Recorded,
    RecordOutcome,
    ReleaseClaim,
    RestoreClaim,
    hash_claim_key,
    hash_request,
)
from sycamorespoke.decisions._claims import (
    CLAIM_RETENTION_S,
    CLAIM_SHARD_BYTES,
    apply_claim_operations,
)
from sycamorespoke.decisions._cold_permits import (
    compute_limit_without_owner,
    may_grant_permits,
)
from sycamorespoke.decisions._cold_share import (
    ColdRateLimit,
    compute_cold_share,
)
from sycamorespoke.decisions._crash_attribution import (
    BrokenRequest,
    Suspicion,
    discard_contents,
    find_fatal_content,
)
from sycamorespoke.decisions._crash_evidence import MOMENT_S, Content, ContentKind
from sycamorespoke.decisions._ejection import (
    MAX_EJECTION_S,
    FailureHistory,
    record_failure,
    record_success,
    select_not_ejected,
)
from sycamorespoke.decisions._eligibility import (
    assess_host,
    is_ready_for_traffic,
    is_upstream_eligible,
)
from sycamorespoke.decisions._events import (
    EventEstimates,
    Preparation,
    PreparationKind,
    plan_preparations,
    select_due,
)
from sycamorespoke.decisions._fair_queue import (
    FairQueue,
)
from sycamorespoke.decisions._forwarding import (
    PeerReport,
    choose_asked_hosts,
    choose_forwarding_peer,
)
from sycamorespoke.decisions._lease_state import (
    LEASE_DURATION_S,
    RENEW_INTERVAL_S,
    LeaseAction,
    LeaseRecord,
    LeaseState,
    is_held,
    may_acquire,
)
from sycamorespoke.decisions._leases import (
    enter_era,
    handle_lease_read,
    handle_lease_write,
    handle_lease_write_conflict,
    handle_uncertain_lease_write,
    make_lease_record,
    plan_lease_step,
)
from sycamorespoke.decisions._links import (
    begin_transfer,
    end_transfer,
    estimate_transfer_s,
    has_spare_capacity,
    make_link_budget,
)
from sycamorespoke.decisions._load_sample import scale_sample
from sycamorespoke.decisions._membership import (
    MAX_CONFIRMATION_AGE_S,
    WATCHERS_PER_DATA_CENTRE,
    Neighbours,
    choose_neighbours,
    compute_peers_confirmed_s,
    is_alive,
    is_ready,
    is_watcher,
    rank_hosts,
)
from sycamorespoke.decisions._orders import (
    MAX_ORDER_DURATION_S,
    LoadOrder,
    SentOrder,
    choose_shards,
    is_order_pending,
    may_send_order,
    plan_load_orders,
)
from sycamorespoke.decisions._permits import (
    PERMIT_LIFETIME_S,
    PERMIT_RETRY_AFTER_S,
    REPORT_LAG_S,
    apply_load_report,
    count_permitted_requests,
    decide_permit,
    is_permit_usable,
    open_ledger,
    return_permit,
)
from sycamorespoke.decisions._placement import (
    PlacementCandidate,
    pick_weighted,
    place_by_key,
    place_by_load,
    rank_by_key,
)
from sycamorespoke.decisions._pooled_failures import (
    Outcomes,
    PooledHistory,
    choose_ejection_end_s,
    choose_return_delay_s,
    pool_outcomes,
)
from sycamorespoke.decisions._publication import (
    PublishRules,
    ReadBackResult,
    ResourceKind,
    SetOutOfService,
    apply_change,
    classify_read_back,
)
from sycamorespoke.decisions._rate_share import RateShare
from sycamorespoke.decisions._reachability import (
    MIN_FAILED_UPSTREAMS,
    LinkState,
    begin_link_trial,
    record_link_failure,
)
from sycamorespoke.decisions._readers import ReaderPlan, count_readers, plan_readers
from sycamorespoke.decisions._revisions import (
    choose_newer_revision,
)
from sycamorespoke.decisions._routing import (
    Candidate,
    Cost,
    choose_upstream,
)
from sycamorespoke.decisions._settling import SettlingList
from sycamorespoke.decisions._stated_rate import (
    TurnShare,
    compute_stated_share,
    find_turn,
)
from sycamorespoke.decisions._stored_objects import (
    Malformed,
    StoredRules,
    StoredServiceState,
    format_value,
    parse_rules,
    parse_service_state,
)
from sycamorespoke.decisions._stores import (
    StoreCandidate,
    choose_store,
)
from sycamorespoke.decisions._stream_origins import (
    MAX_KEEPING_HOSTS,
    StreamOrigin,
    choose_keeping_hosts,
    choose_origin_keepers,
    choose_origin_sources,
)
from sycamorespoke.decisions._target_age import (
    NamingTime,
    combine_naming_times,
    may_begin_on_older_weights,
)
from sycamorespoke.decisions._upstream_limit import (
    AttemptOutcome,
    UpstreamLimit,
)
from sycamorespoke.decisions._urgency import (
    WaitEstimate,
    choose_shared_urgency,
    choose_urgency,
)
from sycamorespoke.decisions._watch_timing import (
    MAX_DIRECT_HOSTS,
    Freshness,
    ReadMode,
    WatchTiming,
    choose_watch_timing,
)
from sycamorespoke.decisions._weight_rollout import (
    EngineVersion,
    compute_acquire_delay_s,
    compute_free_loads,
    compute_max_loads_by_model,
    select_engines_to_load,
)

__all__ = [
    "CLAIM_RETENTION_S",
    "CLAIM_SHARD_BYTES",
    "CLOCK_MARGIN_S",
    "CONFIGURATION_MAX_AGE_S",
    "EXCLUSION_SETTLE_S",
    "IMPORT_CONFIGURATION_MAX_AGE_S",
    "IMPORT_TIMEOUT_S",
    "LEASE_DURATION_S",
    "MAX_BACKOFF_S",
    "MAX_CONFIRMATION_AGE_S",
    "MAX_DIRECT_HOSTS",
    "MAX_EJECTION_S",
    "MAX_KEEPING_HOSTS",
    "MAX_ORDER_DURATION_S",
    "MIN_FAILED_UPSTREAMS",
    "MOMENT_S",
    "PERMIT_LIFETIME_S",
    "PERMIT_RETRY_AFTER_S",
    "RENEW_INTERVAL_S",
    "REPORT_LAG_S",
    "RETRYABLE_KINDS",
    "TARGET_VERSION_MAX_AGE_S",
    "UNUSED_SCOPE_WAIT_S",
    "WATCHERS_PER_DATA_CENTRE",
    "AttemptOutcome",
    "Availability",
    "BlockPlan",
    "BlockScope",
    "BrokenRequest",
    "Candidate",
    "Claim",
    "ClaimToken",
    "Claimed",
    "ColdRateLimit",
    "Content",
    "ContentKind",
    "Cost",
    "EngineVersion",
    "EventEstimates",
    "FailureHistory",
    "FairQueue",
    "Freshness",
    "LeaseAction",
    "LeaseRecord",
    "LeaseState",
    "LinkState",
    "LoadOrder",
    "Malformed",
    "NamingTime",
    "Neighbours",
    "Obstacle",
    "Outcome",
    "Outcomes",
    "PeerReport",
    "PlacementCandidate",
    "PooledHistory",
    "Preparation",
    "PreparationKind",
    "PublishRules",
    "Purpose",
    "RateShare",
    "ReadBackResult",
    "ReadMode",
    "ReaderPlan",
    "RecordOutcome",
    "Recorded",
    "ReleaseClaim",
    "ResourceKind",
    "RestoreClaim",
    "RetryBudget",
    "SentOrder",
    "SetOutOfService",
    "SettlingList",
    "StoreCandidate",
    "StoreState",
    "StoredRules",
    "StoredServiceState",
    "StreamOrigin",
    "Suspicion",
    "TokenBucket",
    "TurnShare",
    "UpstreamLimit",
    "UpstreamSignals",
    "WaitEstimate",
    "WatchTiming",
    "apply_change",
    "apply_claim_operations",
    "apply_load_report",
    "assess_host",
    "assess_upstream",
    "begin_link_trial",
    "begin_transfer",
    "choose_asked_hosts",
    "choose_ejection_end_s",
    "choose_forwarding_peer",
    "choose_keeping_hosts",
    "choose_neighbours",
    "choose_newer_revision",
    "choose_origin_keepers",
    "choose_origin_sources",
    "choose_retry_after_s",
    "choose_return_delay_s",
    "choose_shards",
    "choose_shared_urgency",
    "choose_store",
    "choose_upstream",
    "choose_urgency",
    "choose_watch_timing",
    "classify_read_back",
    "combine_naming_times",
    "combine_refusals",
    "compute_acquire_delay_s",
    "compute_cold_share",
    "compute_exclusion",
    "compute_free_loads",
    "compute_limit_without_owner",
    "compute_max_loads_by_model",
    "compute_peers_confirmed_s",
    "compute_stated_share",
    "count_permitted_requests",
    "count_readers",
    "decide_permit",
    "discard_contents",
    "end_transfer",
    "enter_era",
    "estimate_transfer_s",
    "estimate_wait_s",
    "find_fatal_content",
    "find_turn",
    "format_value",
    "handle_lease_read",
    "handle_lease_write",
    "handle_lease_write_conflict",
    "handle_uncertain_lease_write",
    "has_spare_capacity",
    "hash_claim_key",
    "hash_request",
    "is_alive",
    "is_held",
    "is_order_pending",
    "is_permit_usable",
    "is_ready",
    "is_ready_for_traffic",
    "is_unused",
    "is_upstream_eligible",
    "is_watcher",
    "make_lease_record",
    "make_link_budget",
    "may_acquire",
    "may_begin_on_older_weights",
    "may_grant_permits",
    "may_import",
    "may_send_order",
    "open_ledger",
    "parse_block_scope",
    "parse_rules",
    "parse_service_state",
    "pick_weighted",
    "place_by_key",
    "place_by_load",
    "plan_blocks",
    "plan_lease_step",
    "plan_load_orders",
    "plan_preparations",
    "plan_readers",
    "pool_outcomes",
    "rank_by_key",
    "rank_hosts",
    "record_failure",
    "record_link_failure",
    "record_success",
    "reserve_bytes",
    "return_permit",
    "scale_sample",
    "select_due",
    "select_engines_to_load",
    "select_not_ejected",
    "select_retired_blocks",
]
