"""Messages about the software versions that began streams."""

import msgspec

from sycamorespoke.messages import _message


class StreamOriginRecord(msgspec.Struct, array_like=True, frozen=True):
    """Which upstreams may continue a stream.

    Parameters
    ----------
    request_id : str
        ID of the caller's request that brought the first event.
    service : str
        Service of the upstream that began the stream.
    software_version : str
        Version of its software.
    lifetime_s : float
        Time for which the record is needed, seconds.
    """

    request_id: str
    service: str
    software_version: str
    lifetime_s: float


class OriginsRequest(_message.Message, tag="og"):
    """Records to keep, and requests whose records are wanted.

    Parameters
    ----------
    records : list of StreamOriginRecord
        Records to keep.
    wanted : list of str
        IDs of callers' requests.
    """

    records: list[StreamOriginRecord] = []
    wanted: list[str] = []


class OriginsReply(_message.Message, tag="or"):
    """Reply to an `OriginsRequest`.

    Parameters
    ----------
    records : list of StreamOriginRecord
        Records of the wanted requests, without those that are not known.
    """

    records: list[StreamOriginRecord] = []
