"""Relaying of many token streams by one thread.

With one thread per stream, every token costs a thread wake-up. Here a single
thread waits for all upstream connections, reads the data that has arrived and
writes it to the callers, while the threads that serve the requests sleep.
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
