"""Parses responses of store hosts."""

from sycamorespoke import domain
from sycamorespoke.clients import _platform, _store_results


def parse_metadata(response):
    """Parse the metadata of a block from the headers of a response.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Response to a request for the block.

    Returns
    -------
    domain.Block or None
        ``None`` if the metadata is malformed.
    """
    headers = response.headers
    try:
        return domain.Block(
            key=headers["X-Key"],
            length=int(headers["X-Length"]),
            checksum=headers["X-Checksum"],
            generation=int(headers["X-Generation"]),
        )
    except (KeyError, ValueError):
        return None


def check_response(host, response, result):
    """Return the result of a request if its response says that it succeeded.

    Parameters
    ----------
    host : domain.Host
        The store host.
    response : urllib3.BaseHTTPResponse or Unavailable
        The response, or the reason why there is none.
    result : object
        Result of a request that succeeded.

    Returns
    -------
    object or Missing or Stale or Invalid or Full or Unavailable
        ``result``, or the reason why the request failed.
    """
    if isinstance(response, _platform.Unavailable):
        return response
    if response.status in (200, 204):
        return result
    return make_error(host, response)


def make_error(host, response):
    """Make the result that the status of an error response stands for.

    Parameters
    ----------
    host : domain.Host
        The store host.
    response : urllib3.BaseHTTPResponse
        Response whose status is one of failure.

    Returns
    -------
    Missing or Stale or Invalid or Full or Unavailable
        The reason why the request failed.
    """
    status = response.status
    if status == 404:
        return _platform.Missing(f"{host.name} does not have the block")
    if status == 409:
        return _store_results.Stale(
            f"{host.name} has reallocated the slot to another block"
        )
    if status == 422:
        return _store_results.Invalid(
            f"{host.name} reported a length or checksum mismatch"
        )
    if status == 507:
        return _store_results.Full(f"{host.name} is full")
    return _platform.Unavailable(f"{host.name} returned {status}")
