"""Messages to the actors of the tasks that one host performs for all."""

import attrs


@attrs.frozen
class Tick:
    """Message that triggers a check for pending work.

    Parameters
    ----------
    now : float
        Current time, seconds of the boot clock.
    """

    now: float


@attrs.frozen
class Stop:
    """Message that this host stops and leaves its tasks to the other hosts.

    Parameters
    ----------
    now : float
        Current time, seconds of the boot clock.
    release_at_s : float
        When to hand the tasks over even if no other host is registered, seconds of
        the boot clock.
    """

    now: float
    release_at_s: float
