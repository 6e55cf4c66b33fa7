"""Publishes changes of the rules and the service state through the platform.

Whoever replaces a revision in the object ``rules`` first adds it to the history, so
a revision that was ever committed is in the object or in the history. When the
response to a write is lost and the object has moved on, the history decides whether
the write took effect.
"""

import typing

import attrs

from sycamorespoke import clients, decisions

RULES = "rules"
SERVICE_STATE = "service-state"
HISTORY_PREFIX = "rules-history/"
COMMIT_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.25


@attrs.frozen
class Committed:
    """Outcome: the change is committed.

    Parameters
    ----------
    before, value : StoredRules or StoredServiceState
        The stored object before and after the change.
    latest : StoredRules or StoredServiceState or None, default=None
        Later revision that has already replaced the change.
    """

    before: typing.Any
    value: typing.Any
    latest: typing.Any = None


@attrs.frozen
class ConflictingChange:
    """Outcome: another change was committed first; nothing was applied.

    Parameters
    ----------
    before : StoredRules or StoredServiceState
        The stored object on which the change was based.
    found : StoredRules or StoredServiceState or None
        Current stored object; None if it could not be read.
    """

    before: typing.Any
    found: typing.Any


@attrs.frozen
class NothingApplied:
    """Outcome: the platform could not be read or refused; nothing was applied.

    Parameters
    ----------
    reason : str
        Cause of the failure.
    """

    reason: str


@attrs.frozen
class OutcomeUnknown:
    """Outcome: the change may have been applied, or may be applied later.

    Parameters
    ----------
    reason : str
        Why the outcome could not be determined.
    """

    reason: str


class Publisher:
    """Reads and changes the objects ``rules`` and ``service-state``.

    Parameters
    ----------
    platform : clients.PlatformClient
        Client of the platform's object store.
    clock : Clock
        Time functions.
    timeout_s : float, default=10.0
        How long to retry a write whose outcome is uncertain, in seconds, above 0.
    """

    def __init__(self, platform, clock, timeout_s=COMMIT_TIMEOUT_S):
        self.platform = platform
        self.clock = clock
        self.timeout_s = timeout_s

    def read(self, name):
        """Read the current object.

        Parameters
        ----------
        name : str
            ``"rules"`` or ``"service-state"``.

        Returns
        -------
        tuple of (StoredRules or StoredServiceState, int) or NothingApplied
            The object and its version, which is 0 if the object does not exist.
        """
        result = self.platform.get(name)
        if isinstance(result, clients.Missing):
            return self._read_missing(name)
        if not isinstance(result, clients.StoredObject):
            return NothingApplied(result.reason)
        stored = _parse_object(name, result.value)
        if isinstance(stored, decisions.Malformed):
            return NothingApplied(f"the object {name} is malformed: {stored.reason}")
        return stored, result.version

    def publish(self, name, change, author, writer, base=None):
        """Apply a change to an object with a conditional write.

        Parameters
        ----------
        name : str
            ``"rules"`` or ``"service-state"``.
        change : decisions.PublishRules or decisions.SetOutOfService
            Change to apply to the current object.
        author : str
            Name of the operator.
        writer : str
            Unique token of this command.
        base : int or None, default=None
            Revision that must be the current one; None for any.

        Returns
        -------
        Committed, ConflictingChange, NothingApplied or OutcomeUnknown
            Outcome of the write.
        """
        current = self.read(name)
        if isinstance(current, NothingApplied):
            return current
        before, version = current
        if base is not None and base != before.revision:
            return ConflictingChange(self._read_base(base), before)
        if name == RULES and version:
            archived = self.archive(before)
            if isinstance(archived, NothingApplied):
                return archived
        applied_at = self.clock.wall_time()
        era = self.platform.history.era
        value = decisions.apply_change(change, before, author, writer, applied_at, era)
        outcome = self._commit(name, before, value, version)
        if name == RULES and isinstance(outcome, Committed):
            # A failure here is harmless: whoever replaces the revision archives it
            # first.
            self.archive(value)
        return outcome

    def archive(self, stored):
        """Add a revision of the rules to the history.

        Parameters
        ----------
        stored : StoredRules
            Revision that was read from the platform or committed.

        Returns
        -------
        None or NothingApplied
            None once the history contains the revision.
        """
        name = f"{HISTORY_PREFIX}{stored.revision}"
        value = decisions.format_value(stored)
        deadline_s = self.clock.now() + self.timeout_s
        while True:
            result = self.platform.put(name, value, 0)
            if isinstance(result, clients.StoredObject | clients.Conflict):
                return None
            if not isinstance(result, clients.Uncertain):
                return NothingApplied(result.reason)
            if self.clock.now() >= deadline_s:
                return NothingApplied(result.reason)
            self.clock.sleep(RETRY_DELAY_S)

    def _read_missing(self, name):
        if name == SERVICE_STATE:
            return decisions.StoredServiceState(), 0
        # If the object was lost, new revisions must still exceed those of the
        # history.
        versions_by_name = self.platform.list(HISTORY_PREFIX)
        if isinstance(versions_by_name, clients.Unavailable):
            return NothingApplied(versions_by_name.reason)
        return decisions.StoredRules(
            max(list_revisions(versions_by_name), default=0)
        ), 0

    def _commit(self, name, before, value, version):
        # A conditional write takes effect at most once, so it can be repeated while
        # its outcome is uncertain.
        deadline_s = self.clock.now() + self.timeout_s
        is_uncertain = False
        while True:
            body = decisions.format_value(value)
            result = self.platform.put(name, body, version)
            if isinstance(result, clients.StoredObject):
                return Committed(before, value)
            if isinstance(result, clients.Uncertain):
                is_uncertain = True
            elif not is_uncertain:
                return self._explain_refusal(name, before, value, result)
            outcome = self._find_outcome(name, before, value)
            if outcome is not None:
                return outcome
            if self.clock.now() >= deadline_s:
                return OutcomeUnknown(result.reason)
            self.clock.sleep(RETRY_DELAY_S)

    def _explain_refusal(self, name, before, value, result):
        if not isinstance(result, clients.Conflict):
            return NothingApplied(result.reason)
        current = self.read(name)
        if isinstance(current, NothingApplied):
            return ConflictingChange(before, None)
        found, _ = current
        # A stale read may still return the old object.
        return ConflictingChange(
            before, found if found.revision >= value.revision else None
        )

    def _find_outcome(self, name, before, value):
        current = self.read(name)
        if isinstance(current, NothingApplied):
            return None
        found, _ = current
        read_back = decisions.classify_read_back(value, found)
        if read_back is decisions.ReadBackResult.OVERTAKEN and name == RULES:
            read_back = self._classify_from_history(value)
        if read_back is decisions.ReadBackResult.COMMITTED:
            latest = found if found.revision > value.revision else None
            return Committed(before, value, latest)
        if read_back is decisions.ReadBackResult.LOST:
            return ConflictingChange(before, found)
        return None

    def _classify_from_history(self, value):
        found = read_history(self.platform, value.revision)
        if not isinstance(found, decisions.StoredRules):
            return decisions.ReadBackResult.OPEN
        return decisions.classify_read_back(value, found)

    def _read_base(self, revision):
        found = read_history(self.platform, revision)
        if isinstance(found, decisions.StoredRules):
            return found
        return decisions.StoredRules(revision)


def read_history(platform, revision):
    """Read a revision of the rules from the history.

    Parameters
    ----------
    platform : clients.PlatformClient
        Client of the platform's object store.
    revision : int
        Revision, above 0.

    Returns
    -------
    decisions.StoredRules or decisions.Malformed or Missing or Unavailable
        The revision, or why it could not be read.
    """
    result = platform.get(f"{HISTORY_PREFIX}{revision}")
    if not isinstance(result, clients.StoredObject):
        return result
    return decisions.parse_rules(result.value)


def list_revisions(versions_by_name):
    """Return the revisions of the history in increasing order.

    Parameters
    ----------
    versions_by_name : dict of str to int
        Versions of the history's objects by name; other names are ignored.

    Returns
    -------
    list of int
        Revision numbers.

    Examples
    --------
    >>> versions = {"rules-history/10": 7, "rules-history/9": 5, "rules-history/x": 1}
    >>> list_revisions(versions)
    [9, 10]
    """
    texts = [name.removeprefix(HISTORY_PREFIX) for name in versions_by_name]
    return sorted(int(text) for text in texts if text.isascii() and text.isdecimal())


def _parse_object(name, value):
    if name == RULES:
        return decisions.parse_rules(value)
    return decisions.parse_service_state(value)
