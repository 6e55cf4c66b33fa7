"""The clock by which calls are judged."""

import time


def read_clock():
    """Read the boot clock.

    Returns
    -------
    float
        Seconds. Unlike the monotonic clock it counts the time for which the
        host was suspended, so that a lease or a view is not taken for young
        after a freeze; it does not jump with the time of day.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
