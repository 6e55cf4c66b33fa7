"""Stand-in for the rate-limited weight store."""

import time

import attrs

from sycamorespoke.standins import _base, _wsgi

WEIGHTS_PATH = "/v1/weights/"
CHUNKS = 10


@attrs.frozen
class WeightsOptions:
    """Options of a weight store.

    Parameters
    ----------
    weight_bytes : int, default=100000
        Size of each weight version, in bytes.
    load_s : float, default=0.3
        Duration of a read, in seconds.
    loads_at_once : int, default=2
        Number of concurrent reads up to which a read takes ``load_s``.
    load_at_once_penalty : float, default=1.0
        Fraction by which each further concurrent read slows down all reads.
    """

    weight_bytes: int = 100000
    load_s: float = 0.3
    loads_at_once: int = 2
    load_at_once_penalty: float = 1.0


class WeightsStandin(_base.Standin):
    """Weight store whose concurrent reads slow each other down.

    Parameters
    ----------
    options : WeightsOptions, optional
        Options; the defaults if not given.

    Notes
    -----
    ``GET /counts`` shows the maximum number of concurrent reads.
    """

    def __init__(self, options=None):
        super().__init__()
        self.options = options or WeightsOptions()
        self._active_reads = 0
        self._max_active_reads = 0
        self._reads = 0

    def count(self):
        """Return the number of reads and the maximum number of concurrent reads."""
        with self._changed:
            return {"loads": self._reads, "most_at_once": self._max_active_reads}

    def handle(self, request):
        """Handle a read of a weight version."""
        if request.method != "GET" or not request.path.startswith(WEIGHTS_PATH):
            return _wsgi.make_json_response(404, {"error": "no such path"})
        size = self.options.weight_bytes
        return _wsgi.Response(200, self._send(size), {"Content-Length": str(size)})

    def _send(self, size):
        with self._changed:
            self._active_reads += 1
            self._reads += 1
            self._max_active_reads = max(self._max_active_reads, self._active_reads)
        try:
            for chunk in range(CHUNKS):
                time.sleep(self._compute_chunk_duration_s())
                start = size * chunk // CHUNKS
                yield bytes(size * (chunk + 1) // CHUNKS - start)
        finally:
            with self._changed:
                self._active_reads -= 1

    def _compute_chunk_duration_s(self):
        excess = max(0, self._active_reads - self.options.loads_at_once)
        factor = 1.0 + self.options.load_at_once_penalty * excess
        return self.options.load_s / CHUNKS * factor
