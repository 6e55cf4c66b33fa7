"""Refusals of several attempts of one request."""

from sycamorespoke import domain

RETRYABLE_KINDS = frozenset(
    {
        domain.ErrorKind.UPSTREAM_REFUSED,
        domain.ErrorKind.UPSTREAM_UNREACHABLE,
        domain.ErrorKind.UPSTREAM_LOST,
        domain.ErrorKind.ANSWER_MISMATCH,
    }
)
"""Error kinds after which an idempotent request is retried at another upstream."""


def combine_refusals(earlier, latest):
    """Choose the refusal to return to the caller after several attempts.

    Parameters
    ----------
    earlier : domain.Refusal or None
        Combined refusal of the earlier attempts, ``None`` if there were none.
    latest : domain.Refusal
        Refusal of the latest attempt.

    Returns
    -------
    domain.Refusal
        ``latest``, unless it says that the request was not run and ``earlier`` does
        not; then ``earlier``, as the request may have run.

    Examples
    --------
    >>> lost = domain.Refusal(domain.ErrorKind.UPSTREAM_LOST, "broken")
    >>> none = domain.Refusal(domain.ErrorKind.NO_UPSTREAM, "none is left")
    >>> combine_refusals(lost, none).kind.value
    'upstream_lost'
    """
    if earlier is None:
        return latest
    if latest.error_response().execution is not domain.Execution.NOT_RUN:
        return latest
    if earlier.error_response().execution is domain.Execution.NOT_RUN:
        return latest
    return earlier
