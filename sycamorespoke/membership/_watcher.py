"""Threads that watch documents of the platform."""

import threading
import time

from loguru import logger

from sycamorespoke import clients, domain, messages
from sycamorespoke.membership import _actor, _documents

WATCH_TIMEOUT_S = 0.8
PAUSE_S = 0.1
UNAVAILABLE_PAUSE_S = 0.5
POLL_INTERVAL_S = 10.0
FULL_READ_INTERVAL_S = 5.0

OBJECT_NAMES_BY_KIND = {
    messages.DocumentKind.RULES: "rules",
    messages.DocumentKind.SERVICE_STATE: "service-state",
}


class Watcher:
    """Watches one document of the platform and sends its changes to the actor.

    Parameters
    ----------
    kind : messages.DocumentKind
        Kind of the document.
    platform : clients.PlatformClient
        Client of the platform.
    send_to_actor : callable
        Sends a message to the `MemberActor`.
    is_watching : callable
        Returns whether this host watches continuously; otherwise it only polls
        every 10 s.
    clock : callable, default=time.monotonic
        Returns the current monotonic time, in seconds.
    """

    def __init__(
        self, kind, platform, send_to_actor, is_watching, clock=time.monotonic
    ):
        self.kind = kind
        self.platform = platform
        self.send_to_actor = send_to_actor
        self.is_watching = is_watching
        self.clock = clock
        self._version = 0
        self._revision = 0
        self._era = 0
        self._last_full_read_s = float("-inf")
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{kind.value}", daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Stop the thread after its current watch."""
        self._stopped.set()

    def _run(self):
        last_poll_s = float("-inf")
        while not self._stopped.is_set():
            is_watching = self.is_watching()
            if is_watching or self.clock() - last_poll_s >= POLL_INTERVAL_S:
                last_poll_s = self.clock()
                pause_s = self._watch_safely(WATCH_TIMEOUT_S if is_watching else 0.0)
            else:
                pause_s = PAUSE_S
            self._stopped.wait(pause_s)

    def _watch_safely(self, wait_s):
        try:
            return self.watch_once(wait_s)
        except Exception:
            # An error in one response must not end the thread.
            logger.exception("watch of {} failed", self.kind.value)
            return UNAVAILABLE_PAUSE_S

    def watch_once(self, wait_s):
        """Watch the document once, then read it if the watch returned no change.

        A watch that ends without a change confirms nothing, because it may have
        missed a change; the read confirms the revision.

        Parameters
        ----------
        wait_s : float
            Longest wait for a change, in seconds, 0 to 60; 0 only reads.

        Returns
        -------
        float
            Pause before the next watch, in seconds.
        """
        if wait_s > 0:
            requested_s = self.clock()
            response = self._watch(wait_s)
            if not isinstance(response, clients.Unchanged):
                return self._handle_response(response, requested_s)
        requested_s = self.clock()
        return self._handle_response(self._read(requested_s), requested_s)

    def _watch(self, wait_s):
        if self.kind is messages.DocumentKind.HOSTS:
            return self.platform.watch_hosts(self._revision, wait_s)
        name = OBJECT_NAMES_BY_KIND[self.kind]
        return self.platform.watch(name, self._version, wait_s)

    def _read(self, now):
        if self.kind is not messages.DocumentKind.HOSTS:
            return self.platform.get(OBJECT_NAMES_BY_KIND[self.kind])
        # The host list is long and out of date anyway, so it is rarely read in full.
        is_due = now - self._last_full_read_s >= FULL_READ_INTERVAL_S
        response = self.platform.watch_hosts(0 if is_due else self._revision, 0.0)
        if is_due and not isinstance(response, clients.Unavailable):
            self._last_full_read_s = now
        return response

    def _handle_response(self, response, requested_s):
        if isinstance(response, clients.Unavailable):
            return UNAVAILABLE_PAUSE_S
        before = self._revision
        if isinstance(response, clients.Missing):
            self._revision = 0
            self._version = 0
            self._era = domain.get_era(response.version)
        elif not isinstance(response, clients.Unchanged):
            document = self._parse_response(response)
            if isinstance(document, _documents.InvalidDocument):
                logger.error("invalid document: {}", document.reason)
                return UNAVAILABLE_PAUSE_S
            if document.revision != before:
                self.send_to_actor(_actor.DocumentReceived(document))
            self._revision = document.revision
            self._era = self._get_era(response)
        self.send_to_actor(
            _actor.RevisionConfirmed(self.kind, self._revision, requested_s, self._era)
        )
        return PAUSE_S

    def _get_era(self, response):
        if self.kind is messages.DocumentKind.HOSTS:
            return domain.get_era(response.revision)
        return domain.get_era(response.version)

    def _parse_response(self, response):
        if self.kind is messages.DocumentKind.HOSTS:
            return _documents.make_hosts_document(response)
        if response.version == self._version:
            return _documents.Document(self.kind, self._revision)
        document = _documents.parse_document(self.kind, response.value)
        if not isinstance(document, _documents.InvalidDocument):
            self._version = response.version
        return document
