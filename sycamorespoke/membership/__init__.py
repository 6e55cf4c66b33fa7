"""Membership: replicate the configuration, service state and host list to a process.

`Member` keeps the three documents up to date and publishes a `View` of them, which
any thread can read without a lock.
"""

from sycamorespoke.membership._documents import (
    Document,
    InvalidDocument,
    parse_document,
)
from sycamorespoke.membership._lease_keeper import LeaseKeeper
from sycamorespoke.membership._member import Member
from sycamorespoke.membership._permit_client import Permit, PermitClient
from sycamorespoke.membership._permit_issuer import PermitIssuer
from sycamorespoke.membership._state import MemberState
from sycamorespoke.membership._view import View

__all__ = [
    "Document",
    "InvalidDocument",
    "LeaseKeeper",
    "Member",
    "MemberState",
    "Permit",
    "PermitClient",
    "PermitIssuer",
    "View",
    "parse_document",
]
