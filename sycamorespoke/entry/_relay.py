"""Relays a completion from engines until it is complete."""

import time
import uuid

import loguru

from sycamorespoke import clients, decisions, domain, relay
from sycamorespoke.entry import _attempt, _usage

WAIT_POLL_INTERVAL_S = 0.05
WAITABLE_KINDS = frozenset(
    {domain.ErrorKind.VERSION_LOADING, domain.ErrorKind.OVERLOADED}
)


class CompletionRelay:
    """Relays one completion from one or more engines, one attempt after another.

    Parameters
    ----------
    engine_client : clients.EngineClient
        Client of engines.
    pump : relay.Pump
        Relays the streams.
    chooser : Chooser
        Chooses the upstream for each attempt.
    table : UpstreamTable
        State of the upstreams.
    build_request : callable
        Returns the `clients.GenerationRequest` for a weight version.
    route : domain.Route
        Route of the request.
    deadline_s : float
        Deadline of the request, monotonic time in seconds.
    admitted : AdmittedRequest
        The admitted request.
    wait_s : float
        Maximum wait while no upstream has loaded the weight version or all are
        at their limit, in seconds.
    crash_watch : CrashWatch
        Checks whether the request ends engines.

    Notes
    -----
    `open` waits for the first line of an engine, so that a refusal can still
    determine the HTTP status. `run` then writes tokens and always returns
    `clients.Done` or `domain.Refusal`.
    """

    def __init__(
        self,
        engine_client,
        pump,
        chooser,
        table,
        build_request,
        route,
        deadline_s,
        admitted,
        wait_s,
        crash_watch,
    ):
        self.engine_client = engine_client
        self.pump = pump
        self.chooser = chooser
        self.table = table
        self.build_request = build_request
        self.route = route
        self.deadline_s = deadline_s
        self.admitted = admitted
        self.wait_s = wait_s
        self.crash_watch = crash_watch
        self.attempts = 0
        self.started = None
        self.request = None
        # First line of the engine that sent the first token.
        self._origin = None
        self._emitted_texts = []
        self._excluded = set()
        self._interrupted_names = set()
        self._refusal = None
        self._attempt = None

    def open(self):
        """Find an engine that accepts the request.

        Returns
        -------
        clients.Started or domain.Refusal
            The first line of the stream, or the refusal.
        """
        wait_until_s = time.monotonic() + self.wait_s
        while True:
            result = self._attempt_once(time.monotonic())
            if isinstance(result, clients.Started) and not self._may_continue(result):
                result = self._abandon_continuation(result)
            if isinstance(result, clients.Started):
                self.started = self.started or result
                if not self._emitted_texts:
                    self._origin = result
                return result
            now = time.monotonic()
            if result.kind in WAITABLE_KINDS and now < wait_until_s:
                time.sleep(WAIT_POLL_INTERVAL_S)
                continue
            self._refusal = decisions.combine_refusals(self._refusal, result)
            if not self._may_retry(result, now):
                return self._refusal

    def run(self, write_tokens):
        """Relay the tokens until the answer is complete; call it after `open`.

        Parameters
        ----------
        write_tokens : callable
            Called with lists of `clients.Token` in order, from any thread; must not
            block on the caller.

        Returns
        -------
        clients.Done or domain.Refusal
            How the completion ended. All tokens received before are written.
        """

        def write(tokens):
            self._attempt.record_token(self.table)
            write_tokens(tokens)
            self._emitted_texts.extend(token.text for token in tokens)

        while True:
            last = self._attempt.forward(self.pump, write, self.deadline_s)
            if isinstance(last, clients.Done):
                self.crash_watch.record_whole(self.request.block_keys)
                self._export_blocks(time.monotonic())
                self._finish_attempt(time.monotonic(), last)
                return last
            refusal = self._handle_failure(last)
            if refusal is not None:
                return refusal

    def close(self):
        """Finish the running attempt, if any, and cancel it at the engine."""
        if self._attempt is None:
            return
        host = self._attempt.candidate.host
        request_id = self._attempt.request.request_id
        cancelled = domain.Refusal(
            domain.ErrorKind.CANCELLED, "the caller disconnected"
        )
        self._finish_attempt(None, cancelled)
        self.engine_client.cancel(host, request_id)

    def get_usage(self):
        """Return the token usage of the completion.

        Returns
        -------
        Usage
            Completion tokens of all attempts; cached tokens of the first.
        """
        return _usage.Usage(
            self.started.prompt_tokens,
            self.started.cached_tokens,
            len(self._emitted_texts),
        )

    def _export_blocks(self, now):
        is_repeated = self.started.cached_tokens > 0
        candidate = self._attempt.candidate
        self.chooser.blocks.export_blocks(candidate, self.request, is_repeated, now)

    def _handle_failure(self, failure):
        if isinstance(failure, relay.CallerDisconnected):
            self.close()
            return domain.Refusal(domain.ErrorKind.CANCELLED, "the caller disconnected")
        if isinstance(failure, relay.DeadlineExceeded):
            self.close()
            return domain.Refusal(
                domain.ErrorKind.DEADLINE_AFTER_SEND, "the deadline passed"
            )
        host = self._attempt.candidate.host
        if isinstance(failure, clients.Incomplete):
            self._attempt.record_lost(self.table, self.crash_watch)
        refusal = domain.Refusal(
            domain.ErrorKind.UPSTREAM_LOST, f"incomplete answer: {failure.reason}"
        )
        self._finish_attempt(None, refusal)
        self.table.record_broken_connection(host.name)
        self._update_excluded(failure, host)
        self._refusal = refusal
        if not self._may_retry(refusal, time.monotonic()):
            return refusal
        opened = self.open()
        return opened if isinstance(opened, domain.Refusal) else None

    def _update_excluded(self, failure, host):
        # An interrupted stream is resumed once at the same engine, which has the
        # prompt cached. An engine that sends a mismatched response, stops sending
        # or interrupts a second stream is excluded.
        may_resume = (
            isinstance(failure, clients.Incomplete)
            and host.name not in self._interrupted_names
        )
        if not may_resume or not self.chooser.get_contract(host).resumes:
            self._excluded.add(host.name)
        self._interrupted_names.add(host.name)

    def _may_continue(self, started):
        """Return whether an engine has the software that began the stream."""
        return not self._emitted_texts or started.may_continue(self._origin)

    def _abandon_continuation(self, started):
        """Cancel a continuation before its first token; return the refusal."""
        host = self._attempt.candidate.host
        loguru.logger.bind(
            request_id=self.request.request_id,
            upstream=host.name,
            software_version=started.software_version,
            began_with=self._origin.software_version,
        ).info("stream not continued at another software version")
        self.close()
        self._excluded.add(host.name)
        return domain.Refusal(
            domain.ErrorKind.ANSWER_MISMATCH,
            "the engine has another software version than the one that began",
        )

    def _list_excluded(self):
        if not self._emitted_texts:
            return self._excluded
        version = self._origin.software_version
        return self._excluded | self.table.list_other_software(version)

    def _attempt_once(self, now):
        if now >= self.deadline_s:
            return self._refuse_deadline()
        # Each attempt has a unique ID. Callers may choose equal request IDs, and
        # cancelling or mixing up responses must not affect another request.
        request = clients.replace_request_id(
            self._build_next_request(), uuid.uuid4().hex
        )
        quarantined = self.crash_watch.find_refusal(request.block_keys)
        if quarantined is not None:
            return quarantined
        choice = self.chooser.choose(
            request,
            self.route.group,
            self._list_excluded(),
            self.admitted.free_names(),
            now,
        )
        if isinstance(choice, domain.Refusal):
            return choice
        candidate = choice.candidate
        if not self.admitted.begin_attempt(candidate.host.name):
            self.chooser.release(choice)
            return domain.Refusal(
                domain.ErrorKind.OVERLOADED, "the upstream reached its limit meanwhile"
            )
        self.attempts += 1
        cached_blocks = self.chooser.blocks.import_blocks(
            choice, request, self.deadline_s, now
        )
        now = time.monotonic()
        self._attempt = _attempt.Attempt(choice, request, cached_blocks, now)
        self._attempt.record_sent(self.table)
        result = self._send(choice, request, now)
        if isinstance(result, clients.Started):
            return result
        self._finish_attempt(None, result)
        self.table.record_refusal(candidate.host.name, result, time.monotonic())
        self._excluded.add(candidate.host.name)
        return result

    def _build_next_request(self):
        # A completion keeps its weight version once tokens have been emitted.
        # Before that, a retry uses the target version.
        if self._emitted_texts:
            return clients.make_continuation(self.request, self._emitted_texts)
        version = self.chooser.get_target_version(self.route.group)
        if self.request is None or self.request.version != version:
            self.request = self.build_request(version)
        return self.request

    def _send(self, choice, request, now):
        # The import may have taken long, or the process may have been suspended.
        if not self.chooser.may_send(choice, now):
            return domain.Refusal(
                domain.ErrorKind.UPSTREAM_REFUSED,
                "the upstream is no longer eligible or its permit expired",
            )
        return self._open_stream(choice, request, now)

    def _open_stream(self, choice, request, now):
        host = choice.candidate.host
        timeout_s = min(_attempt.STREAM_IDLE_TIMEOUT_S, self.deadline_s - now)
        stream = self.engine_client.generate(host, request, timeout_s, choice.boot_id)
        if isinstance(stream, domain.Refusal):
            if stream.kind is not domain.ErrorKind.UPSTREAM_REFUSED:
                self.table.record_broken_connection(host.name)
            if stream.kind is domain.ErrorKind.UPSTREAM_LOST:
                self._attempt.record_lost(self.table, self.crash_watch)
            return stream
        self._attempt.attach_stream(stream)
        first = next(self._attempt.messages)
        if isinstance(first, clients.Started):
            self._attempt.record_started(self.table, first)
            return first
        self.table.record_broken_connection(host.name)
        self._attempt.record_lost(self.table, self.crash_watch)
        return domain.Refusal(
            domain.ErrorKind.UPSTREAM_LOST, "the upstream's response has no first line"
        )

    def _may_retry(self, refusal, now):
        if refusal.kind not in decisions.RETRYABLE_KINDS:
            return False
        if self.attempts > self.route.retries or now >= self.deadline_s:
            return False
        return self.admitted.acquire_retry()

    def _refuse_deadline(self):
        if self.attempts:
            return domain.Refusal(
                domain.ErrorKind.DEADLINE_AFTER_SEND, "the deadline passed"
            )
        return domain.Refusal(
            domain.ErrorKind.DEADLINE_BEFORE_SEND,
            "the deadline passed before the request was sent",
        )

    def _finish_attempt(self, completed_s, result):
        attempt, self._attempt = self._attempt, None
        attempt.finish(self.table, completed_s)
        self.chooser.release(attempt.choice)
        self.admitted.end_attempt(result, attempt.queue_delay_s)
