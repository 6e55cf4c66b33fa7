"""An admitted request and its attempts, as counted by admission."""

import time

from sycamorespoke import decisions, domain

OUTCOMES_BY_KIND = {
    domain.ErrorKind.UPSTREAM_REFUSED: decisions.AttemptOutcome.REFUSED,
    domain.ErrorKind.UPSTREAM_UNREACHABLE: decisions.AttemptOutcome.LOST,
    domain.ErrorKind.UPSTREAM_LOST: decisions.AttemptOutcome.LOST,
    domain.ErrorKind.ANSWER_MISMATCH: decisions.AttemptOutcome.LOST,
    domain.ErrorKind.DEADLINE_AFTER_SEND: decisions.AttemptOutcome.LOST,
}


def classify_attempt(result):
    """Classify the result of an attempt for the concurrency limit of its upstream.

    Parameters
    ----------
    result : object
        A response or a `domain.Refusal`.

    Returns
    -------
    decisions.AttemptOutcome
        `ANSWERED` for any response; a refusal is classified by its kind.
    """
    if not isinstance(result, domain.Refusal):
        return decisions.AttemptOutcome.ANSWERED
    return OUTCOMES_BY_KIND.get(result.kind, decisions.AttemptOutcome.NOT_SENT)


class AdmittedRequest:
    """A request that has been admitted, until its slot is released.

    Parameters
    ----------
    admission_control : admission.Admission
        Grants the slots.
    ticket : admission.Ticket
        Ticket that holds the slot of the request.
    """

    def __init__(self, admission_control, ticket):
        self.admission_control = admission_control
        self.ticket = ticket
        self._released = False

    @classmethod
    def admit(cls, admission_control, account, route, deadline_s, now):
        """Wait until admission grants the request a slot.

        Parameters
        ----------
        admission_control : admission.Admission
            Grants the slots.
        account : domain.ClientAccount
            Client account of the caller.
        route : domain.Route
            Route of the request.
        deadline_s : float
            Deadline of the request, monotonic time in seconds.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        AdmittedRequest or domain.Refusal
            The admitted request, or the refusal.
        """
        if now >= deadline_s:
            return domain.Refusal(
                domain.ErrorKind.DEADLINE_BEFORE_SEND, "the deadline has passed"
            )
        ticket = admission_control.acquire(
            account.name, route.name, deadline_s - now, now
        )
        if isinstance(ticket, domain.Refusal):
            return ticket
        return cls(admission_control, ticket)

    def free_names(self):
        """Return the names of the upstreams with a free slot."""
        free_by_name = self.admission_control.free_by_upstream(self.ticket.group)
        return {name for name, free in free_by_name.items() if free > 0}

    def begin_attempt(self, name):
        """Count an attempt at an upstream; return whether its limit allows it."""
        return self.admission_control.assign(self.ticket, name)

    def end_attempt(self, result, delay_s=None):
        """Count the attempt as ended and record its outcome."""
        self.admission_control.unassign(
            self.ticket, classify_attempt(result), delay_s, time.monotonic()
        )

    def acquire_retry(self):
        """Take one retry from the route's retry budget; return whether one was left."""
        return self.admission_control.acquire_retry(self.ticket.route)

    def release(self, result, delay_s=None):
        """Release the slot; further calls have no effect."""
        if self._released:
            return
        self._released = True
        self.admission_control.release(
            self.ticket, classify_attempt(result), time.monotonic(), delay_s
        )
