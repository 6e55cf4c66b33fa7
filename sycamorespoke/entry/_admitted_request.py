"""The right of one request to send, as the admission counts it."""

import time

from sycamorespoke import decisions, world

OUTCOMES_BY_KIND = {
    world.ErrorKind.UPSTREAM_REFUSED: decisions.AttemptOutcome.REFUSED,
    world.ErrorKind.UPSTREAM_UNREACHABLE: decisions.AttemptOutcome.LOST,
    world.ErrorKind.UPSTREAM_LOST: decisions.AttemptOutcome.LOST,
    world.ErrorKind.ANSWER_MISMATCH: decisions.AttemptOutcome.LOST,
    world.ErrorKind.DEADLINE_AFTER_SEND: decisions.AttemptOutcome.LOST,
}


def classify_attempt(result):
    """Tell what the end of an attempt says of the load of its upstream.

    Parameters
    ----------
    result : object
        An answer or a `world.Refusal`.

    Returns
    -------
    decisions.Verdict
        `ANSWERED` for any answer.
    """
    if not isinstance(result, world.Refusal):
        return decisions.AttemptOutcome.ANSWERED
    return OUTCOMES_BY_KIND.get(result.kind, decisions.AttemptOutcome.NOT_SENT)


class AdmittedRequest:
    """A request that has been admitted, from its ticket to its release.

    Parameters
    ----------
    admission_control : admission.Admission
        Hands out the slots.
    ticket : admission.Ticket
        The slot of the request.
    """

    def __init__(self, admission_control, ticket):
        self.admission_control = admission_control
        self.ticket = ticket
        self._released = False

    @classmethod
    def admit(cls, admission_control, account, route, deadline_s, now):
        """Wait until a request may be sent.

        Parameters
        ----------
        admission_control : admission.Admission
            Hands out the slots.
        account : world.ClientAccount
            Who calls.
        route : world.Route
            Route of the request.
        deadline_s : float
            When the request is given up, seconds of the monotonic clock.
        now : float
            Present time, seconds of the monotonic clock.

        Returns
        -------
        Sending or world.Refusal
            The right to send, or why there is none.
        """
        if now >= deadline_s:
            return world.Refusal(
                world.ErrorKind.DEADLINE_BEFORE_SEND, "the deadline has passed"
            )
        ticket = admission_control.acquire(
            account.name, route.name, deadline_s - now, now
        )
        if isinstance(ticket, world.Refusal):
            return ticket
        return cls(admission_control, ticket)

    def free_names(self):
        """Return the names of the upstreams that have a free slot."""
        free_by_name = self.admission_control.free_by_upstream(self.ticket.group)
        return {name for name, free in free_by_name.items() if free > 0}

    def begin_attempt(self, name):
        """Count an attempt at an upstream; tell whether it may be made."""
        return self.admission_control.assign(self.ticket, name)

    def end_attempt(self, result, delay_s=None):
        """Count the attempt as ended."""
        self.admission_control.unassign(
            self.ticket, classify_attempt(result), delay_s, time.monotonic()
        )

    def take_retry(self):
        """Take a retry from the budget of the route; tell whether there was one."""
        return self.admission_control.take_retry(self.ticket.route)

    def release(self, result, delay_s=None):
        """Give the slot back; doing so again changes nothing."""
        if self._released:
            return
        self._released = True
        self.admission_control.release(
            self.ticket, classify_attempt(result), time.monotonic(), delay_s
        )
