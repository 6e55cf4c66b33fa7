"""Decides whether the events of a response may be joined with those of another one."""

from sycamorespoke import domain

STREAM_STATUS = 200


def find_bar(head):
    """Find out why a response may not share a stream with another one.

    Parameters
    ----------
    head : ResponseHead
        Head of the response that began the stream, or of one that shall continue it.

    Returns
    -------
    domain.Refusal or None
        ``None`` if its body is a plain stream of events.
    """
    if head.status != STREAM_STATUS:
        return domain.Refusal(
            domain.ErrorKind.UPSTREAM_REFUSED,
            f"the upstream responded with status {head.status} instead of events",
        )
    if not head.is_event_stream:
        return domain.Refusal(
            domain.ErrorKind.ANSWER_MISMATCH,
            "the body of the response is no plain stream of events",
        )
    return None
