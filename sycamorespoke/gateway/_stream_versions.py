"""Keeps each stream at the software version that began it."""

import loguru

from sycamorespoke import decisions, domain

# A record is kept this much longer than the caller of the stream waits.
RECORD_MARGIN_S = 5.0
# A stream whose caller does not name its first request is known only by a list of
# upstreams that is confirmed and not older than this.
MAX_LIST_AGE_S = 4.0
UPSTREAMS = "upstreams"


class StreamVersions:
    """Decides which upstreams may continue a stream.

    Parameters
    ----------
    directory : OriginDirectory
        Records of the streams of all hosts.
    software_versions : SoftwareVersions
        Software versions of the listed upstreams over time.
    views : Views
        Current view, and how old it is.
    metrics : telemetry.Metrics
        Counts the streams that callers take up.
    listed_versions : ListedVersions
        What the source lists when it is asked.
    """

    def __init__(self, directory, software_versions, views, metrics, listed_versions):
        self.directory = directory
        self.software_versions = software_versions
        self.views = views
        self.metrics = metrics
        self.listed_versions = listed_versions

    def record_begin(self, request, origin, deadline_s, now):
        """Record the origin of a stream whose first event has arrived.

        Parameters
        ----------
        request : Request
            Request that brings the event to the caller.
        origin : decisions.StreamOrigin
            Upstreams that may continue the stream.
        deadline_s : float
            Deadline of the request, seconds of the boot clock.
        now : float
            Current time, seconds of the boot clock.
        """
        lifetime_s = max(deadline_s, request.deadline_s or 0.0) - now + RECORD_MARGIN_S
        self.directory.record(request.id, origin, lifetime_s, now)

    def find_origin(self, request, route, now):
        """Find which upstreams may continue the stream that a caller takes up.

        Parameters
        ----------
        request : Request
            The caller's request.
        route : Route
            Its route.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        decisions.StreamOrigin or domain.Refusal
            The refusal if no host that replies knows how the stream began.
        """
        origin, source = self._search(request, route, now)
        self.metrics.count("streams_taken_up", source=source, route=route.name)
        loguru.logger.bind(
            request_id=request.id,
            route=route.name,
            resumed_request=request.resumed_request_id,
            last_event_id=request.last_event_id,
            software_version=origin.software_version if origin else None,
            source=source,
        ).info("stream taken up")
        if origin is None:
            return domain.Refusal(
                domain.ErrorKind.STREAM_UNKNOWN,
                "it is not known which software version began the stream",
            )
        return origin

    def _search(self, request, route, now):
        """Return the origin, ``None`` if unknown, and how it was searched for."""
        if request.resumed_request_id:
            origin = self.directory.find(request.resumed_request_id, now)
            return origin, "record" if origin else "no record"
        origin = self._find_only_origin(route, now)
        return origin, "only version" if origin else "several versions"

    def _find_only_origin(self, route, now):
        """Return the only origin that streams of a route can have.

        It is used for callers that do not name their first request.
        """
        confirmed_s = self.views.get().confirmed_s_by_section.get(UPSTREAMS)
        if confirmed_s is None or now - confirmed_s > MAX_LIST_AGE_S:
            return None
        if len(route.weights_by_service) != 1:
            return None
        (service,) = route.weights_by_service
        since_s = now - route.timeout_s - RECORD_MARGIN_S
        version = self.software_versions.find_only(service, since_s)
        if version is None:
            return None
        # Upstreams of another version may have joined since the list was confirmed,
        # and the stream may have begun there through another host.
        listed = self.listed_versions.read(service, now)
        if listed is None or listed - {version}:
            return None
        return decisions.StreamOrigin(service, version)
