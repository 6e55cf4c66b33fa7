"""Identifies the contents of a request, whatever ID its caller gave it."""

import hashlib

FINGERPRINT_BYTES = 16


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
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    account_name = account.name if account is not None else ""
    block_ids = [block.id for block in request.prompt.blocks] if request.prompt else []
    texts = (account_name, request.method, request.host, request.target, *block_ids)
    for text in texts:
        # The length keeps the boundaries between the texts unambiguous.
        digest.update(f"{len(text)} {text}".encode())
    digest.update(request.body)
    return digest.hexdigest()
