"""Observes under which prompts upstreams end."""

import hashlib
import socket
import threading

import attrs
import loguru

from sycamorespoke import decisions
from sycamorespoke.gateway import _connections, _sound_blocks

MAX_PENDING = 200
# Without a verdict by then the upstream counts as running.
MAX_PENDING_S = 5.0
# A connection attempt to a silent upstream takes up to `CONNECT_TIMEOUT_S`.
MAX_CHECKS_PER_STEP = 4


@attrs.frozen
class _BrokenResponse:
    """A response that broke off, of an upstream that may have ended."""

    upstream: object
    prompt: object
    broke_s: float


class CrashMonitor:
    """Collects responses that broke off because their upstream ended; thread-safe.

    Parameters
    ----------
    views : Views
        Lists the registered upstreams.
    count_end : callable
        Called with the service of each upstream that has ended.
    is_listening : callable
        Takes an upstream and returns whether its process accepts connections;
        ``None`` if unknown.

    Attributes
    ----------
    sound_blocks : SoundBlocks
        Blocks on which a response was completed.
    """

    def __init__(self, views, count_end, is_listening):
        self.views = views
        self.count_end = count_end
        self.is_listening = is_listening
        self.sound_blocks = _sound_blocks.SoundBlocks()
        self._lock = threading.Lock()
        self._pending = []

    def record_whole(self, prompt, now):
        """Record a complete response to a prompt at ``now``."""
        self.sound_blocks.record(prompt.shared_block_ids, now)

    def record_broken(self, upstream, prompt, now):
        """Record that a response to a prompt broke off.

        Parameters
        ----------
        upstream : Upstream
            Upstream that had begun the response.
        prompt : Prompt
            The prompt.
        now : float
            Current time, seconds of the boot clock.
        """
        if not prompt.shared_block_ids:
            return
        with self._lock:
            self._pending.append(_BrokenResponse(upstream, prompt, now))
            del self._pending[:-MAX_PENDING]

    def collect(self, now):
        """Return the prompts whose upstream has been found to have ended.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        list of decisions.BrokenPrompt
            Each is returned once. Responses of upstreams that still run broke off
            for another reason and are dropped.
        """
        with self._lock:
            pending, self._pending = self._pending, []
        pending = [each for each in pending if now - each.broke_s <= MAX_PENDING_S]
        is_running_by_boot = self._check(pending)
        undecided = [
            each
            for each in pending
            if is_running_by_boot.get(each.upstream.boot_id) is None
        ]
        with self._lock:
            self._pending = undecided + self._pending
        ended = [
            each
            for each in pending
            if is_running_by_boot.get(each.upstream.boot_id) is False
        ]
        self._log_ends(ended)
        broken_prompts = [_make_broken_prompt(each) for each in ended]
        blocks = {block for broken in broken_prompts for block in broken.blocks}
        sound = self.sound_blocks.select(blocks, now)
        return decisions.discard_blocks(broken_prompts, sound)

    def _check(self, pending):
        """Return whether upstreams run, by boot ID; those unknown are left out."""
        is_running_by_boot = {}
        checks = 0
        for upstream in {
            each.upstream.boot_id: each.upstream for each in pending
        }.values():
            if not self._is_registered(upstream):
                is_running_by_boot[upstream.boot_id] = False
            elif checks < MAX_CHECKS_PER_STEP:
                checks += 1
                is_running_by_boot[upstream.boot_id] = self.is_listening(upstream)
        return is_running_by_boot

    def _is_registered(self, upstream):
        return upstream.boot_id in self.views.get().list_boot_ids()

    def _log_ends(self, ended):
        prompts_by_boot = {}
        for each in ended:
            prompts_by_boot.setdefault(each.upstream.boot_id, []).append(each)
        for responses in prompts_by_boot.values():
            upstream = responses[0].upstream
            self.count_end(upstream.service)
            loguru.logger.bind(
                upstream=upstream.id,
                service=upstream.service,
                responses=len(responses),
            ).info("upstream ended under prompts")


def is_listening(upstream):
    """Return whether the process of an upstream accepts a connection.

    Returns
    -------
    bool or None
        ``None`` if there is neither a connection nor a refusal of it.
    """
    host, _, port = upstream.address.rpartition(":")
    timeout_s = _connections.CONNECT_TIMEOUT_S
    try:
        socket.create_connection((host, int(port)), timeout_s).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        return None
    return True


def _make_broken_prompt(response):
    prompt = response.prompt
    text = "\0".join(block.id for block in prompt.blocks)
    return decisions.BrokenPrompt(
        response.upstream.boot_id,
        hashlib.sha256(text.encode()).hexdigest()[:16],
        prompt.shared_block_ids,
    )
