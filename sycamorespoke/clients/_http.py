"""HTTP requests to hosts that return sentinels instead of raising."""

import urllib3

from sycamorespoke.clients import _checked_http, _platform

CONNECT_TIMEOUT_S = 0.5


class HostPool:
    """Connection pool for many hosts; thread-safe.

    Parameters
    ----------
    timeout_s : float
        Default read timeout, in seconds, above 0.
    connections : int
        Maximum number of idle connections kept per host, 1 to 1000.
    """

    def __init__(self, timeout_s, connections):
        self.timeout_s = timeout_s
        self.connections = connections
        self._pool = _checked_http.CheckedPoolManager(
            num_pools=1000, maxsize=connections, retries=False
        )

    def request(self, method, host, path, body=None, headers=None, timeout_s=None):
        """Send a request and read the complete response.

        Parameters
        ----------
        method : str
            HTTP method.
        host : domain.Host
            The host.
        path : str
            Path and query.
        body : bytes, optional
            Request body.
        headers : dict of str to str, optional
            Request headers.
        timeout_s : float, optional
            Read timeout of this request, in seconds; by default that of the pool.

        Returns
        -------
        urllib3.BaseHTTPResponse or Unavailable
            The response, whatever its status, or the reason why there is no
            complete response.
        """
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=timeout_s or self.timeout_s
        )
        url = f"http://{host.address}{path}"
        try:
            return self._pool.request(
                method, url, body=body, headers=headers, timeout=timeout
            )
        except urllib3.exceptions.HTTPError as error:
            reason = f"no complete response from {host.name}: {type(error).__name__}"
            return _platform.Unavailable(reason)
