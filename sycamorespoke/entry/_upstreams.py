"""State of the upstreams as an entry host sees it.

It is kept in memory only and rebuilt from load reports after a restart.
"""

import collections
import threading

import attrs
import loguru

from sycamorespoke import decisions, domain, retries

MAX_BLOCKS_PER_UPSTREAM = 20000
DURATION_SMOOTHING_FACTOR = 0.1
INITIAL_DURATION_S = 1.0


@attrs.define
class UpstreamRecord:
    """State of one upstream.

    Parameters
    ----------
    report : domain.LoadReport or None
        Latest load report.
    boot_id : str
        Boot ID last seen, in a load report or a response.
    suspect : bool
        Whether a connection broke or the boot ID changed after the latest load
        report, so that the upstream may have restarted.
    sent_since_report : int
        Requests sent by this host since the latest load report.
    running : int
        Requests sent by this host that are still running.
    pending_prefill_tokens : int
        Uncached prompt tokens of the requests that have not produced their first
        token yet.
    mean_duration_s : float
        Smoothed duration of a request, seconds.
    event_number : int
        Number of the latest cache event applied.
    software_version : str
        Version of its software as its latest stream stated it; empty if unknown.
    backoff_until_s : float
        Time until which it wants no requests from this host, monotonic, seconds.
    cached_keys : collections.OrderedDict
        Keys of the blocks that the upstream is expected to have cached, least
        recently used first.
    """

    report: domain.LoadReport | None = None
    boot_id: str = ""
    suspect: bool = False
    sent_since_report: int = 0
    running: int = 0
    pending_prefill_tokens: int = 0
    mean_duration_s: float = INITIAL_DURATION_S
    event_number: int = 0
    software_version: str = ""
    backoff_until_s: float = float("-inf")
    cached_keys: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)

    def is_warm(self):
        """Return whether the upstream is known to be warm."""
        if self.report is None or self.suspect:
            return False
        return self.report.warm and self.report.boot_id == self.boot_id

    def record_boot_id(self, boot_id):
        """Record a boot ID; a changed one discards the state of the previous boot."""
        if boot_id == self.boot_id:
            return
        if self.boot_id:
            self.suspect = True
            self.backoff_until_s = float("-inf")
            self.software_version = ""
        self.boot_id = boot_id
        self.event_number = 0
        self.cached_keys.clear()

    def add_cached_blocks(self, keys):
        """Add cached blocks; above the limit the least recently used are dropped."""
        for key in keys:
            self.cached_keys[key] = None
            self.cached_keys.move_to_end(key)
        while len(self.cached_keys) > MAX_BLOCKS_PER_UPSTREAM:
            self.cached_keys.popitem(last=False)

    def remove_cached_blocks(self, keys):
        """Remove blocks that the upstream no longer caches."""
        for key in keys:
            self.cached_keys.pop(key, None)

    def count_cached_blocks(self, keys):
        """Return the number of leading blocks of a prompt that are cached."""
        for count, key in enumerate(keys):
            if key not in self.cached_keys:
                return count
        return len(keys)


class UpstreamTable:
    """Thread-safe table of the state of all upstreams, by host name.

    Attributes
    ----------
    contacts : retries.Contacts
        When each upstream was last heard of.
    """

    def __init__(self):
        self.contacts = retries.Contacts()
        self._lock = threading.Lock()
        self._records_by_name = collections.defaultdict(UpstreamRecord)

    def select_candidates(self, hosts, group, keys):
        """Return the candidates for a prompt.

        Parameters
        ----------
        hosts : list of domain.Host
            Upstreams of one group.
        group : domain.UpstreamGroup
            The group.
        keys : tuple of str
            Block keys of the prompt.

        Returns
        -------
        list of decisions.Candidate
            One for each host, in the same order.
        """
        with self._lock:
            return [self._make_candidate(host, group, keys) for host in hosts]

    def get_warm_boot_id(self, name):
        """Return the boot ID of an upstream known to be warm, else ``""``."""
        with self._lock:
            record = self._records_by_name[name]
            return record.boot_id if record.is_warm() else ""

    def get_boot_id(self, name):
        """Return the boot ID last seen of an upstream, else ``""``."""
        with self._lock:
            return self._records_by_name[name].boot_id

    def get_report(self, name):
        """Return the latest load report of an upstream, or ``None``."""
        with self._lock:
            return self._records_by_name[name].report

    def count_running(self, name):
        """Return the number of this host's requests that run at an upstream."""
        with self._lock:
            return self._records_by_name[name].running

    def count_running_by_name(self):
        """Return the number of this host's running requests by upstream.

        Returns
        -------
        dict of str to int
            Numbers above 0, by name of the upstream.
        """
        with self._lock:
            return {
                name: record.running
                for name, record in self._records_by_name.items()
                if record.running
            }

    def record_sent(self, name, uncached_tokens):
        """Record a request that is about to be sent."""
        with self._lock:
            record = self._records_by_name[name]
            record.running += 1
            record.sent_since_report += 1
            record.pending_prefill_tokens += uncached_tokens

    def record_started(self, name, started, keys):
        """Record the boot ID and the cached blocks from the first line of a stream."""
        with self._lock:
            record = self._records_by_name[name]
            record.record_boot_id(started.boot_id)
            record.software_version = started.software_version
            cached_blocks = started.cached_tokens // domain.BLOCK_TOKENS
            record.remove_cached_blocks(keys[cached_blocks:])
            record.add_cached_blocks(keys[:cached_blocks])

    def record_imported(self, name, keys):
        """Record blocks that have been imported into an upstream."""
        with self._lock:
            self._records_by_name[name].add_cached_blocks(keys)

    def record_first_token(self, name, uncached_tokens, keys):
        """Record the first token: the prompt is computed and its blocks are cached."""
        with self._lock:
            record = self._records_by_name[name]
            record.pending_prefill_tokens -= uncached_tokens
            record.add_cached_blocks(keys)

    def record_finished(self, name, duration_s):
        """Record the end of a request; ``duration_s`` is ``None`` if incomplete."""
        with self._lock:
            record = self._records_by_name[name]
            record.running -= 1
            if duration_s is not None:
                change = duration_s - record.mean_duration_s
                record.mean_duration_s += DURATION_SMOOTHING_FACTOR * change

    def discard_pending_prefill(self, name, uncached_tokens):
        """Discard the prompt tokens of a request that ended before its first token."""
        with self._lock:
            record = self._records_by_name[name]
            record.pending_prefill_tokens -= uncached_tokens

    def record_refusal(self, name, refusal, now):
        """Record the backoff that an upstream asks for, if its refusal names a time.

        Parameters
        ----------
        name : str
            Name of the upstream.
        refusal : domain.Refusal
            Refusal of the attempt.
        now : float
            Current monotonic time, in seconds.
        """
        is_refused = refusal.kind is domain.ErrorKind.UPSTREAM_REFUSED
        if not is_refused or refusal.retry_after_s is None:
            return
        with self._lock:
            record = self._records_by_name[name]
            until_s = now + min(refusal.retry_after_s, decisions.MAX_BACKOFF_S)
            record.backoff_until_s = max(record.backoff_until_s, until_s)
        loguru.logger.bind(upstream=name, backoff_s=refusal.retry_after_s).info(
            "upstream backoff"
        )

    def get_backoff_until_s(self, name):
        """Return until when an upstream wants no requests, monotonic, in seconds."""
        with self._lock:
            return self._records_by_name[name].backoff_until_s

    def list_other_software(self, software_version):
        """Return the upstreams that are known to have another software version.

        Parameters
        ----------
        software_version : str
            Version of the software, empty if unknown.

        Returns
        -------
        set of str
            Names of upstreams.
        """
        with self._lock:
            return {
                name
                for name, record in self._records_by_name.items()
                if record.software_version not in ("", software_version)
            }

    def record_broken_connection(self, name):
        """Record that a connection broke, so that the upstream may have restarted."""
        with self._lock:
            self._records_by_name[name].suspect = True

    def record_load_report(self, name, report):
        """Record a load report."""
        with self._lock:
            record = self._records_by_name[name]
            record.record_boot_id(report.boot_id)
            record.report = report
            record.suspect = False
            record.sent_since_report = 0

    def apply_cache_events(self, name, response):
        """Apply cache events; events missed in a gap are not recovered."""
        with self._lock:
            record = self._records_by_name[name]
            if response["boot_id"] != record.boot_id:
                return
            for event in response["events"]:
                record.event_number = max(record.event_number, event["number"])
                if event["kind"] == "evicted":
                    record.remove_cached_blocks([event["key"]])
                else:
                    record.add_cached_blocks([event["key"]])

    def get_event_number(self, name):
        """Return the number of the latest cache event applied."""
        with self._lock:
            return self._records_by_name[name].event_number

    def dump(self):
        """Return the records for the state dump.

        Returns
        -------
        dict
            JSON-compatible values by host name.
        """
        with self._lock:
            return {
                name: _dump_record(record)
                for name, record in sorted(self._records_by_name.items())
            }

    def _make_candidate(self, host, group, keys):
        record = self._records_by_name[host.name]
        cached_blocks = record.count_cached_blocks(keys)
        return decisions.Candidate(
            host=host,
            group=group,
            report=record.report,
            sent_since_report=record.sent_since_report,
            running_here=record.running,
            pending_prefill_tokens=max(0, record.pending_prefill_tokens),
            mean_duration_s=record.mean_duration_s,
            cached_blocks=cached_blocks,
            stored_blocks=cached_blocks,
        )


def _dump_record(record):
    return {
        "boot_id": record.boot_id,
        "warm": record.is_warm(),
        "suspect": record.suspect,
        "running": record.running,
        "sent_since_report": record.sent_since_report,
        "pending_prefill_tokens": record.pending_prefill_tokens,
        "mean_duration_s": round(record.mean_duration_s, 3),
        "blocks": len(record.cached_keys),
        "report": attrs.asdict(record.report) if record.report else None,
    }
