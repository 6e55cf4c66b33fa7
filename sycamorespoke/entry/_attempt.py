"""One sending of a completion to one engine."""

import time

from sycamorespoke import relay, world

STREAM_IDLE_TIMEOUT_S = 5.0


class Attempt:
    """One sending of a completion to one engine.

    Parameters
    ----------
    choice : Choice
        The engine.
    request : clients.Generate
        What was sent.
    cached_blocks : int
        Leading blocks that the engine is believed to cache.
    sent_s : float
        When, seconds of the monotonic clock.
    """

    def __init__(self, choice, request, cached_blocks, sent_s):
        self.choice = choice
        self.candidate = choice.candidate
        self.request = request
        self.sent_s = sent_s
        self.messages = iter(())
        self.queue_delay_s = None
        self._stream = None
        self._is_awaiting_first_token = True
        cached_tokens = cached_blocks * world.BLOCK_TOKENS
        prompt_tokens = world.count_tokens(request.prompt)
        self._uncached_tokens = max(0, prompt_tokens - cached_tokens)

    def attach_stream(self, stream):
        """Take the open stream of the engine."""
        self._stream = stream
        self.messages = stream.messages()

    def forward(self, pump, write_tokens, deadline_s):
        """Relay the rest of the stream; return its last message."""
        if not self._stream.can_wait_outside():
            return relay.forward_here(self.messages, write_tokens, deadline_s)
        return pump.forward(
            self._stream, write_tokens, STREAM_IDLE_TIMEOUT_S, deadline_s
        )

    def record_sent(self, table):
        """Tell the table that the request is about to be sent."""
        table.record_sent(self.candidate.host.name, self._uncached_tokens)

    def record_started(self, table, started):
        """Tell the table what the first line says."""
        table.record_started(self.candidate.host.name, started, self.request.block_keys)

    def record_token(self, table):
        """Tell the table of the first token; the others change nothing."""
        if not self._is_awaiting_first_token:
            return
        self._is_awaiting_first_token = False
        self.queue_delay_s = self._measure_queue_delay(time.monotonic())
        table.record_first_token(
            self.candidate.host.name, self._uncached_tokens, self.request.block_keys
        )

    def finish(self, table, completed_s):
        """Close the stream and tell the table; ``now`` only if it is whole."""
        if self._stream is not None:
            self._stream.close()
        name = self.candidate.host.name
        if self._is_awaiting_first_token:
            table.discard_pending_prefill(name, self._uncached_tokens)
        table.record_finished(
            name, None if completed_s is None else completed_s - self.sent_s
        )

    def _measure_queue_delay(self, now):
        # The computation of a long prompt says nothing of the engine's load.
        rate = self.candidate.group.prefill_tokens_per_s
        return max(0.0, now - self.sent_s - self._uncached_tokens / rate)
