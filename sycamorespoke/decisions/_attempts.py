"""Refusals of several attempts of one request."""

from sycamorespoke import world

RETRYABLE_KINDS = frozenset(
    {
        world.ErrorKind.UPSTREAM_REFUSED,
        world.ErrorKind.UPSTREAM_UNREACHABLE,
        world.ErrorKind.UPSTREAM_LOST,
        world.ErrorKind.ANSWER_MISMATCH,
    }
)
"""Error kinds after which an idempotent request is retried at another upstream."""


def combine_refusals(earlier, latest):
    """Choose the refusal to return to the caller after several attempts.

    Parameters
    ----------
    earlier : world.Refusal or None
        Combined refusal of the earlier attempts, ``None`` if there were none.
    latest : world.Refusal
        Refusal of the latest attempt.

    Returns
    -------
    world.Refusal
        ``latest``, unless it says that the request was not run and ``earlier`` does
        not; then ``earlier``, as the request may have run.

    Examples
    --------
    >>> lost = world.Refusal(world.ErrorKind.UPSTREAM_LOST, "broken")
    >>> none = world.Refusal(world.ErrorKind.NO_UPSTREAM, "none is left")
    >>> combine_refusals(lost, none).kind.value
    'upstream_lost'
    """
    if earlier is None:
        return latest
    if latest.error_response().execution is not world.Execution.NOT_RUN:
        return latest
    if earlier.error_response().execution is world.Execution.NOT_RUN:
        return latest
    return earlier
