"""Identifies the contents of a request, whatever ID its caller gave it."""

import hashlib

FINGERPRINT_BYTES = 16


def compute_fingerprint(texts, body):
    """Return a hash of a request that is equal if the same caller sends it again.

    Parameters
    ----------
    texts : iterable of str
        What identifies the request beside its body, such as the account and path.
    body : bytes
        The complete body.

    Returns
    -------
    str
        The hash, hexadecimal.

    Examples
    --------
    >>> compute_fingerprint(("ab", "c"), b"") == compute_fingerprint(("a", "bc"), b"")
    False
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for text in texts:
        # The length keeps the boundaries between the texts unambiguous.
        digest.update(f"{len(text)} {text}".encode())
    digest.update(body)
    return digest.hexdigest()
