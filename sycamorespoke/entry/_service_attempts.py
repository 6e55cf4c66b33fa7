"""The attempts of one request to plain services."""

import time

from sycamorespoke import decisions, domain, retries


class ServiceAttempts:
    """The attempts of one request, counted by admission and in the table.

    Parameters
    ----------
    handler : ServiceHandler
        Handler whose collaborators are used.
    route : domain.Route
        Route of the request.
    admitted : AdmittedRequest
        The admitted request.
    """

    def __init__(self, handler, route, admitted):
        self.handler = handler
        self.route = route
        self.admitted = admitted
        self.count = 0
        self._host = None
        self._sent_s = 0.0
        self._contact = retries.AttemptContact(handler.table.contacts)

    def iterate_hosts(self):
        """Iterate over the upstreams to try, and count an attempt at each.

        Yields
        ------
        domain.Host
            Next upstream. It is requested only after the previous attempt failed.
        """
        excluded = set()
        while self.count <= self.route.retries:
            now = time.monotonic()
            choice = self.handler.chooser.choose_service(
                self.route.group, excluded, self.admitted.free_names(), now
            )
            if isinstance(choice, domain.Refusal):
                return
            excluded.add(choice.host.name)
            if not self.admitted.begin_attempt(choice.host.name):
                continue
            self.count += 1
            self._host = choice.host
            self._sent_s = now
            self.handler.table.record_sent(choice.host.name, 0)
            self._contact.begin(choice.host.name, now)
            yield choice.host
            unreachable = domain.Refusal(
                domain.ErrorKind.UPSTREAM_UNREACHABLE,
                "the attempt failed and another upstream is tried",
            )
            self._finish_attempt(unreachable)

    def may_retry(self, result):
        """Return whether an idempotent request is retried after a refusal.

        A retry is taken from the retry budget.
        """
        if result.kind not in decisions.RETRYABLE_KINDS:
            return False
        return self.count <= self.route.retries and self.admitted.acquire_retry()

    def finish(self, result):
        """Count the last attempt as ended and release the slot."""
        delay_s = time.monotonic() - self._sent_s
        self._finish_attempt(result)
        self.admitted.release(result, delay_s if self.count else None)

    def _finish_attempt(self, result):
        if self._host is None:
            return
        has_response = not isinstance(result, domain.Refusal)
        self._record_contact(result, has_response)
        duration_s = time.monotonic() - self._sent_s if has_response else None
        self.handler.table.record_finished(self._host.name, duration_s)
        self.admitted.end_attempt(result, duration_s)
        self._host = None

    def _record_contact(self, result, has_response):
        if has_response:
            self._contact.hear(time.monotonic())
        is_unanswered = (
            not has_response and result.kind is domain.ErrorKind.DEADLINE_AFTER_SEND
        )
        self._contact.end(was_waiting=is_unanswered)
