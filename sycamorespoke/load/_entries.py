"""The entry hosts, chosen round robin as the platform's balancer does."""

import threading

import urllib3

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 1.0


class EntryHosts:
    """Addresses of entry hosts with the readiness last seen.

    Parameters
    ----------
    addresses : sequence of str
        ``"127.0.0.1:8000"`` each, at least one.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self._ready_by_address = dict.fromkeys(addresses, False)
        self._next = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._pool = urllib3.PoolManager(retries=False, timeout=CHECK_TIMEOUT_S)

    def start(self):
        """Check each address once, then every half second in the background."""
        for address in self.addresses:
            self.set_ready(address, self._is_ready(address))
            thread = threading.Thread(target=self._watch, args=[address], daemon=True)
            thread.start()

    def stop(self):
        """Stop checking."""
        self._stopped.set()

    def set_ready(self, address, ready):
        """Note whether an address is ready.

        Parameters
        ----------
        address : str
            One of the addresses.
        ready : bool
            Its readiness.
        """
        with self._lock:
            self._ready_by_address[address] = ready

    def pick(self, excluded=()):
        """Pick the next ready address.

        Parameters
        ----------
        excluded : collection of str, default=()
            Addresses that are not wanted.

        Returns
        -------
        str or None
            ``None`` when none is ready.
        """
        with self._lock:
            for _ in self.addresses:
                address = self.addresses[self._next % len(self.addresses)]
                self._next += 1
                if self._ready_by_address[address] and address not in excluded:
                    return address
        return None

    def _watch(self, address):
        while not self._stopped.wait(CHECK_INTERVAL_S):
            self.set_ready(address, self._is_ready(address))

    def _is_ready(self, address):
        try:
            response = self._pool.request("GET", f"http://{address}/readyz")
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200
