"""Round-robin choice of entry hosts, as the platform's load balancer does."""

import threading

import urllib3

from sycamorespoke import clients

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 1.0


class EntryHosts:
    """Addresses of entry hosts and their last known readiness.

    Parameters
    ----------
    addresses : sequence of str
        At least one address, each such as ``"127.0.0.1:8000"``.
    """

    def __init__(self, addresses):
        self.addresses = addresses
        self._ready_by_address = dict.fromkeys(addresses, False)
        self._next = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._pool = clients.CheckedPoolManager(retries=False, timeout=CHECK_TIMEOUT_S)

    def start(self):
        """Check each address now, then every half second in the background."""
        for address in self.addresses:
            self.set_ready(address, self._is_ready(address))
            thread = threading.Thread(target=self._watch, args=[address], daemon=True)
            thread.start()

    def stop(self):
        """Stop the background checks."""
        self._stopped.set()

    def set_ready(self, address, ready):
        """Record whether an address is ready.

        Parameters
        ----------
        address : str
            One of the addresses.
        ready : bool
            Whether requests may be sent to it.
        """
        with self._lock:
            self._ready_by_address[address] = ready

    def pick(self, excluded=()):
        """Return the next ready address in round-robin order.

        Parameters
        ----------
        excluded : collection of str, default=()
            Addresses to skip.

        Returns
        -------
        str or None
            ``None`` if no other address is ready.
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
