"""Stand-in for a model engine."""

import collections
import time

from sycamorespoke.standins import (
    _base,
    _block_handler,
    _cache,
    _engine_options,
    _prefill,
    _reports,
    _runs,
    _stream,
    _upstream_state,
    _weight_loader,
    _wsgi,
)

GENERATE_PATH = "/v1/generate"
BLOCKS_PATH = "/v1/blocks/"
POLL_S = 0.05
COUNT_NAMES = (
    "prompt_tokens",
    "computed_tokens",
    "cancelled",
    "exported_blocks",
    "imported_blocks",
    "wrong_imports",
    "runs_with_wrong_blocks",
    "runs_with_other_version",
)


class EngineStandin(_base.Standin):
    """Model engine with batching, a prefix cache and weight loads.

    Parameters
    ----------
    options : EngineOptions, optional
        Options; the defaults if not given.

    Notes
    -----
    Faults of streams: ``cut_after_tokens`` (each stream is cut after this number
    of tokens, 0 for never), ``cross_answers`` (number of responses that carry the
    ID of another request), ``duplicate_lines`` and ``wrong_count`` (booleans),
    ``freeze_s`` (seconds from now during which the engine does nothing).

    Faults of reports: ``version_report_lag_s`` (seconds by which the reported
    weight version lags); for cache events ``late_s`` (seconds of delay),
    ``drop_every_n`` (drop the events whose number is a multiple) and ``reorder``
    (reverse their order).

    Faults of the engine: ``turn_cold`` (restart immediately),
    ``turn_cold_silently`` (become cold without a new boot ID),
    ``ignores_version`` (run requests for any weight version), ``import_full``
    (reject imports for lack of space), ``truncate_export`` and
    ``flip_bit_export`` (corrupt exported blocks after computing their checksum).
    """

    FAULTS = {
        "cut_after_tokens": 0,
        "cross_answers": 0,
        "duplicate_lines": False,
        "wrong_count": False,
        "freeze_s": 0.0,
        "version_report_lag_s": 0.0,
        "late_s": 0.0,
        "drop_every_n": 0,
        "reorder": False,
        "turn_cold": False,
        "turn_cold_silently": False,
        "ignores_version": False,
        "import_full": False,
        "truncate_export": False,
        "flip_bit_export": False,
    }

    def __init__(self, options=None):
        super().__init__()
        self.options = options or _engine_options.EngineOptions()
        self._loader = _weight_loader.WeightLoader(
            self.options, self._changed, self._record_change
        )
        self._state = _upstream_state.UpstreamState(
            self.options.limit, self.options.cold_limit, self.options.warm_up_s
        )
        self._cache = _cache.PrefixCache(self.options.cache_blocks)
        self._queue = _runs.RunQueue()
        self._running_by_id = {}
        self._frozen_until = 0.0
        self._counts = collections.Counter()
        self._prefill = _prefill.Prefill(self.options, self._cache, self._counts)
        self._blocks = _block_handler.BlockHandler(
            self.options,
            self._cache,
            self._loader,
            self._changed,
            lambda: self.faults,
            self._counts,
        )
        self._reporter = _reports.Reporter(
            self.options, self._state, self._queue, self._loader
        )
        self._record_report()

    def handle_faults_changed(self):
        """Apply faults that take effect immediately; called with the lock held."""
        now = time.monotonic()
        self._frozen_until = now + self.faults["freeze_s"]
        if self.faults["turn_cold"]:
            self._state.restart()
            self._discard_state()
        if self.faults["turn_cold_silently"]:
            self._state.turn_cold()
        self._record_report()

    def count(self):
        """Return the counts of runs, tokens, block transfers and orders."""
        with self._changed:
            return {
                **self._state.count(),
                **{name: self._counts[name] for name in COUNT_NAMES},
                "stale_orders": self._loader.stale_orders,
                "orders": list(self._loader.orders),
            }

    def set_limit(self, limit):
        """Change the maximum number of concurrent requests."""
        with self._changed:
            self._state.limit = limit
            self._changed.notify_all()

    def report(self):
        """Return the current load report, without lag."""
        with self._changed:
            return self._reporter.record(time.monotonic())

    def wait_for_load(self, timeout_s):
        """Wait until no load is in progress; return False after ``timeout_s``."""
        return self._loader.wait_until_loaded(timeout_s)

    def handle(self, request):
        """Handle a request."""
        self._wait_while_frozen()
        if request.path == GENERATE_PATH and request.method == "POST":
            return self._generate(request)
        if request.path.startswith(GENERATE_PATH + "/"):
            return self._cancel(request.path[len(GENERATE_PATH) + 1 :])
        if request.path == "/v1/load":
            return self._report_load()
        if request.path == "/v1/cache-events":
            return self._send_cache_events(request)
        if request.path.startswith(BLOCKS_PATH):
            key = request.path[len(BLOCKS_PATH) :]
            if request.method == "PUT":
                return self._blocks.import_block(request, key)
            return self._blocks.export_block(key)
        if request.path == "/v1/orders" and request.method == "POST":
            return self._loader.handle_order(request.parse_json())
        return _wsgi.make_json_response(404, {"error": "no such path"})

    # Streams

    def _generate(self, request):
        value = request.parse_json()
        for name in ("request_id", "model", "version", "prompt", "max_tokens"):
            if name not in value:
                raise _wsgi.BadRequestError(f"{name} is missing")
        with self._changed:
            refusal = self._check_admission(value)
            if refusal is not None:
                return refusal
            run = self._queue.push(value, self._state.boot_id)
            self._record_report()
            try:
                refusal = self._wait_for_turn(run, request)
            finally:
                self._queue.remove(run)
                self._changed.notify_all()
            if refusal is not None:
                self._record_report()
                return refusal
            self._start_run(run)
        headers = {"Content-Type": "application/x-ndjson"}
        return _wsgi.Response(200, self._stream(run, request), headers)

    def _check_admission(self, value):
        if self._loader.loading:
            return _refuse(503, "starting", value)
        is_other = (value["model"], value["version"]) != (
            self._loader.model,
            self._loader.version,
        )
        if is_other and not self.faults["ignores_version"]:
            return _refuse(409, "version", value)
        is_waiting = not self._state.has_capacity()
        if is_waiting and len(self._queue) >= self.options.queue_limit:
            return _refuse(429, "full", value)
        return None

    def _wait_for_turn(self, run, request):
        while not (self._state.has_capacity() and self._queue.is_first(run)):
            if run.cancelled or request.is_disconnected():
                self._counts["cancelled"] += 1
                raise _wsgi.AbortConnectionError("cancelled")
            if run.boot_id != self._state.boot_id:
                raise _wsgi.AbortConnectionError("restarted")
            self._changed.wait(POLL_S)
        # The engine may have loaded other weights while the request was queued.
        return self._check_admission(run.value)

    def _start_run(self, run):
        if not self._state.begin_request(run.request_id, time.monotonic()):
            self._discard_state()
            raise _wsgi.AbortConnectionError("failed under load while cold")
        run.boot_id = self._state.boot_id
        run.version = self._loader.version
        self._running_by_id[run.request_id] = run
        self._record_report()

    def _stream(self, run, request):
        try:
            yield from self._generate_lines(run, request)
        finally:
            self._end_run(run)

    def _generate_lines(self, run, request):
        with self._changed:
            cached_tokens, wait_s = self._prefill.start(run, time.monotonic())
        self._simulate_work(run, request, wait_s)
        self._store_prefix(run)
        first_line_fields = {
            "boot_id": run.boot_id,
            "version": run.version,
            "cached_tokens": cached_tokens,
            "prompt_tokens": _runs.count_prompt_tokens(run.value["prompt"]),
            "software_version": self.options.software_version,
        }
        return _stream.generate_lines(
            run,
            first_line_fields,
            lambda: self.faults,
            self.consume_fault("cross_answers"),
            lambda: self._simulate_work(run, request, self.options.token_s),
        )

    def _store_prefix(self, run):
        with self._changed:
            if run.boot_id != self._state.boot_id:
                raise _wsgi.AbortConnectionError("restarted")
            self._prefill.cache_blocks(run, time.monotonic())
            self._changed.notify_all()

    def _simulate_work(self, run, request, seconds):
        """Sleep for the duration of a step of a run.

        Raises
        ------
        AbortConnectionError
            If the run is cancelled, the caller disconnects or the engine restarts.
        """
        end = time.monotonic() + seconds
        while True:
            self._wait_while_frozen()
            if run.boot_id != self._state.boot_id:
                raise _wsgi.AbortConnectionError("restarted")
            if run.cancelled or request.is_disconnected():
                run.cancelled = True
                raise _wsgi.AbortConnectionError("cancelled")
            remaining_s = end - time.monotonic()
            if remaining_s <= 0:
                return
            time.sleep(min(remaining_s, POLL_S))

    def _end_run(self, run):
        with self._changed:
            self._state.end_request(run.boot_id, time.monotonic())
            if run.cancelled:
                self._counts["cancelled"] += 1
            if self._running_by_id.get(run.request_id) is run:
                del self._running_by_id[run.request_id]
            self._record_report()
            self._changed.notify_all()

    def _cancel(self, request_id):
        with self._changed:
            run = self._running_by_id.get(request_id) or self._queue.find(request_id)
            if run is None:
                return _wsgi.make_json_response(404, {"error": "no such request"})
            run.cancelled = True
            self._changed.notify_all()
        return _wsgi.Response(204)

    def _wait_while_frozen(self):
        remaining_s = self._frozen_until - time.monotonic()
        if remaining_s > 0:
            time.sleep(remaining_s)

    def _discard_state(self):
        self._cache.clear()
        self._running_by_id.clear()
        self._prefill.reset()
        self._record_change()

    # Reports

    def _record_change(self):
        self._record_report()
        self._changed.notify_all()

    def _record_report(self):
        self._reporter.record(time.monotonic())

    def _report_load(self):
        with self._changed:
            lag_s = self.faults["version_report_lag_s"]
            report = self._reporter.get_report(time.monotonic(), lag_s)
        return _wsgi.make_json_response(200, report)

    def _send_cache_events(self, request):
        with self._changed:
            events = _cache.wait_for_events(
                self._cache, request, self._changed, self.faults
            )
            value = {"boot_id": self._state.boot_id, "events": events}
        return _wsgi.make_json_response(200, value)


def _refuse(status, error, value):
    """Make the refusal of a generation request, which names the request."""
    headers = {"X-Request-Id": value["request_id"]}
    return _wsgi.make_json_response(status, {"error": error}, headers)
