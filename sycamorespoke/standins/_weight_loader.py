"""Orders to an engine: weight loads and role changes."""

import http.client
import threading
import time
import urllib.request

from sycamorespoke.standins import _wsgi

READ_TIMEOUT_S = 60.0


class WeightLoader:
    """Handles orders to an engine; holds its model, weight version and role.

    Parameters
    ----------
    options : EngineOptions
        Options of the engine.
    changed : threading.Condition
        Lock of the engine.
    on_change : callable
        Called with the lock held after each change of the model, version or role
        and when a load starts or ends.
    """

    def __init__(self, options, changed, on_change):
        self.options = options
        self.model = options.model
        self.version = options.version
        self.role = ""
        self.loading = False
        self.orders = []
        self.stale_orders = 0
        self._changed = changed
        self._on_change = on_change
        self._loads = 0
        self._max_fencing_number = 0

    def handle_order(self, order):
        """Handle an order as in docs/PROTOCOLS.md and return the response."""
        number = int(order.get("fencing_number", 0))
        with self._changed:
            if number < self._max_fencing_number:
                if self.options.checks_fencing:
                    return _wsgi.make_json_response(409, {"error": "fencing"})
                self.stale_orders += 1
            self._max_fencing_number = max(self._max_fencing_number, number)
            self.orders.append(order)
            self._apply(order)
        return _wsgi.Response(202)

    def wait_until_loaded(self, timeout_s):
        """Wait until no load is in progress; return False after ``timeout_s``."""
        with self._changed:
            return self._changed.wait_for(lambda: not self.loading, timeout_s)

    def _apply(self, order):
        if order.get("order") == "role":
            self.role = order.get("role", "")
            self._on_change()
        elif order.get("order") == "load":
            self._start_load(order)
        else:
            raise _wsgi.BadRequestError("unknown order")

    def _start_load(self, order):
        self.loading = True
        self._loads += 1
        self._on_change()
        thread = threading.Thread(
            target=self._load, args=(order, self._loads), daemon=True
        )
        thread.start()

    def _load(self, order, load_number):
        start = time.monotonic()
        is_read = self._read_weights(order["model"], order["version"])
        remaining_s = start + self.options.load_s - time.monotonic()
        time.sleep(max(0.0, remaining_s))
        with self._changed:
            if load_number != self._loads:
                return  # A later order has replaced this one.
            if is_read:
                self.model = order["model"]
                self.version = order["version"]
            self.loading = False
            self._on_change()

    def _read_weights(self, model, version):
        if not self.options.weights:
            return True
        url = f"{self.options.weights}/v1/weights/{model}/{version}"
        try:
            with urllib.request.urlopen(url, timeout=READ_TIMEOUT_S) as response:
                response.read()
        except (OSError, http.client.HTTPException):
            return False
        return True
