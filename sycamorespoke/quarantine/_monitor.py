"""Observes under which requests upstreams end."""

import socket
import threading

import attrs
import loguru

from sycamorespoke import decisions
from sycamorespoke.quarantine import _sound_contents

MAX_PENDING = 200
# Without a verdict by then the upstream counts as running.
MAX_PENDING_S = 5.0
# A connection attempt to a silent upstream takes up to `CONNECT_TIMEOUT_S`.
MAX_CHECKS_PER_STEP = 4
CONNECT_TIMEOUT_S = 0.4


@attrs.frozen
class _LostRequest:
    """A request whose connection broke, at an upstream that may have ended."""

    upstream: object
    fingerprint: str
    contents: tuple[decisions.Content, ...]
    lost_s: float

    @property
    def start(self):
        """Identifies the start of the upstream, as far as it is known."""
        return self.upstream.id, self.upstream.boot_id


class CrashMonitor:
    """Collects requests that were lost because their upstream ended; thread-safe.

    Parameters
    ----------
    is_registered : callable
        Takes an upstream and returns whether the platform still lists this start of
        it.
    count_end : callable
        Called with the service of each upstream that has ended.
    is_running : callable
        Takes an upstream and returns whether its process still runs; ``None`` if
        unknown.

    Attributes
    ----------
    sound_contents : SoundContents
        Contents on which a response was completed.
    """

    def __init__(self, is_registered, count_end, is_running):
        self.is_registered = is_registered
        self.count_end = count_end
        self.is_running = is_running
        self.sound_contents = _sound_contents.SoundContents()
        self._lock = threading.Lock()
        self._pending = []

    def record_whole(self, contents, now):
        """Record a complete response to a request with some contents at ``now``."""
        self.sound_contents.record(contents, now)

    def record_lost(self, upstream, fingerprint, contents, now):
        """Record that the connection broke on which a request had been sent.

        Parameters
        ----------
        upstream : object
            Upstream to which it had been sent. Has its ``id``, ``service``,
            ``address`` and ``boot_id``; the last is empty if its starts have none.
        fingerprint : str
            Fingerprint of the request.
        contents : tuple of decisions.Content
            Contents of the request that the upstream may have begun to process.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            self._pending.append(_LostRequest(upstream, fingerprint, contents, now))
            del self._pending[:-MAX_PENDING]

    def collect(self, now):
        """Return the requests whose upstream has been found to have ended.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        list of decisions.BrokenRequest
            Each is returned once. Requests at upstreams that still run were lost for
            another reason and are dropped.
        """
        with self._lock:
            pending, self._pending = self._pending, []
        pending = [each for each in pending if now - each.lost_s <= MAX_PENDING_S]
        is_running_by_start = self._check(pending)
        undecided = [
            each for each in pending if is_running_by_start.get(each.start) is None
        ]
        with self._lock:
            self._pending = undecided + self._pending
        ended = [
            each for each in pending if is_running_by_start.get(each.start) is False
        ]
        self._log_ends(ended)
        broken_requests = [
            decisions.BrokenRequest(
                each.upstream.boot_id or each.upstream.id,
                each.fingerprint,
                each.contents,
                each.lost_s,
                has_boot_id=bool(each.upstream.boot_id),
            )
            for each in ended
        ]
        contents = {each for broken in broken_requests for each in broken.contents}
        sound = self.sound_contents.select(contents, now)
        return decisions.discard_contents(broken_requests, sound)

    def _check(self, pending):
        """Return whether upstreams run, by start; those unknown are left out."""
        is_running_by_start = {}
        checks = 0
        upstreams_by_start = {each.start: each.upstream for each in pending}
        for start, upstream in upstreams_by_start.items():
            if not self.is_registered(upstream):
                is_running_by_start[start] = False
            elif checks < MAX_CHECKS_PER_STEP:
                checks += 1
                is_running_by_start[start] = self.is_running(upstream)
        return is_running_by_start

    def _log_ends(self, ended):
        requests_by_start = {}
        for each in ended:
            requests_by_start.setdefault(each.start, []).append(each)
        for requests in requests_by_start.values():
            upstream = requests[0].upstream
            self.count_end(upstream.service)
            loguru.logger.bind(
                upstream=upstream.id,
                service=upstream.service,
                requests=len(requests),
            ).info("upstream ended under requests")


def is_listening(upstream):
    """Return whether the process of an upstream accepts a connection.

    Returns
    -------
    bool or None
        ``None`` if there is neither a connection nor a refusal of it.
    """
    host, _, port = upstream.address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        return None
    return True
