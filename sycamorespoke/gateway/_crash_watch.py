"""Relates one request to the upstreams that end while they serve it."""

import functools

from sycamorespoke import decisions, domain
from sycamorespoke.gateway import _fingerprint, _requests


class CrashWatch:
    """Checks and reports the contents of one request.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the request.
    request : Request
        The request.
    account : Account or None
        Client account of the caller.
    """

    def __init__(self, gateway, request, account):
        self.gateway = gateway
        self.request = request
        self.account = account

    @functools.cached_property
    def fingerprint(self):
        """Hash that is equal if the same caller sends the request again."""
        return _fingerprint.compute_fingerprint(self.request, self.account)

    def find_refusal(self, view, now):
        """Return a `domain.Refusal` if contents are in quarantine, else ``None``."""
        if not view.crashes.quarantined_by_content:
            return None
        contents = self._list_contents(with_blocks=True)
        quarantined = view.crashes.find_quarantined(contents)
        return quarantined.make_refusal(now) if quarantined is not None else None

    def record_whole(self, head, now):
        """Record a complete response with a head, which shows the contents sound."""
        # Without framing, the end of the upstream may have cut the response.
        is_proven = head.framing is not _requests.Framing.CONNECTION_END
        if head.is_success and is_proven:
            contents = self._list_contents(with_blocks=True)
            self.gateway.crash_monitor.record_whole(contents, now)

    def record_lost(self, upstream, kind, has_begun, now):
        """Record that an attempt failed.

        Parameters
        ----------
        upstream : Upstream
            Upstream to which the request was sent.
        kind : domain.ErrorKind
            Kind of the failure; only those of the connection are of interest.
        has_begun : bool
            Whether the upstream had begun its response. Before that the request may
            have waited in a queue, so that its prompt was not processed yet.
        now : float
            Current time, seconds of the boot clock.
        """
        if kind is domain.ErrorKind.UPSTREAM_LOST:
            contents = self._list_contents(with_blocks=has_begun)
            self.gateway.crash_monitor.record_lost(
                upstream, self.fingerprint, contents, now
            )

    def _list_contents(self, with_blocks):
        contents = []
        if with_blocks and self.request.prompt is not None:
            contents += [
                decisions.Content(decisions.ContentKind.BLOCK, block_id)
                for block_id in self.request.prompt.shared_block_ids
            ]
        request = decisions.Content(decisions.ContentKind.REQUEST, self.fingerprint)
        return (*contents, request)
