"""Follows the events of one store of cached prompt parts."""

import threading

import loguru

from sycamorespoke import serving
from sycamorespoke.gateway import _source

POLL_S = 0.5
RETRY_S = 0.3


class StoreFollower:
    """Keeps a `StoreIndex` up to date in a thread of its own.

    Parameters
    ----------
    client : object
        Has ``read_events(address, since, wait_s)``.
    index : StoreIndex
        What it keeps.
    pause_s : float, default=0.0
        Wait after events, so that one call brings several, seconds.
    """

    def __init__(self, client, index, pause_s=0.0):
        self.client = client
        self.index = index
        self.pause_s = pause_s
        self._stopped = threading.Event()
        self._was_unavailable = False

    def start(self):
        """Follow until `stop`."""
        threading.Thread(target=self._run, name="store", daemon=True).start()

    def stop(self):
        """Stop following."""
        self._stopped.set()

    def step(self):
        """Ask once; return the seconds to wait before the next step."""
        address = self.index.store.address
        page = self.client.read_events(address, self.index.number, POLL_S)
        if isinstance(page, _source.Unavailable):
            self.index.invalidate()
            if not self._was_unavailable:
                self._was_unavailable = True
                self._log("store of parts lost", reason=page.reason)
            return RETRY_S
        is_restarted = self.index.apply_events(page, serving.read_clock())
        if is_restarted or self._was_unavailable or page.is_gap:
            self._was_unavailable = False
            self._log("store of parts known", epoch=page.epoch, gap=page.is_gap)
        return self.pause_s if page.events else 0.0

    def _run(self):
        while not self._stopped.is_set():
            try:
                wait_s = self.step()
            except Exception:
                loguru.logger.exception("following a store failed")
                wait_s = RETRY_S
            if wait_s:
                self._stopped.wait(wait_s)

    def _log(self, event, **fields):
        loguru.logger.bind(store=self.index.store.address, **fields).info(event)
