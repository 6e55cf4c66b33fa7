"""The clock for the times of requests, leases and views."""

import time


def read_clock():
    """Read the boot clock.

    Returns
    -------
    float
        Seconds since boot. Unlike the monotonic clock, this clock includes the time
        for which the host was suspended, so that a lease or a view does not appear
        to be recent after a suspension. Changes of the wall clock do not affect it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
