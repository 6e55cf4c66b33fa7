"""Publishes a change of the rules or the service state through the platform.

A revision leaves the object ``rules`` only after it is in the history, since
whoever replaces it has put it there first. So the history tells for certain
whether a write whose answer was lost has taken effect.
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
        The object before and with the change.
    latest : StoredRules or StoredServiceState or None, default=None
        A later revision that has replaced it meanwhile.
    """

    before: typing.Any
    value: typing.Any
    latest: typing.Any = None


@attrs.frozen
class ConflictingChange:
    """Outcome: another operator was first; nothing was applied.

    Parameters
    ----------
    before : StoredRules or StoredServiceState
        The object on which the change was based.
    found : StoredRules or StoredServiceState or None
        The object as it is now, None if it could not be read.
    """

    before: typing.Any
    found: typing.Any


@attrs.frozen
class NothingApplied:
    """Outcome: the platform did not take the change; nothing was applied.

    Parameters
    ----------
    reason : str
        Why.
    """

    reason: str


@attrs.frozen
class OutcomeUnknown:
    """Outcome: the change may have been applied or may still be.

    Parameters
    ----------
    reason : str
        Why it cannot be told.
    """

    reason: str


class Publisher:
    """Publishes changes of one object.

    Parameters
    ----------
    platform : clients.PlatformClient
        The platform.
    clock : Clock
        Sources of time.
    timeout_s : float, default=10.0
        Longest search for the outcome of a write, seconds, above 0.
    """

    def __init__(self, platform, clock, timeout_s=COMMIT_TIMEOUT_S):
        self.platform = platform
        self.clock = clock
        self.timeout_s = timeout_s

    def read(self, name):
        """Read the object.

        Parameters
        ----------
        name : str
            ``"rules"`` or ``"service-state"``.

        Returns
        -------
        tuple of (StoredRules or StoredServiceState, int) or NothingApplied
            The object and its version, 0 for one that does not exist.
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
        """Publish a change.

        Parameters
        ----------
        name : str
            ``"rules"`` or ``"service-state"``.
        change : decisions.PublishRules or decisions.SetOutOfService
            The change.
        author : str
            Name of the operator.
        writer : str
            Token of this command, unique.
        base : int or None, default=None
            Revision that must be the current one; None for any.

        Returns
        -------
        Committed, Lost, NothingApplied or OutcomeUnknown
            What is known at the end.
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
        value = decisions.apply_change(change, before, author, writer, applied_at)
        outcome = self._commit(name, before, value, version)
        if name == RULES and isinstance(outcome, Committed):
            # If this fails, whoever replaces the revision archives it first.
            self.archive(value)
        return outcome

    def archive(self, stored):
        """Keep a revision of the rules in the history.

        Parameters
        ----------
        stored : StoredRules
            A revision that was read from the platform or committed.

        Returns
        -------
        None or NothingApplied
            None once it is there.
        """
        name = f"{HISTORY_PREFIX}{stored.revision}"
        value = decisions.format_value(stored)
        deadline = self.clock.now() + self.timeout_s
        while True:
            result = self.platform.put(name, value, 0)
            if isinstance(result, clients.StoredObject | clients.Conflict):
                return None
            if not isinstance(result, clients.Uncertain):
                return NothingApplied(result.reason)
            if self.clock.now() >= deadline:
                return NothingApplied(result.reason)
            self.clock.sleep(RETRY_DELAY_S)

    def _read_missing(self, name):
        if name == SERVICE_STATE:
            return decisions.StoredServiceState(), 0
        # After a loss of the object the revisions still have to increase.
        versions_by_name = self.platform.list(HISTORY_PREFIX)
        if isinstance(versions_by_name, clients.Unavailable):
            return NothingApplied(versions_by_name.reason)
        return decisions.StoredRules(
            max(list_revisions(versions_by_name), default=0)
        ), 0

    def _commit(self, name, before, value, version):
        # The same conditional write takes effect at most once, so that it may be
        # repeated while its outcome is open.
        deadline = self.clock.now() + self.timeout_s
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
            if self.clock.now() >= deadline:
                return OutcomeUnknown(result.reason)
            self.clock.sleep(RETRY_DELAY_S)

    def _explain_refusal(self, name, before, value, result):
        if not isinstance(result, clients.Conflict):
            return NothingApplied(result.reason)
        current = self.read(name)
        if isinstance(current, NothingApplied):
            return ConflictingChange(before, None)
        found, _ = current
        # A read that lags may still show the old object.
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
        The platform.
    revision : int
        Revision, above 0.

    Returns
    -------
    decisions.StoredRules or decisions.Malformed or Missing or Unavailable
        The object or why there is none.
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
        Versions of the objects of the history.

    Returns
    -------
    list of int
        Revisions.

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
