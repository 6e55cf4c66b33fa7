"""Threads that follow the platform's documents."""

import threading
import time

from loguru import logger

from sycamorespoke import clients, messages
from sycamorespoke.membership import _actor, _documents

WATCH_S = 0.8
PAUSE_S = 0.1
UNAVAILABLE_PAUSE_S = 0.5
POLL_S = 10.0
FULL_READ_S = 5.0

OBJECT_NAMES_BY_KIND = {
    messages.DocumentKind.RULES: "rules",
    messages.DocumentKind.SERVICE_STATE: "service-state",
}


class Watcher:
    """Follow one document of the platform.

    Parameters
    ----------
    kind : messages.DocumentKind
        Which document.
    platform : clients.PlatformClient
        The platform.
    tell : callable
        Takes the messages for the `MemberActor`.
    is_watching : callable
        Returns whether this host watches all the time; otherwise it only polls
        every 10 s.
    clock : callable, default=time.monotonic
        Returns the present time, seconds.
    """

    def __init__(self, kind, platform, tell, is_watching, clock=time.monotonic):
        self.kind = kind
        self.platform = platform
        self.tell = tell
        self.is_watching = is_watching
        self.clock = clock
        self._version = 0
        self._revision = 0
        self._fully_read_s = float("-inf")
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"watch-{kind.value}", daemon=True
        )

    def start(self):
        """Start the thread."""
        self._thread.start()

    def stop(self):
        """Let the thread end after its present watch."""
        self._stopped.set()

    def _run(self):
        polled_s = float("-inf")
        while not self._stopped.is_set():
            is_watching = self.is_watching()
            if is_watching or self.clock() - polled_s >= POLL_S:
                polled_s = self.clock()
                pause_s = self._follow_safely(WATCH_S if is_watching else 0.0)
            else:
                pause_s = PAUSE_S
            self._stopped.wait(pause_s)

    def _follow_safely(self, wait_s):
        try:
            return self.follow_once(wait_s)
        except Exception:
            # A fault in one answer must not end the thread.
            logger.exception("a watch of {} failed", self.kind.value)
            return UNAVAILABLE_PAUSE_S

    def follow_once(self, wait_s):
        """Watch the document once, then read it if the watch brought nothing.

        A watch that ends without a change confirms nothing, as it may have ended
        silently; the read does.

        Parameters
        ----------
        wait_s : float
            Longest wait for a change, seconds, 0 to 60; 0 reads only.

        Returns
        -------
        float
            Pause before the next watch, seconds.
        """
        if wait_s > 0:
            asked_s = self.clock()
            answer = self._watch(wait_s)
            if not isinstance(answer, clients.Unchanged):
                return self._take(answer, asked_s)
        asked_s = self.clock()
        return self._take(self._read(asked_s), asked_s)

    def _watch(self, wait_s):
        if self.kind is messages.DocumentKind.HOSTS:
            return self.platform.watch_hosts(self._revision, wait_s)
        name = OBJECT_NAMES_BY_KIND[self.kind]
        return self.platform.watch(name, self._version, wait_s)

    def _read(self, now):
        if self.kind is not messages.DocumentKind.HOSTS:
            return self.platform.get(OBJECT_NAMES_BY_KIND[self.kind])
        # The list is long and lags anyway, so that it is seldom read in full.
        is_due = now - self._fully_read_s >= FULL_READ_S
        answer = self.platform.watch_hosts(0 if is_due else self._revision, 0.0)
        if is_due and not isinstance(answer, clients.Unavailable):
            self._fully_read_s = now
        return answer

    def _take(self, answer, asked_s):
        if isinstance(answer, clients.Unavailable):
            return UNAVAILABLE_PAUSE_S
        before = self._revision
        if isinstance(answer, clients.Missing):
            self._revision = 0
            self._version = 0
        elif not isinstance(answer, clients.Unchanged):
            document = self._parse(answer)
            if isinstance(document, _documents.InvalidDocument):
                logger.error("unusable document: {}", document.reason)
                return UNAVAILABLE_PAUSE_S
            if document.revision != before:
                self.tell(_actor.DocumentReceived(document))
            self._revision = document.revision
        self.tell(_actor.RevisionConfirmed(self.kind, self._revision, asked_s))
        return PAUSE_S

    def _parse(self, answer):
        if self.kind is messages.DocumentKind.HOSTS:
            return _documents.make_hosts_document(answer)
        if answer.version == self._version:
            return _documents.Document(self.kind, self._revision)
        document = _documents.parse_document(self.kind, answer.value)
        if not isinstance(document, _documents.InvalidDocument):
            self._version = answer.version
        return document
