"""Stand-in for a plain service whose requests must not be repeated."""

import collections
import time

import attrs

from sycamorespoke.standins import _base, _upstream_state, _wsgi


@attrs.frozen
class ServiceOptions:
    """Options of a plain service.

    Parameters
    ----------
    limit : int, default=50
        Maximum number of concurrent requests; further ones are refused.
    cold_limit : int, default=50
        Concurrent requests that the service sustains when cold; one more makes it
        fail.
    warm_up_s : float, default=0.0
        Seconds with running requests until the service is warm.
    work_s : float, default=0.005
        Duration of a request, in seconds.
    """

    limit: int = 50
    cold_limit: int = 50
    warm_up_s: float = 0.0
    work_s: float = 0.005


class ServiceStandin(_base.Standin):
    """Plain service that stores bookings and handles look-ups.

    Parameters
    ----------
    options : ServiceOptions, optional
        Options; the defaults if not given.

    Notes
    -----
    A ``POST`` to any path adds a booking. A ``GET`` of a path that ends with a
    number returns that booking; any other ``GET`` is a look-up that always
    succeeds. Faults: ``cross_answers`` (number of responses that carry the ID of
    another request), ``work_s`` (duration of a request instead of the option's),
    ``full`` (refuse requests), ``turn_cold`` (restart immediately).
    """

    FAULTS = {"cross_answers": 0, "work_s": 0.0, "full": False, "turn_cold": False}

    def __init__(self, options=None):
        super().__init__()
        self.options = options or ServiceOptions()
        self._state = _upstream_state.UpstreamState(
            self.options.limit, self.options.cold_limit, self.options.warm_up_s
        )
        self._bookings = []
        self._runs_by_key = collections.Counter()

    def handle_faults_changed(self):
        """Restart if ``turn_cold`` is set."""
        if self.faults["turn_cold"]:
            self._state.restart()

    def count(self):
        """Return the runs by idempotency key and request ID, and the bookings."""
        with self._changed:
            return {
                **self._state.count(),
                "runs_by_key": dict(self._runs_by_key),
                "bookings": list(self._bookings),
            }

    def handle(self, request):
        """Handle a request."""
        if request.path == "/v1/load":
            return self._report_load()
        request_id = request.get_header("X-Request-Id")
        with self._changed:
            if self.faults["full"] or not self._state.has_capacity():
                headers = {"X-Not-Run": "1", "X-Request-Id": request_id}
                return _wsgi.make_json_response(503, {"error": "full"}, headers)
            if not self._state.begin_request(request_id, time.monotonic()):
                raise _wsgi.AbortConnectionError("failed under load while cold")
            boot_id = self._state.boot_id
            response = self._run(request)
        time.sleep(self.faults["work_s"] or self.options.work_s)
        with self._changed:
            if boot_id != self._state.boot_id:
                raise _wsgi.AbortConnectionError("restarted")
            self._state.end_request(boot_id, time.monotonic())
        if self.consume_fault("cross_answers"):
            request_id = f"other-{request_id}"
        return attrs.evolve(
            response, headers={**response.headers, "X-Request-Id": request_id}
        )

    def _run(self, request):
        if request.method == "POST":
            return self._book(request)
        last = request.path.rstrip("/").rsplit("/", 1)[-1]
        if request.method == "GET" and last.isdigit():
            return self._read_booking(int(last))
        value = {"method": request.method, "path": request.path}
        return _wsgi.make_json_response(200, value)

    def _book(self, request):
        value = request.parse_json() if request.body else {}
        self._runs_by_key[request.get_header("Idempotency-Key")] += 1
        self._bookings.append({"path": request.path, **value})
        number = len(self._bookings)
        headers = {"Location": f"{request.path}/{number}"}
        return _wsgi.make_json_response(201, {"booking": number}, headers)

    def _read_booking(self, number):
        if not 0 < number <= len(self._bookings):
            return _wsgi.make_json_response(404, {"error": "no such booking"})
        value = {"booking": number, **self._bookings[number - 1]}
        return _wsgi.make_json_response(200, value)

    def _report_load(self):
        with self._changed:
            value = {
                "boot_id": self._state.boot_id,
                "running": self._state.running,
                "queued": 0,
                "model": "",
                "version": "",
                "warm": self._state.is_warm(time.monotonic()),
                "limit": self.options.limit,
            }
        return _wsgi.make_json_response(200, value)
