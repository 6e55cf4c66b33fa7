"""Clock of the commands, replaced in tests."""

import datetime
import time
import typing

import attrs


def _wall_time():
    return datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")


@attrs.frozen
class Clock:
    """Time functions that the commands use.

    Parameters
    ----------
    now : callable
        Returns the current monotonic time, in seconds.
    sleep : callable
        Blocks for a number of seconds.
    wall_time : callable
        Returns the date and time in UTC, ISO 8601.
    """

    now: typing.Callable = time.monotonic
    sleep: typing.Callable = time.sleep
    wall_time: typing.Callable = _wall_time
