"""Body of a whole response, whose bytes are held until the caller's buffer has them."""

PART_BYTES = 65_536


class HeldBody:
    """WSGI body that returns its bytes to the budget of the process in the end.

    Parameters
    ----------
    body : bytearray
        The body.
    hold : serving.ByteHold
        Hold of its bytes.
    """

    def __init__(self, body, hold):
        self._body = body
        self._hold = hold

    def __iter__(self):
        with memoryview(self._body) as view:
            for start in range(0, len(view), PART_BYTES):
                yield bytes(view[start : start + PART_BYTES])

    def close(self):
        """Drop the body."""
        self._body = bytearray()
        self._hold.release()
