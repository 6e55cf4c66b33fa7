"""Relaying in the calling thread, for streams that no selector can wait for."""

import time

from sycamorespoke import clients
from sycamorespoke.relay import _pump


def forward_in_current_thread(messages, write_tokens, deadline_s):
    """Relay a stream to its end in the calling thread.

    Parameters
    ----------
    messages : iterator
        Messages of a `clients.EngineStream`, of which `clients.Started` has been
        read.
    write_tokens : callable
        Takes a list of `clients.Token`.
    deadline_s : float
        When the transfer is given up, seconds of the monotonic clock.

    Returns
    -------
    clients.Done or clients.Incomplete or clients.Mismatch or CallerDisconnected or \
DeadlineExceeded
        How it ended; all tokens before it are written.
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
