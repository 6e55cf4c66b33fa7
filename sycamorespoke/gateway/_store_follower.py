"""Follows the events of one block store."""

import threading

import loguru

from sycamorespoke import objects, serving

POLL_S = 0.5
RETRY_S = 0.3


class StoreFollower:
    """Keeps a `StoreIndex` up to date in a background thread.

    Parameters
    ----------
    client : object
        Has ``read_events(address, since, wait_s)``.
    index : StoreIndex
        Index of the store.
    pause_s : float, default=0.0
        Pause after a response with events, seconds, so that the next one has several.
    """

    def __init__(self, client, index, pause_s=0.0):
        self.client = client
        self.index = index
        self.pause_s = pause_s
        self._stopped = threading.Event()
        self._was_unavailable = False

    def start(self):
        """Follow the store until `stop` is called."""
        threading.Thread(target=self._run, name="store", daemon=True).start()

    def stop(self):
        """Stop following after the current step."""
        self._stopped.set()

    def step(self):
        """Request events once; return the seconds to wait before the next step."""
        backoff_s = self.index.get_backoff_s(serving.read_clock())
        if backoff_s > 0:
            return backoff_s
        address = self.index.store.address
        page = self.client.read_events(address, self.index.next_number, POLL_S)
        if isinstance(page, objects.Unavailable):
            self.index.invalidate()
            self.index.record_unavailable(page, serving.read_clock())
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
                loguru.logger.exception("following a block store failed")
                wait_s = RETRY_S
            if wait_s:
                self._stopped.wait(wait_s)

    def _log(self, event, **fields):
        loguru.logger.bind(store=self.index.store.address, **fields).info(event)
