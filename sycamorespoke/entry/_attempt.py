"""An attempt to generate a completion at one engine."""

import time

from sycamorespoke import domain, relay, retries

STREAM_IDLE_TIMEOUT_S = 5.0


class Attempt:
    """An attempt to generate a completion at one engine.

    Parameters
    ----------
    choice : Choice
        The chosen engine.
    request : clients.GenerationRequest
        Request to send.
    cached_blocks : int
        Number of leading blocks that the engine is expected to have cached.
    sent_s : float
        Start of the attempt, monotonic time in seconds.
    """

    def __init__(self, choice, request, cached_blocks, sent_s):
        self.choice = choice
        self.candidate = choice.candidate
        self.request = request
        self.sent_s = sent_s
        self.messages = iter(())
        self.queue_delay_s = None
        self._started_boot_id = None
        self._stream = None
        self._contact = None
        self._is_awaiting_first_token = True
        cached_tokens = cached_blocks * domain.BLOCK_TOKENS
        prompt_tokens = domain.count_tokens(request.prompt)
        self._uncached_tokens = max(0, prompt_tokens - cached_tokens)

    def attach_stream(self, stream):
        """Set the engine's open stream."""
        self._stream = stream
        self.messages = stream.messages()

    def forward(self, pump, write_tokens, deadline_s):
        """Relay the rest of the stream and return its last message."""
        if not self._stream.is_selectable():
            return relay.forward_in_current_thread(
                self.messages, write_tokens, deadline_s
            )
        return pump.forward(
            self._stream, write_tokens, STREAM_IDLE_TIMEOUT_S, deadline_s
        )

    def record_sent(self, table):
        """Record in the table that the request is about to be sent."""
        table.record_sent(self.candidate.host.name, self._uncached_tokens)
        self._contact = retries.AttemptContact(table.contacts)
        self._contact.begin(self.candidate.host.name, self.sent_s)

    def record_started(self, table, started):
        """Record the first line of the stream in the table."""
        self._started_boot_id = started.boot_id
        self._contact.hear(time.monotonic())
        table.record_started(self.candidate.host.name, started, self.request.block_keys)

    def record_token(self, table):
        """Record that a token has arrived, and the first one in the table."""
        self._contact.hear(time.monotonic())
        if not self._is_awaiting_first_token:
            return
        self._is_awaiting_first_token = False
        self.queue_delay_s = self._measure_queue_delay(time.monotonic())
        table.record_first_token(
            self.candidate.host.name, self._uncached_tokens, self.request.block_keys
        )

    def record_lost(self, table, crash_watch):
        """Record that the connection broke, so that the engine may have ended."""
        host = self.candidate.host
        if self._started_boot_id is None:
            # The request may have waited, and its prompt not been processed.
            crash_watch.record_lost(host, table.get_boot_id(host.name))
        else:
            keys = self.request.block_keys
            crash_watch.record_lost(host, self._started_boot_id, keys)

    def finish(self, table, completed_s):
        """Close the stream and record the end of the attempt in the table.

        Parameters
        ----------
        table : UpstreamTable
            State of the upstreams.
        completed_s : float or None
            Monotonic time at which the stream completed, in seconds; ``None`` if
            it is incomplete.
        """
        if self._stream is not None:
            self._stream.close()
        if self._contact is not None:
            self._contact.end(was_waiting=self._started_boot_id is None)
        name = self.candidate.host.name
        if self._is_awaiting_first_token:
            table.discard_pending_prefill(name, self._uncached_tokens)
        table.record_finished(
            name, None if completed_s is None else completed_s - self.sent_s
        )

    def _measure_queue_delay(self, now):
        # Prefill time grows with the prompt and does not reflect the engine's
        # load, so it is subtracted.
        rate = self.candidate.group.prefill_tokens_per_s
        return max(0.0, now - self.sent_s - self._uncached_tokens / rate)
