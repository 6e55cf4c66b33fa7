"""Relaying of many token streams by one thread.

A thread for each stream pays for being woken with every token. Here one
thread waits for all upstream connections at once, reads what has arrived and
writes it to the callers; the thread that serves the call sleeps meanwhile.
"""

from sycamorespoke.relay._current_thread import forward_in_current_thread
from sycamorespoke.relay._pump import (
    CallerDisconnected,
    DeadlineExceeded,
    IdleTimeout,
    Pump,
)

__all__ = [
    "CallerDisconnected",
    "DeadlineExceeded",
    "IdleTimeout",
    "Pump",
    "forward_in_current_thread",
]
