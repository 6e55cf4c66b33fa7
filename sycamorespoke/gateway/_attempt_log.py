"""Log lines and counters of the attempts of one request."""

import loguru

from sycamorespoke.gateway import _target_versions

MAX_LOGGED_BLOCKS = 8
MS_PER_S = 1000


class AttemptLog:
    """Logs and counts the attempts of one request.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the request.
    request : Request
        The request.
    crash_watch : CrashWatch
        Has the fingerprint of the request.
    route : Route
        Route of the request.
    deadline_s : float
        Deadline of the request, seconds of the boot clock.
    reached_boot_ids : set of str
        Upstreams that have received the request; changes during the request.
    dispatcher : Dispatcher
        Holds the priority of the last attempt.
    """

    def __init__(
        self,
        gateway,
        request,
        crash_watch,
        route,
        deadline_s,
        reached_boot_ids,
        dispatcher,
    ):
        self.gateway = gateway
        self.request = request
        self.crash_watch = crash_watch
        self.route = route
        self.deadline_s = deadline_s
        self.reached_boot_ids = reached_boot_ids
        self.dispatcher = dispatcher

    def record_sent(self, dispatch):
        """Record that an attempt begins."""
        self._count("sent", dispatch.upstream)
        plan = dispatch.block_plan
        self._log(
            "call sent",
            dispatch.upstream,
            level="DEBUG",
            urgency=dispatch.priority,
            weight_version=dispatch.weight_version,
            fetched=sum(address is not None for address in plan.import_from),
            saved=sum(address is not None for address in plan.export_to),
            resumed_after=dispatch.last_event_id,
            caller_resumes_after=self.request.last_event_id,
            resumed_request=self.request.resumed_request_id,
        )
        self._log_older_weights("older weights chosen", dispatch)

    def record_retry(self, upstream, contact, now):
        """Record that a request is sent again, and what is known of its upstream.

        Parameters
        ----------
        upstream : Upstream
            Upstream that gets it now.
        contact : retries.Contact
            Contact of this host with it.
        now : float
            Current time, seconds of the boot clock.
        """
        is_silent = contact.is_silent(now)
        self._count("retry_into_silence" if is_silent else "retry", upstream)
        self._log(
            "retry sent",
            upstream,
            silent=is_silent,
            heard_ms_ago=_age_since_ms(contact.heard_s, now),
            waiting_ms=_age_since_ms(contact.waiting_since_s, now),
        )

    def record_first_event(self, dispatch, waited_s):
        """Record that the first event of a stream arrived after a wait, seconds."""
        waited_ms = int(waited_s * MS_PER_S)
        self._log_older_weights("older weights used", dispatch, waited_ms=waited_ms)

    def record_failed(self, upstream, reason):
        """Record that an attempt got no response, or a refusal."""
        self._count("failed", upstream)
        self._log("attempt failed", upstream, reason=reason, **self._describe())

    def record_overdue(self, upstream):
        """Record that the first event from an upstream is overdue."""
        self._count("overdue", upstream)
        self._log("first event overdue", upstream)

    def record_broken(self, upstream, reason, framing, last_event_id):
        """Record that a response broke off."""
        self._count("broke", upstream)
        self._log(
            "attempt broke",
            upstream,
            reason=reason,
            framing=framing.value,
            last_event_id=last_event_id,
            **self._describe(),
        )

    def record_unread(self, upstream, unread_s):
        """Record that an upstream cut a response that the caller did not read."""
        self._count("unread", upstream)
        self._log("response left unread", upstream, unread_ms=int(unread_s * MS_PER_S))

    def record_server_error(self, upstream, status):
        """Record that an upstream responded with a server error."""
        self._count("upstream_error", upstream)
        self._log("upstream error", upstream, status=status)

    def record_ejection(self, upstream, kind):
        """Record that a failure of a kind ejected an upstream."""
        self._log("upstream left out", upstream, cause=kind.value)

    def record_statement(self, event, upstream, **fields):
        """Record what an upstream stated about itself, if that was not known."""
        self._log(event, upstream, **fields)

    def _count(self, outcome, upstream):
        self.gateway.request_metrics.record_attempt(outcome, upstream.service)

    def _describe(self):
        """Return what tells the contents of the request from those of others."""
        prompt = self.request.prompt
        block_ids = prompt.shared_block_ids if prompt else ()
        return {
            "fingerprint": self.crash_watch.fingerprint,
            # The last blocks tell prompts apart.
            "blocks": list(block_ids[-MAX_LOGGED_BLOCKS:]),
        }

    def _log_older_weights(self, event, dispatch, **fields):
        """Log a dispatch to an upstream whose weights are older than the target."""
        if self.request.prompt is None or dispatch.weight_version is None:
            return
        targets_by_model = self.gateway.views.get().targets_by_model or {}
        target = targets_by_model.get(self.request.prompt.model)
        replacement = target and target.find_replacement(dispatch.weight_version)
        if replacement is None:
            return
        now = self.gateway.read_clock()
        self._log(
            event,
            dispatch.upstream,
            model=target.model,
            weight_version=dispatch.weight_version,
            target_version=target.version,
            replaced_by=replacement.version,
            target_age_ms=_target_versions.compute_max_age_ms(replacement.named, now),
            seen_ms=int((now - replacement.named.seen_s) * MS_PER_S),
            **fields,
        )

    def _log(self, event, upstream, level="INFO", **fields):
        now = self.gateway.read_clock()
        view = self.gateway.views.get()
        loguru.logger.bind(
            request_id=self.request.id,
            route=self.route.name,
            upstream=upstream.id,
            software_version=upstream.software_version,
            reached=len(self.reached_boot_ids),
            left_ms=int((self.deadline_s - now) * 1000),
            urgent=self.dispatcher.has_full_priority,
            configuration=view.configuration.version,
            upstreams_age_ms=_age_ms(view, "upstreams", now),
            **fields,
        ).log(level, event)


def _age_ms(view, section, now):
    confirmed_s = view.confirmed_s_by_section.get(section)
    return None if confirmed_s is None else int((now - confirmed_s) * 1000)


def _age_since_ms(at_s, now):
    if at_s is None or at_s == float("-inf"):
        return None
    return int((now - at_s) * MS_PER_S)
