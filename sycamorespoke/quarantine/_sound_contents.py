"""Contents of requests on which this host has recently seen a complete response."""

import collections
import threading

MAX_CONTENTS = 10_000
# A success says nothing about an upstream that ends later than this after it.
MAX_AGE_S = 30.0


class SoundContents:
    """Times of the last complete responses by content; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._seen_s_by_content = collections.OrderedDict()

    def record(self, contents, now):
        """Record a complete response at ``now``, seconds of the boot clock.

        Parameters
        ----------
        contents : iterable of decisions.Content
            Contents of the request.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            for content in contents:
                self._seen_s_by_content[content] = now
                self._seen_s_by_content.move_to_end(content)
            while len(self._seen_s_by_content) > MAX_CONTENTS:
                self._seen_s_by_content.popitem(last=False)

    def select(self, contents, now):
        """Return those contents that are sound at ``now``, as a set."""
        with self._lock:
            return {
                content
                for content in contents
                if now - self._seen_s_by_content.get(content, float("-inf"))
                <= MAX_AGE_S
            }
