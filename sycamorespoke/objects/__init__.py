"""Shared objects of the platform: reads, relays and follows them, writes them."""

from sycamorespoke.objects._direct_reads import (
    DirectReads,
)
from sycamorespoke.objects._follower import (
    Follower,
    Subscription,
)
from sycamorespoke.objects._object_history import (
    ObjectHistory,
)
from sycamorespoke.objects._removed_items import NoRemovedItems, RemovedItems
from sycamorespoke.objects._revision_log import (
    RevisionLog,
)
from sycamorespoke.objects._shared_objects import (
    SharedObjects,
)
from sycamorespoke.objects._shared_source import (
    RelayedPage,
    SharedSource,
)
from sycamorespoke.objects._source import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    Missing,
    Unavailable,
    get_confirmed_s,
    get_metadata,
    get_name,
    make_removed,
    qualify_revisions,
)

__all__ = [
    "Change",
    "Changes",
    "DirectReads",
    "Follower",
    "HistoryGone",
    "Listing",
    "Missing",
    "NoRemovedItems",
    "ObjectHistory",
    "RelayedPage",
    "RemovedItems",
    "RevisionLog",
    "SharedObjects",
    "SharedSource",
    "Subscription",
    "Unavailable",
    "get_confirmed_s",
    "get_metadata",
    "get_name",
    "make_removed",
    "qualify_revisions",
]
