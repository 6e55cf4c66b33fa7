"""Hand the result of a claim from the writer to the waiting request thread."""

import threading

import attrs

from sycamorespoke import decisions, domain


@attrs.define(eq=False)
class PendingClaim:
    """A claim that waits to be written, and later its result.

    Parameters
    ----------
    operation : decisions.Claim
        The claim operation.

    Notes
    -----
    Either `set_result` succeeds or `wait` times out, never both, so that the
    writer knows whether the request thread received the result.
    """

    operation: decisions.Claim
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)
    _done: threading.Event = attrs.field(factory=threading.Event, init=False)
    _result: object = attrs.field(default=None, init=False)

    @property
    def is_done(self):
        """Whether the claim has a result or its request thread timed out."""
        return self._result is not None

    def set_result(self, result):
        """Set the result and wake the request thread.

        Parameters
        ----------
        result : decisions.Claimed, decisions.Recorded or domain.Refusal
            Result of the claim.

        Returns
        -------
        bool
            False if the request thread has timed out.
        """
        with self._lock:
            if self._result is not None:
                return False
            self._result = result
        self._done.set()
        return True

    def wait(self, timeout_s):
        """Wait for the result; after a timeout, refuse the claim permanently.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds, 0 or more.

        Returns
        -------
        decisions.Claimed, decisions.Recorded or domain.Refusal
            Result of the claim.
        """
        self._done.wait(timeout_s)
        with self._lock:
            if self._result is None:
                self._result = domain.Refusal(
                    domain.ErrorKind.CLAIMS_UNAVAILABLE,
                    "the platform did not store the claim in time",
                )
            return self._result
