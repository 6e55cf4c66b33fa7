"""Requests with a JSON body."""

import msgspec


def send_json(pool, method, url, timeout, content=None, headers=None):
    """Send a request whose body is a JSON value, or that has no body.

    Parameters
    ----------
    pool : CheckedPool or CheckedPoolManager
        Connections to use.
    method : str
        HTTP method.
    url : str
        Path, or the whole URL for a pool manager.
    timeout : urllib3.Timeout
        Timeouts of the connection and of the response.
    content : object or None, default=None
        JSON value of the body; ``None`` sends no body.
    headers : dict of str to str or None, default=None
        Headers besides the type of the body.

    Returns
    -------
    urllib3.HTTPResponse
        The response.

    Raises
    ------
    urllib3.exceptions.HTTPError or OSError
        If there is no response.
    """
    body = None if content is None else msgspec.json.encode(content)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return pool.request(method, url, body=body, headers=all_headers, timeout=timeout)
