"""Reports how the attempts of one request end to the rollouts of software versions."""

from sycamorespoke import domain, rollouts

SERVER_ERROR_STATUS = 500
# An upstream that cannot be connected to is not there, which says nothing of its
# version.
OUTCOME_BY_KIND = {
    domain.ErrorKind.UPSTREAM_LOST: rollouts.Outcome.LOST,
    domain.ErrorKind.ANSWER_MISMATCH: rollouts.Outcome.FAILED,
    domain.ErrorKind.DEADLINE_AFTER_SEND: rollouts.Outcome.FAILED,
}


class RolloutWatch:
    """Reports each attempt of one request once; does nothing without rollouts.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the request.
    route : Route
        Route of the request.
    """

    def __init__(self, gateway, route):
        self.gateway = gateway
        self.route = route
        self._sent = None

    def begin(self, upstream):
        """Record that an attempt is sent to an upstream."""
        known = self.gateway.rollouts
        if known is not None:
            now = self.gateway.read_clock()
            self._sent = known.begin(upstream, self.route.name, now)

    def record_status(self, status):
        """Record that the response has ended, or is an error that is not read."""
        is_error = status >= SERVER_ERROR_STATUS
        self._end(rollouts.Outcome.FAILED if is_error else rollouts.Outcome.WHOLE)

    def record_failure(self, failure):
        """Record that there is no response, a refusal, or one that broke off."""
        if failure.head is not None and failure.head.status >= SERVER_ERROR_STATUS:
            self._end(rollouts.Outcome.FAILED)
            return
        kind = failure.refusal.kind
        self._end(OUTCOME_BY_KIND.get(kind, rollouts.Outcome.CANCELLED))

    def finish(self):
        """Record that the attempt, if it has not ended, was given up."""
        self._end(rollouts.Outcome.CANCELLED)

    def _end(self, outcome):
        sent, self._sent = self._sent, None
        if sent is not None:
            self.gateway.rollouts.end(sent, outcome, self.gateway.read_clock())
