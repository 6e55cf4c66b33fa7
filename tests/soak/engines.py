"""Upstreams that hold weights, load others on orders and let requests wait."""

import enum
import json
import random
import socket
import threading
import time

import attrs

from sycamorespoke.platform import _names
from tests.fakes import scripted_upstream
from tests.soak import run_log, upstreams

MODEL = "m"
FIRST_VERSION = 1
LOAD_S = 0.5
LATE_SHARE = 0.9
MIN_LATE_S = 2.0
MAX_LATE_S = 12.0
# Longer than hosts wait for the response to an order.
UNANSWERED_S = 1.0


class Orders(enum.Enum):
    """What becomes of orders.

    Of ``UNANSWERED`` ones only the response is lost. Most ``LATE`` ones get none, and
    are carried out some seconds later if the engine has accepted no other meanwhile.
    """

    ANSWERED = "answered"
    UNANSWERED = "unanswered"
    LATE = "late"


class Wait(enum.Enum):
    """Seconds for which a request waits at an engine before it starts to run."""

    NONE = 0.0
    SHORT = 0.5
    MEDIUM = 1.5
    LONG = 2.5
    LONGEST = 3.5


class Engine(upstreams.Upstream):
    """Upstream that holds weights of one model.

    Parameters
    ----------
    number : int
        Number of the upstream.
    log : run_log.RunLog
        Log to which the engine adds its runs.
    end : callable
        Called with the engine when a request ends it.
    register : callable
        Called with the engine when its registration has changed.
    get_target_version : callable
        Returns the weight version that was named last, with which engines start.
    """

    service = "e"

    def __init__(self, number, log, end, register, get_target_version):
        self.register = register
        self.get_target_version = get_target_version
        self.orders = Orders.ANSWERED
        self.wait = Wait.NONE
        self.weights = Weights(get_target_version())
        self.generator = random.Random(number)
        super().__init__(number, log, end)

    def restart(self):
        """Begin the next start, with the newest weights."""
        super().restart()
        self.weights = Weights(self.get_target_version())

    def make_registration(self):
        """Return the object that registers the engine in the platform's store."""
        return super().make_registration() | {"Models": self.weights.list_models()}

    def _handle_request(self, request):
        if request.path == _names.REPORT_PATH:
            report = json.dumps(self.weights.make_report()).encode()
            scripted_upstream.respond(request, body=report)
        elif request.path == _names.ORDER_PATH:
            self._handle_order(request)
        else:
            self._queue(request)

    def _queue(self, request):
        """Let a request wait for its turn, then run it if it still can."""
        request.arrived_s = time.monotonic()
        weights = self.weights
        orders_before = weights.accepted_orders
        request.weight_version = weights.version
        expected = request.headers.get(_names.EXPECT_VERSION)
        if expected not in (None, str(request.weight_version)):
            _refuse(request, 421)
            return
        remaining_s = int(request.headers[_names.DEADLINE_MS]) / 1000
        wait_s = 0.0 if weights.is_loading else min(self.wait.value, remaining_s)
        time.sleep(wait_s)
        is_ordered = weights.is_loading or weights.accepted_orders != orders_before
        if is_closed(request.connection):
            request.close_connection = True
        elif is_ordered or wait_s >= remaining_s:
            _refuse(request, 503)
        else:
            super()._handle_request(request)

    def _make_run(self, request, upstream_id, says_leaving):
        return attrs.evolve(
            super()._make_run(request, upstream_id, says_leaving),
            weight_version=request.weight_version,
            arrived_s=request.arrived_s,
        )

    def _make_headers(self):
        version = str(self.weights.version)
        return super()._make_headers() | {_names.WEIGHT_VERSIONS: version}

    def _handle_order(self, request):
        if request.headers.get(_names.EXPECT_INSTANCE, self.id) != self.id:
            _refuse(request, 421)
            return
        order = json.loads(request.body)
        self._log_order(order)
        weights = self.weights
        is_late = self.generator.random() < LATE_SHARE
        if self.orders is Orders.LATE and is_late:
            delay_s = self.generator.uniform(MIN_LATE_S, MAX_LATE_S)
            _start_timer(delay_s, self._accept, weights, order)
            _drop_response(request)
        status = self._accept(weights, order)
        if self.orders is Orders.UNANSWERED:
            _drop_response(request)
        scripted_upstream.respond(request, status, b"")

    def _log_order(self, order):
        now = time.monotonic()
        received = run_log.Order(self.id, now, order["Holder"], order["Fence"])
        self.log.add_order(received)

    def _accept(self, weights, order):
        """Accept an order if it holds; return the status of the response."""
        status = weights.accept(order)
        if status == 202:
            _start_timer(LOAD_S, self._finish_load, weights, order["Version"])
        return status

    def _finish_load(self, weights, version):
        weights.finish_load(version)
        # Otherwise the engine was restarted meanwhile.
        if weights is self.weights:
            self.register(self)


class Weights:
    """Weights of one start of an engine, and the orders that it accepted.

    Parameters
    ----------
    version : int
        Weight version that the engine starts with.
    """

    def __init__(self, version):
        self.version = version
        self.is_loading = False
        self.accepted_orders = 0
        self._highest_fence = 0
        self._lock = threading.Lock()

    def list_models(self):
        """Return the models of the engine as it states them."""
        return [{"Name": MODEL, "Version": self.version, "Adapters": []}]

    def make_report(self):
        """Return the report of the engine."""
        with self._lock:
            return {
                "Models": self.list_models(),
                "Busy": self.is_loading,
                "Seq": self.accepted_orders,
            }

    def accept(self, order):
        """Accept an order unless it is outdated; return the status of the response."""
        with self._lock:
            if order["Fence"] < self._highest_fence:
                return 412
            self._highest_fence = order["Fence"]
            if order["Version"] <= self.version:
                return 200
            if self.is_loading or order["Precondition"] != self.accepted_orders:
                return 409
            self.accepted_orders += 1
            self.is_loading = True
            return 202

    def finish_load(self, version):
        """Hold the version that was ordered."""
        with self._lock:
            self.version = version
            self.is_loading = False


def is_closed(connection):
    """Return whether the other end has closed a connection without unread bytes."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _refuse(request, status):
    headers = {"X-Sycamorespoke-Not-Run": "1"}
    scripted_upstream.respond(request, status, b"", **headers)


def _drop_response(request):
    time.sleep(UNANSWERED_S)
    scripted_upstream.abort(request)


def _start_timer(delay_s, function, *arguments):
    timer = threading.Timer(delay_s, function, arguments)
    timer.daemon = True
    timer.start()
