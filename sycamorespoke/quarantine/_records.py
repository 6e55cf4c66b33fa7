"""Shared objects about contents of requests that end upstreams."""

import hashlib
import math

import attrs
import loguru
import msgspec

from sycamorespoke import decisions, domain

QUARANTINE_S = 3600.0
_REFUSALS_BY_KIND = {
    decisions.ContentKind.BLOCK: (
        domain.ErrorKind.PROMPT_QUARANTINED,
        "a block of the prompt has ended upstreams",
    ),
    decisions.ContentKind.REQUEST: (
        domain.ErrorKind.REQUEST_QUARANTINED,
        "the request has ended upstreams",
    ),
}
# Key of the JSON value of a `QuarantinedContent`, whose value is the ID.
QUARANTINED_KEY_BY_KIND = {
    decisions.ContentKind.BLOCK: "quarantined",
    decisions.ContentKind.REQUEST: "quarantined_request",
}


@attrs.frozen
class _Loss:
    """A `decisions.BrokenRequest` with the age of the loss when it was written."""

    upstream: str
    request: str
    contents: tuple[decisions.Content, ...]
    lost_ago_s: float
    has_boot_id: bool = True

    def make_broken_request(self, now):
        return decisions.BrokenRequest(
            self.upstream,
            self.request,
            self.contents,
            now - self.lost_ago_s,
            self.has_boot_id,
        )


@attrs.frozen
class _ReportValue:
    """The JSON value of a `CrashReport`."""

    broken_requests: tuple[_Loss, ...]
    sound_contents: tuple[decisions.Content, ...]


@attrs.frozen
class CrashReport:
    """What one host process has seen of upstreams that ended.

    Parameters
    ----------
    name : str
        Name of the object, different for each process.
    broken_requests : tuple of decisions.BrokenRequest
        Requests that were at an upstream when it ended.
    sound_contents : tuple of decisions.Content
        Contents in reports of other hosts on which this host has seen a complete
        response, sorted.
    seen_s : float
        When this host received the report, seconds of the boot clock.
    """

    name: str
    broken_requests: tuple[decisions.BrokenRequest, ...]
    sound_contents: tuple[decisions.Content, ...]
    seen_s: float = 0.0

    def to_value(self, now):
        """Return the report, written at ``now``, as a JSON value."""
        # The boot clocks of two hosts differ, so ages are written.
        losses = [
            _Loss(
                each.upstream,
                each.request,
                each.contents,
                now - each.lost_s,
                each.has_boot_id,
            )
            for each in self.broken_requests
        ]
        return msgspec.to_builtins(
            {"broken_requests": losses, "sound_contents": self.sound_contents}
        )


@attrs.frozen
class QuarantinedContent:
    """Contents that no host sends to an upstream.

    Parameters
    ----------
    name : str
        Name of the object.
    content : decisions.Content
        The contents.
    seen_s : float
        When this host received the object, seconds of the boot clock.
    revision : int, default=0
        Revision at which the store held it; 0 if the store has no eras.
    """

    name: str
    content: decisions.Content
    seen_s: float = 0.0
    revision: int = 0

    def is_of_earlier_era(self, era):
        """Return whether it is not known that the store holds it in an era."""
        return domain.get_era(self.revision) < era

    def to_value(self):
        """Return the contents as a JSON value."""
        return {QUARANTINED_KEY_BY_KIND[self.content.kind]: self.content.id}

    def make_refusal(self, now):
        """Return the `domain.Refusal` of a request that has the contents."""
        kind, reason = _REFUSALS_BY_KIND[self.content.kind]
        return domain.Refusal(kind, reason, self.compute_retry_after_s(now))

    def compute_retry_after_s(self, now):
        """Return after how many seconds the quarantine ends, 1 or more."""
        return max(math.ceil(self.seen_s + QUARANTINE_S - now), 1)


@attrs.frozen
class CrashRecords:
    """The shared objects of all hosts, as one host knows them.

    Parameters
    ----------
    reports : tuple of CrashReport, default=()
        Reports on upstreams that ended.
    quarantined_by_content : dict of decisions.Content to QuarantinedContent
        Contents that no host sends to an upstream.
    """

    reports: tuple[CrashReport, ...] = ()
    quarantined_by_content: dict[decisions.Content, QuarantinedContent] = attrs.field(
        factory=dict
    )

    @classmethod
    def from_items(cls, items):
        """Sort parsed objects by their kind.

        Parameters
        ----------
        items : iterable of CrashReport or QuarantinedContent
            The objects, as `parse_crash_record` returns them.

        Returns
        -------
        CrashRecords
            All of them.
        """
        items = tuple(items)
        reports = (each for each in items if isinstance(each, CrashReport))
        quarantined = (each for each in items if isinstance(each, QuarantinedContent))
        return cls(tuple(reports), {each.content: each for each in quarantined})

    def keep_lost(self, previous, era):
        """Add the quarantines that ended only because the store came back older.

        Parameters
        ----------
        previous : CrashRecords
            What was known before.
        era : int
            Era of the store.

        Returns
        -------
        CrashRecords
            With those of ``previous`` that were last seen in an earlier era.
        """
        lost = {
            content: each
            for content, each in previous.quarantined_by_content.items()
            if content not in self.quarantined_by_content
            and each.is_of_earlier_era(era)
        }
        if not lost:
            return self
        return CrashRecords(self.reports, {**lost, **self.quarantined_by_content})

    def discard_lost(self, contents, era):
        """Leave out quarantines of some contents, if the store may lack them.

        Parameters
        ----------
        contents : set of decisions.Content
            The contents.
        era : int
            Era of the store.

        Returns
        -------
        CrashRecords
            Without those of ``contents`` that were last seen in an earlier era.
        """
        kept = {
            content: each
            for content, each in self.quarantined_by_content.items()
            if content not in contents or not each.is_of_earlier_era(era)
        }
        return CrashRecords(self.reports, kept)

    def find_quarantined(self, contents):
        """Return the first `QuarantinedContent` of some contents, or ``None``."""
        for content in contents:
            if content in self.quarantined_by_content:
                return self.quarantined_by_content[content]
        return None

    def count_quarantined(self, kind):
        """Return the number of quarantined contents of a `decisions.ContentKind`."""
        return sum(content.kind is kind for content in self.quarantined_by_content)

    def log_changes(self, previous):
        """Log which quarantines began and ended since ``previous`` `CrashRecords`."""
        before = previous.quarantined_by_content.keys()
        after = self.quarantined_by_content.keys()
        for content in after - before:
            _log_quarantine("quarantine in force", content)
        for content in before - after:
            _log_quarantine("quarantine lifted", content)


def make_quarantined_content(content):
    """Return the `QuarantinedContent`, with the same name on every host."""
    # Callers choose the IDs of blocks, which may contain characters of a path.
    text = f"{QUARANTINED_KEY_BY_KIND[content.kind]} {content.id}"
    return QuarantinedContent(hashlib.sha256(text.encode()).hexdigest(), content)


def parse_crash_record(name, value, now, revision=0):
    """Parse the JSON value of a `CrashReport` or `QuarantinedContent`.

    Parameters
    ----------
    name : str
        Name of the object.
    value : object
        JSON value.
    now : float
        Time at which it was received, seconds of the boot clock.
    revision : int, default=0
        Revision of the object; 0 if the store has no eras.

    Returns
    -------
    CrashReport or QuarantinedContent
        The object.

    Raises
    ------
    ValueError
        If the value is malformed.

    Examples
    --------
    >>> block = decisions.Content(decisions.ContentKind.BLOCK, "5c1e07a2")
    >>> record = make_quarantined_content(block)
    >>> parse_crash_record(record.name, record.to_value(), 7.0).content == block
    True
    """
    if not isinstance(value, dict):
        raise ValueError("not a crash record: not a JSON object")
    try:
        for kind, key in QUARANTINED_KEY_BY_KIND.items():
            if key in value:
                content = decisions.Content(kind, msgspec.convert(value[key], str))
                return QuarantinedContent(name, content, now, revision)
        report = msgspec.convert(value, _ReportValue)
    except msgspec.ValidationError as error:
        raise ValueError(f"not a crash record: {error}") from error
    broken_requests = tuple(
        each.make_broken_request(now) for each in report.broken_requests
    )
    return CrashReport(name, broken_requests, report.sound_contents, now)


def _log_quarantine(event, content):
    loguru.logger.bind(**{content.kind.value: content.id}).info(event)
