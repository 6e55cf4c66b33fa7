"""What an entry host knows about the upstreams; soft state, rebuilt from reports."""

import collections
import threading

import attrs

from sycamorespoke import decisions, world

MAX_BLOCKS_PER_UPSTREAM = 20000
DURATION_SMOOTHING_FACTOR = 0.1
INITIAL_DURATION_S = 1.0


@attrs.define
class UpstreamRecord:
    """What is known about one upstream.

    Parameters
    ----------
    report : world.LoadReport or None
        Newest load report.
    boot_id : str
        Boot id last seen, in a report or an response.
    suspect : bool
        A connection to it broke and no report has come since.
    sent_since_report : int
        Requests sent from here since the report.
    running : int
        Requests sent from here and not ended.
    pending_prefill_tokens : int
        Uncached prompt tokens whose first token is awaited.
    mean_duration_s : float
        Smoothed duration of a request, seconds.
    event_number : int
        Number of the last cache event applied.
    keys : collections.OrderedDict
        Keys of the blocks that it is believed to cache, oldest use first.
    """

    report: world.LoadReport | None = None
    boot_id: str = ""
    suspect: bool = False
    sent_since_report: int = 0
    running: int = 0
    pending_prefill_tokens: int = 0
    mean_duration_s: float = INITIAL_DURATION_S
    event_number: int = 0
    keys: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)

    def is_warm(self):
        """Tell whether the upstream is known to be warm."""
        if self.report is None or self.suspect:
            return False
        return self.report.warm and self.report.boot_id == self.boot_id

    def record_boot_id(self, boot_id):
        """Forget what a restart has made wrong."""
        if boot_id == self.boot_id:
            return
        if self.boot_id:
            self.suspect = True
        self.boot_id = boot_id
        self.event_number = 0
        self.keys.clear()

    def add_cached_blocks(self, keys):
        """Note blocks that the upstream caches; the oldest are forgotten."""
        for key in keys:
            self.keys[key] = None
            self.keys.move_to_end(key)
        while len(self.keys) > MAX_BLOCKS_PER_UPSTREAM:
            self.keys.popitem(last=False)

    def remove_cached_blocks(self, keys):
        """Note blocks that the upstream no longer caches."""
        for key in keys:
            self.keys.pop(key, None)

    def count_cached_blocks(self, keys):
        """Count the leading blocks of a prompt that the upstream caches."""
        for count, key in enumerate(keys):
            if key not in self.keys:
                return count
        return len(keys)


class UpstreamTable:
    """Records of all upstreams by host name, safe to use from any thread."""

    def __init__(self):
        self._lock = threading.Lock()
        self._records_by_name = collections.defaultdict(UpstreamRecord)

    def select_candidates(self, hosts, group, keys):
        """Describe hosts as candidates for a prompt.

        Parameters
        ----------
        hosts : list of world.Host
            Upstreams of one group.
        group : world.UpstreamGroup
            The group.
        keys : tuple of str
            Block keys of the prompt.

        Returns
        -------
        list of decisions.Candidate
            One per host, in the same order.
        """
        with self._lock:
            return [self._make_candidate(host, group, keys) for host in hosts]

    def get_warm_boot_id(self, name):
        """Return the boot id of an upstream known to be warm, else nothing."""
        with self._lock:
            record = self._records_by_name[name]
            return record.boot_id if record.is_warm() else ""

    def get_report(self, name):
        """Return the newest load report of an upstream, or ``None``."""
        with self._lock:
            return self._records_by_name[name].report

    def count_running(self, name):
        """Count the requests sent from here to an upstream and not ended."""
        with self._lock:
            return self._records_by_name[name].running

    def count_running_by_name(self):
        """Return the requests sent from here and not ended.

        Returns
        -------
        dict of str to int
            Above 0, by name of the upstream.
        """
        with self._lock:
            return {
                name: record.running
                for name, record in self._records_by_name.items()
                if record.running
            }

    def record_sent(self, name, uncached_tokens):
        """Note a request that is about to be sent."""
        with self._lock:
            record = self._records_by_name[name]
            record.running += 1
            record.sent_since_report += 1
            record.pending_prefill_tokens += uncached_tokens

    def record_started(self, name, started, keys):
        """Note what the first line of an response tells of the cache."""
        with self._lock:
            record = self._records_by_name[name]
            record.record_boot_id(started.boot_id)
            cached_blocks = started.cached_tokens // world.BLOCK_TOKENS
            record.remove_cached_blocks(keys[cached_blocks:])
            record.add_cached_blocks(keys[:cached_blocks])

    def record_imported(self, name, keys):
        """Note blocks that have been imported into an upstream."""
        with self._lock:
            self._records_by_name[name].add_cached_blocks(keys)

    def record_first_token(self, name, uncached_tokens, keys):
        """Note that the prompt is computed, so that its blocks are cached."""
        with self._lock:
            record = self._records_by_name[name]
            record.pending_prefill_tokens -= uncached_tokens
            record.add_cached_blocks(keys)

    def record_finished(self, name, duration_s):
        """Note the end of a request, whole or not."""
        with self._lock:
            record = self._records_by_name[name]
            record.running -= 1
            if duration_s is not None:
                change = duration_s - record.mean_duration_s
                record.mean_duration_s += DURATION_SMOOTHING_FACTOR * change

    def discard_pending_prefill(self, name, uncached_tokens):
        """Take back prompt tokens of a request that ended before its first token."""
        with self._lock:
            record = self._records_by_name[name]
            record.pending_prefill_tokens -= uncached_tokens

    def record_broken_connection(self, name):
        """Note that a connection broke: the upstream may have restarted."""
        with self._lock:
            self._records_by_name[name].suspect = True

    def record_load_report(self, name, report):
        """Note a load report."""
        with self._lock:
            record = self._records_by_name[name]
            record.record_boot_id(report.boot_id)
            record.report = report
            record.suspect = False
            record.sent_since_report = 0

    def apply_cache_events(self, name, response):
        """Apply cache events; after a gap only what they say is applied."""
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
        """Return the number of the last cache event applied."""
        with self._lock:
            return self._records_by_name[name].event_number

    def dump(self):
        """Describe the records for the state dump.

        Returns
        -------
        dict
            JSON values by host name.
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
        "blocks": len(record.keys),
        "report": attrs.asdict(record.report) if record.report else None,
    }
