"""Shared objects about upstreams that end, in the platform's object service."""

import random
import threading

import attrs
import loguru

from sycamorespoke import clients, domain, quarantine

PREFIX = "crashes/"
# Changes with every record, so that a host waits for one object only.
CHANGES_NAME = "crash-changes"
WATCH_TIMEOUT_S = 20.0
UNAVAILABLE_PAUSE_S = 0.5
# Also read without a reported change, in case the report of one was lost.
REFRESH_INTERVAL_S = 10.0


@attrs.frozen
class CrashView:
    """What this host knows of the other hosts and of upstreams that ended.

    Parameters
    ----------
    hosts : tuple of str, default=()
        Names of the entry hosts.
    crashes : quarantine.CrashRecords
        Records of all hosts.
    """

    hosts: tuple[str, ...] = ()
    crashes: quarantine.CrashRecords = attrs.field(factory=quarantine.CrashRecords)


@attrs.frozen
class _Stored:
    """A record of the platform; ``record`` is ``None`` if it is malformed."""

    version: int
    value: object
    record: object = None


class CrashObjects:
    """Reads and writes the records of all hosts.

    Used by one thread, but for `get`, `crashes` and `watch_once`.

    Parameters
    ----------
    platform_client : clients.PlatformClient
        Client of the platform.
    get_membership_view : callable
        Returns the current `membership.View`.

    Attributes
    ----------
    crashes : quarantine.CrashRecords
        The records as they were last read; replaced as a whole.
    """

    def __init__(self, platform_client, get_membership_view):
        self.platform_client = platform_client
        self.get_membership_view = get_membership_view
        self._stored_by_name = {}
        self.crashes = quarantine.CrashRecords()
        # Set at first, so that a host that starts reads the records.
        self._has_changes = threading.Event()
        self._has_changes.set()
        self._refreshed_s = float("-inf")
        self._retry_at_s = float("-inf")
        self._watched = 0
        # Era of the last list; what is known only of earlier ones is lost.
        self._listed_era = 0

    def start(self, stop_requested):
        """Wait for changes in a background thread until ``stop_requested`` is set."""
        threading.Thread(
            target=self._watch, args=(stop_requested,), name="crash-watch", daemon=True
        ).start()

    def get(self):
        """Return the current `CrashView`; callable from any thread."""
        hosts = self.get_membership_view().hosts.select(domain.HostRole.ENTRY)
        return CrashView(tuple(host.name for host in hosts), self.crashes)

    def refresh(self, now):
        """Read the records if they may have changed.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        """
        is_due = now - self._refreshed_s >= REFRESH_INTERVAL_S
        if now < self._retry_at_s or not (is_due or self._has_changes.is_set()):
            return
        self._has_changes.clear()
        if not self._read_all(now):
            self._has_changes.set()
            self._retry_at_s = now + UNAVAILABLE_PAUSE_S
            return
        self._refreshed_s = now
        self._restore_lost(now)
        records = (stored.record for stored in self._stored_by_name.values())
        crashes = quarantine.CrashRecords.from_items(
            record for record in records if record is not None
        )
        previous, self.crashes = self.crashes, crashes
        crashes.log_changes(previous)

    def write(self, name, value):
        """Write a record; return whether the platform confirmed it."""
        result = self.platform_client.put(PREFIX + name, value, self._get_version(name))
        if isinstance(result, clients.Conflict | clients.Uncertain):
            # This or an earlier write may have taken effect without confirmation.
            self._has_changes.set()
        return self._report_change(result)

    def delete(self, name):
        """Delete a record; return whether it is gone."""
        version = self._get_version(name)
        if not version:
            self._stored_by_name.pop(name, None)
            return True
        result = self.platform_client.delete(PREFIX + name, version)
        return self._report_change(result) or isinstance(result, clients.Missing)

    def _get_version(self, name):
        stored = self._stored_by_name.get(name)
        return 0 if stored is None or self._is_earlier(stored) else stored.version

    def _is_earlier(self, stored):
        return domain.get_era(stored.version) < self._listed_era

    def _restore_lost(self, now):
        """Write records again that an older copy of the store lacks."""
        lost = {
            name: stored.record
            for name, stored in self._stored_by_name.items()
            if stored.record is not None and self._is_earlier(stored)
        }
        hosts = max(len(self.get().hosts), 1)
        for name, record in lost.items():
            # About one host for each record at a time.
            if random.random() < 1 / hosts:
                self.write(name, _format(record, now))

    def _read_all(self, now):
        """Read the changed records; return whether all could be read."""
        versions_by_name = self.platform_client.list(PREFIX)
        if isinstance(versions_by_name, clients.Unavailable):
            return False
        self._listed_era = self.platform_client.history.era
        versions_by_name = {
            name.removeprefix(PREFIX): version
            for name, version in versions_by_name.items()
        }
        for name in self._stored_by_name.keys() - versions_by_name.keys():
            if not self._is_earlier(self._stored_by_name[name]):
                del self._stored_by_name[name]
        changed = {
            name
            for name, version in versions_by_name.items()
            if version != self._get_version(name)
        }
        are_read = [
            self._read(name, versions_by_name[name], now) for name in sorted(changed)
        ]
        return all(are_read)

    def _read(self, name, version, now):
        """Read one record; return whether it has at least the listed version."""
        result = self.platform_client.get(PREFIX + name)
        if not isinstance(result, clients.StoredObject) or result.version < version:
            return False
        stored = self._stored_by_name.get(name)
        is_known = stored is not None and stored.value == result.value
        if is_known and self._is_earlier(stored):
            # Its age is that of the first read.
            self._stored_by_name[name] = attrs.evolve(stored, version=result.version)
            return True
        record = _parse(name, result.value, now)
        self._stored_by_name[name] = _Stored(result.version, result.value, record)
        return True

    def _report_change(self, result):
        """Report a change to all hosts after a write; return whether it succeeded."""
        if not isinstance(result, clients.StoredObject):
            return False
        self._has_changes.set()
        current = self.platform_client.get(CHANGES_NAME)
        if not isinstance(current, clients.Unavailable):
            version = (
                current.version if isinstance(current, clients.StoredObject) else 0
            )
            # A conflict is a report of another host, which also follows this write.
            self.platform_client.put(CHANGES_NAME, {}, version)
        return True

    def watch_once(self, wait_s):
        """Wait for a change that another host reports.

        Parameters
        ----------
        wait_s : float
            Longest wait, in seconds, 0 to 60.

        Returns
        -------
        float
            Pause before the next watch, in seconds.
        """
        result = self.platform_client.watch(CHANGES_NAME, self._watched, wait_s)
        if isinstance(result, clients.StoredObject):
            self._watched = result.version
            self._has_changes.set()
            return 0.0
        if isinstance(result, clients.Missing):
            self._watched = 0
        return 0.0 if isinstance(result, clients.Unchanged) else UNAVAILABLE_PAUSE_S

    def _watch(self, stop_requested):
        pause_s = 0.0
        while not stop_requested.wait(pause_s):
            try:
                pause_s = self.watch_once(WATCH_TIMEOUT_S)
            except Exception:
                loguru.logger.exception("watch of crash records failed")
                pause_s = UNAVAILABLE_PAUSE_S


def _format(record, now):
    if isinstance(record, quarantine.CrashReport):
        return record.to_value(now)
    return record.to_value()


def _parse(name, value, now):
    """Parse a record; a malformed one, such as of another release, is left out."""
    try:
        return quarantine.parse_crash_record(name, value, now)
    except ValueError as error:
        loguru.logger.bind(record=name, reason=str(error)).warning(
            "crash record is malformed"
        )
        return None
