"""Reasons for which no further attempt of a request may begin."""

from sycamorespoke import domain

# No attempt begins when less time than this remains, so that the refusal still
# reaches the caller before its deadline.
REFUSAL_MARGIN_S = 0.02


def find_refusal(attempts, view, now):
    """Return a refusal if no attempt may begin, whatever the upstreams.

    Parameters
    ----------
    attempts : Attempts
        Earlier attempts of the request.
    view : View
        Current view of the deployment.
    now : float
        Current time, seconds of the boot clock.

    Returns
    -------
    domain.Refusal or None
        ``None`` if an attempt may begin.
    """
    if attempts.cancelled:
        return domain.Refusal(domain.ErrorKind.CANCELLED, "the caller disconnected")
    if attempts.has_ended:
        return domain.Refusal(domain.ErrorKind.DRAINING, "the host stops now")
    if now >= attempts.deadline_s - REFUSAL_MARGIN_S:
        return domain.Refusal(
            domain.ErrorKind.DEADLINE_BEFORE_SEND,
            "no time is left to send the request",
        )
    if attempts.timing.sent_s is None:
        shutdown = attempts.gateway.shutdown
        refusal = shutdown.find_refusal(attempts.deadline_s, now)
        if refusal is not None:
            return refusal
    return attempts.crash_watch.find_refusal(view, now)
