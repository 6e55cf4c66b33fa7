"""Retries of requests, and what hosts know of the upstreams that may get them.

What was sent to an upstream that stands still is read when it goes on. Retries go to
upstreams that have been heard of lately (`Contacts`), and wait while there is none
(`SilenceWait`). In the budget of a service (`RetryBudgets`), a retry counts until a
window after it has been read.
"""

from sycamorespoke.retries._attempt_budget import AttemptBudget
from sycamorespoke.retries._attempt_contact import AttemptContact
from sycamorespoke.retries._budgets import RetryBudgets
from sycamorespoke.retries._contact import Contact
from sycamorespoke.retries._contacts import Contacts
from sycamorespoke.retries._overdue import OverdueWatch
from sycamorespoke.retries._silence_wait import SilenceWait
from sycamorespoke.retries._window import RetryWindow

__all__ = [
    "AttemptBudget",
    "AttemptContact",
    "Contact",
    "Contacts",
    "OverdueWatch",
    "RetryBudgets",
    "RetryWindow",
    "SilenceWait",
]
