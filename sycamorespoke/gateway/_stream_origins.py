"""Records of the streams that this host or others began; kept in memory only."""

import collections
import threading

import attrs

from sycamorespoke import decisions

# Above the streams of the largest deployment within the longest time limit.
MAX_RECORDS = 50_000
MAX_LIFETIME_S = 600.0


@attrs.frozen
class StreamRecord:
    """Record of one stream.

    Parameters
    ----------
    origin : decisions.StreamOrigin
        Upstreams that may continue the stream.
    expires_s : float
        End of the record, seconds of the boot clock.
    """

    origin: decisions.StreamOrigin
    expires_s: float


class StreamOrigins:
    """Origins of streams by the request that began each; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._records_by_request = collections.OrderedDict()

    def record(self, request_id, origin, lifetime_s, now):
        """Record the origin of a stream; the first record of a request counts.

        Parameters
        ----------
        request_id : str
            ID of the caller's request that brought the first event.
        origin : decisions.StreamOrigin
            Upstreams that may continue the stream.
        lifetime_s : float
            Time for which the record is needed, seconds.
        now : float
            Current time, seconds of the boot clock.
        """
        expires_s = now + min(lifetime_s, MAX_LIFETIME_S)
        with self._lock:
            self._discard_old(now)
            self._records_by_request.setdefault(
                request_id, StreamRecord(origin, expires_s)
            )

    def find(self, request_id, now):
        """Return the `StreamRecord` of a stream; ``None`` if unknown."""
        record = self._records_by_request.get(request_id)
        return record if record and now < record.expires_s else None

    def list_current(self, now):
        """Return the requests and records that have not expired, the oldest first."""
        with self._lock:
            return [
                (request_id, record)
                for request_id, record in self._records_by_request.items()
                if now < record.expires_s
            ]

    def count(self):
        """Return the number of records."""
        return len(self._records_by_request)

    def _discard_old(self, now):
        while self._records_by_request:
            oldest = next(iter(self._records_by_request.values()))
            is_full = len(self._records_by_request) >= MAX_RECORDS
            if now < oldest.expires_s and not is_full:
                return
            self._records_by_request.popitem(last=False)
