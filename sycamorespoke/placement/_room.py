"""Whether a request waits at the host until an engine has memory for it."""

# Share of the time that a request has for which it waits for memory at most.
MAX_HOLD_RATIO = 0.3
MIN_HOLD_S = 0.05
MAX_HOLD_S = 0.15


def choose_hold_s(memory_wait_s, waited_s, time_s, uniform):
    """Choose how long a less urgent request is held before an engine is chosen again.

    An engine without memory preempts the least urgent of its requests, also in the
    middle of an answer, and reads its prompt again later. A prompt that waits at the
    host instead costs the engine nothing, and may go to another one.

    Load answered: a burst of long prompts beside urgent short ones, in which memory is
    what runs short.

    Parameters
    ----------
    memory_wait_s : float
        Expected wait for memory at the best engine, seconds; 0 if it has room.
    waited_s : float
        Time since the request arrived, seconds.
    time_s : float
        Time from its arrival to its deadline, seconds.
    uniform : float
        Uniform random number, 0 to 1, so that hosts do not choose again together.

    Returns
    -------
    float
        Seconds; 0 if it is to be sent now.

    Examples
    --------
    >>> choose_hold_s(0.4, 1.0, 15.0, 0.0), choose_hold_s(0.0, 1.0, 15.0, 0.0)
    (0.05, 0.0)
    >>> choose_hold_s(0.4, 5.0, 15.0, 0.0)
    0.0
    """
    hold_s = MIN_HOLD_S + (MAX_HOLD_S - MIN_HOLD_S) * uniform
    if memory_wait_s <= 0.0 or waited_s + hold_s > time_s * MAX_HOLD_RATIO:
        return 0.0
    return hold_s
