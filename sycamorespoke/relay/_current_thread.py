"""Relaying in the current thread, for streams that a selector cannot wait for."""

import time

from sycamorespoke import clients
from sycamorespoke.relay import _pump


def forward_in_current_thread(messages, write_tokens, deadline_s):
    """Relay a stream to its end in the current thread.

    Parameters
    ----------
    messages : iterator
        Messages of a `clients.EngineStream` after `clients.Started`.
    write_tokens : callable
        Writes a list of `clients.Token` to the caller.
    deadline_s : float
        Deadline of the transfer, monotonic time in seconds.

    Returns
    -------
    clients.Done or clients.Incomplete or clients.Mismatch or CallerDisconnected or \
DeadlineExceeded
        How the stream ended. The tokens that arrived before have been written,
        unless the caller has disconnected or the deadline has passed.
    """
    for message in messages:
        if isinstance(message, clients.TERMINAL_MESSAGES):
            return message
        if time.monotonic() >= deadline_s:
            return _pump.DeadlineExceeded()
        try:
            write_tokens([message])
        except Exception as error:
            return _pump.CallerDisconnected(type(error).__name__)
    return clients.Incomplete("the stream ended")
