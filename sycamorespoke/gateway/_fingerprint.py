"""Identifies the contents of a caller's request."""

from sycamorespoke import quarantine


def compute_fingerprint(request, account):
    """Return a hash of a request that is equal if the same caller sends it again.

    Parameters
    ----------
    request : Request
        The request.
    account : Account or None
        Client account of the caller.

    Returns
    -------
    str
        Hash of the account, method, host, path, query, blocks of the prompt and body,
        hexadecimal.
    """
    account_name = account.name if account is not None else ""
    block_ids = [block.id for block in request.prompt.blocks] if request.prompt else []
    texts = (account_name, request.method, request.host, request.target, *block_ids)
    return quarantine.compute_fingerprint(texts, request.body)
