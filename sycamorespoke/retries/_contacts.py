"""Contacts of a host with its upstreams."""

import threading

import loguru

from sycamorespoke.retries import _contact

MS_PER_S = 1000


class Contacts:
    """Contacts by upstream, named by its boot ID or otherwise; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._contacts_by_name = {}
        # Upstreams whose silence has been logged, and since when it lasts.
        self._silent_since_s_by_name = {}

    def record_sent(self, name, now):
        """Record that a request is sent to an upstream at ``now``."""
        with self._lock:
            self._contacts_by_name[name] = self._get(name).send(now)

    def record_heard(self, name, now, response_s=None):
        """Record that an upstream has sent something, see `Contact.hear`."""
        with self._lock:
            self._contacts_by_name[name] = self._get(name).hear(now, response_s)

    def record_ended(self, name, was_waiting):
        """Record the end of a request at an upstream, see `Contact.end`."""
        with self._lock:
            self._contacts_by_name[name] = self._get(name).end(was_waiting)

    def get(self, name):
        """Return the `Contact` with an upstream."""
        with self._lock:
            return self._get(name)

    def select_heard(self, names, now):
        """Return those of some upstreams that are not silent, as a set."""
        return self._select(names, lambda contact: not contact.is_silent(now))

    def select_recent(self, names, now):
        """Return those of some upstreams that were heard of lately, as a set."""
        return self._select(names, lambda contact: contact.is_recent(now))

    def count_silent(self, now):
        """Return how many upstreams are silent at ``now``."""
        with self._lock:
            return len(self._list_silent(now))

    def log_changes(self, now):
        """Log which upstreams have fallen silent, or have been heard of again."""
        with self._lock:
            known = self._silent_since_s_by_name
            silent = set(self._list_silent(now))
            begun = silent - known.keys()
            ended = {name: known.pop(name) for name in known.keys() - silent}
            contacts = {name: self._get(name) for name in begun}
            for name, contact in contacts.items():
                known[name] = contact.waiting_since_s
        for name, contact in contacts.items():
            logger = loguru.logger.bind(upstream=name, in_flight=contact.in_flight)
            logger.info("upstream silent")
        for name, since_s in ended.items():
            silent_ms = int((now - since_s) * MS_PER_S)
            logger = loguru.logger.bind(upstream=name, silent_ms=silent_ms)
            logger.info("upstream heard again")

    def retain(self, names):
        """Drop the contacts with other upstreams, unless requests run there."""
        with self._lock:
            for name, contact in list(self._contacts_by_name.items()):
                if name not in names and not contact.in_flight:
                    del self._contacts_by_name[name]

    def dump(self, now):
        """Return the contacts as JSON values by upstream."""
        with self._lock:
            return {
                name: {
                    "in_flight": contact.in_flight,
                    "silent": contact.is_silent(now),
                    "usual_ms": round(contact.usual_s * MS_PER_S),
                }
                for name, contact in self._contacts_by_name.items()
            }

    def _get(self, name):
        return self._contacts_by_name.get(name) or _contact.Contact()

    def _select(self, names, matches):
        with self._lock:
            return {name for name in names if matches(self._get(name))}

    def _list_silent(self, now):
        return [
            name
            for name, contact in self._contacts_by_name.items()
            if contact.is_silent(now)
        ]
