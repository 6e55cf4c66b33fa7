"""Until when requests may begin on weights older than the target version."""

import enum
import threading

import loguru

from sycamorespoke import decisions, serving
from sycamorespoke.gateway import _upstream_state

# A request that still waits is taken back this long before the grace period ends, so
# that its connection is closed in time.
WITHDRAWAL_MARGIN_S = 0.75
INTERVAL_S = 0.25


class VersionBar(enum.Enum):
    """Why the weights of an upstream forbid to send a request to it."""

    OLDER_WEIGHTS = "older_weights"


class VersionGrace:
    """Takes requests back that wait at engines with older weights; thread-safe.

    Parameters
    ----------
    views : Views
        Current view, which has the target versions.
    table : UpstreamTable
        States of the engines, among them their weight versions.
    grace_s : float
        Time after a target was named for which older weights may be used, seconds.
    """

    def __init__(self, views, table, grace_s):
        self.views = views
        self.table = table
        self.grace_s = grace_s
        self._lock = threading.Lock()
        self._models_by_exchange = {}

    def start(self):
        """Take requests back in a background thread until the process ends."""
        threading.Thread(target=self._run, name="version grace", daemon=True).start()

    def watch(self, exchange, model):
        """Watch a request that waits for its first event.

        Parameters
        ----------
        exchange : Exchange
            Has the ``upstream`` of the request, and ``withdraw()``.
        model : str
            Model that the request needs.
        """
        with self._lock:
            self._models_by_exchange[exchange] = model

    def unwatch(self, exchange):
        """Stop watching a request, which has begun or ended."""
        with self._lock:
            self._models_by_exchange.pop(exchange, None)

    def withdraw_late(self, now):
        """Take back the requests that would begin too late.

        Parameters
        ----------
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            for exchange, model in self._models_by_exchange.items():
                if self.is_late(exchange.upstream, model, now):
                    exchange.withdraw()

    def is_late(self, upstream, model, now):
        """Return whether no request may begin any more on the weights of an upstream.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        model : str
            Model that the request needs.
        now : float
            Current time, seconds of the boot clock.
        """
        target = (self.views.get().targets_by_model or {}).get(model)
        if target is None:
            return False
        states_by_boot = self.table.read([upstream])
        version = _upstream_state.latest_weight_version(upstream, states_by_boot, model)
        replacement = target.find_replacement(version)
        return replacement is not None and not decisions.may_begin_on_older_weights(
            replacement.named, now + WITHDRAWAL_MARGIN_S, self.grace_s
        )

    def _run(self):
        pause = threading.Event()
        while not pause.wait(INTERVAL_S):
            try:
                self.withdraw_late(serving.read_clock())
            except Exception:
                loguru.logger.exception("taking requests back failed")


class GraceWatch:
    """Has one request taken back if it waits too long at older weights.

    Parameters
    ----------
    version_grace : VersionGrace
        Takes requests back.
    model : str or None
        Model that the request needs; ``None`` if it is not to be taken back.
    """

    def __init__(self, version_grace, model):
        self.version_grace = version_grace
        self.model = model
        self._exchange = None

    def begin(self, exchange):
        """Watch the request from now on, as the `Exchange` sends it."""
        if self.model is not None:
            self._exchange = exchange
            self.version_grace.watch(exchange, self.model)

    def end(self):
        """Stop watching, since the request has begun or ended."""
        if self._exchange is not None:
            self.version_grace.unwatch(self._exchange)
            self._exchange = None


class RequestGate:
    """Answers whether one request may go to an upstream, also as to its weights.

    Parameters
    ----------
    gate : UpstreamGate
        Answers whether any request may go to an upstream.
    version_grace : VersionGrace
        Answers whether one may begin on its weights.
    model : str or None
        Model that the request needs; ``None`` if it needs none.
    """

    def __init__(self, gate, version_grace, model):
        self.gate = gate
        self.version_grace = version_grace
        self.model = model

    def find_bar(self, upstream, now):
        """Return what forbids sending to an upstream.

        Parameters
        ----------
        upstream : Upstream
            The upstream.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        decisions.Obstacle or VersionBar or None
            ``None`` if sending is allowed.
        """
        bar = self.gate.find_bar(upstream, now)
        if bar is not None or self.model is None:
            return bar
        if self.version_grace.is_late(upstream, self.model, now):
            return VersionBar.OLDER_WEIGHTS
        return None
