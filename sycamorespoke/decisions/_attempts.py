"""What several attempts of one request mean together."""

from sycamorespoke import world

RETRYABLE_KINDS = frozenset(
    {
        world.ErrorKind.UPSTREAM_REFUSED,
        world.ErrorKind.UPSTREAM_UNREACHABLE,
        world.ErrorKind.UPSTREAM_LOST,
        world.ErrorKind.ANSWER_MISMATCH,
    }
)
"""Failures after which an idempotent request is sent to another upstream."""


def combine_refusals(earlier, latest):
    """Combine the refusals of two attempts into the one for the caller.

    Parameters
    ----------
    earlier : world.Refusal or None
        Refusal of the attempts before, ``None`` for none.
    latest : world.Refusal
        Refusal of the last attempt.

    Returns
    -------
    world.Refusal
        The latest, unless it says "not run" and an earlier one does not.

    Examples
    --------
    >>> lost = world.Refusal(world.ErrorKind.UPSTREAM_LOST, "broken")
    >>> none = world.Refusal(world.ErrorKind.NO_UPSTREAM, "none is left")
    >>> combine_refusals(lost, none).kind.value
    'upstream_lost'
    """
    if earlier is None:
        return latest
    if latest.answer().execution is not world.Execution.NOT_RUN:
        return latest
    if earlier.answer().execution is world.Execution.NOT_RUN:
        return latest
    return earlier
