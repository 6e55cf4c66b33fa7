"""What this host believes of the deployment, and how old that is."""

import threading

import attrs

from sycamorespoke.gateway import _model

CONFIGURATION = "configuration"
VERSIONS = "versions"
# An announcement of loads that nobody takes back counts no longer than this.
LOADING_TIMEOUT_S = 3.0


@attrs.frozen
class View:
    """One consistent belief; each change makes a new one.

    Parameters
    ----------
    configuration : Configuration or None, default=None
        What the operators want; ``None`` while it is not known.
    upstreams_by_id : dict of str to Upstream or None, default=None
        Registered upstreams; ``None`` while they are not known.
    data_centres_out : frozenset of str or None, default=None
        Data centres whose upstreams get nothing; ``None`` while not known.
    versions_by_model : dict of str to TargetVersion or None, default=None
        Weights that the operators want; ``None`` while not known.
    loading : frozenset of str, default=()
        Starts of engines that load weights and take no request meanwhile.
    loading_seen_s : float, default=-inf
        When that was learned, seconds of the boot clock.
    hosts_by_name : dict of str to Host
        Entry hosts that have registered.
    confirmed_s_by_section : dict of str to float
        When the source last confirmed each part, seconds of the boot clock.
    """

    configuration: _model.Configuration | None = None
    upstreams_by_id: dict[str, _model.Upstream] | None = None
    data_centres_out: frozenset[str] | None = None
    versions_by_model: dict[str, _model.TargetVersion] | None = None
    loading: frozenset[str] = frozenset()
    loading_seen_s: float = float("-inf")
    hosts_by_name: dict[str, _model.Host] = attrs.field(factory=dict)
    confirmed_s_by_section: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_complete(self):
        """Whether every part that serving needs is known."""
        return None not in (
            self.configuration,
            self.upstreams_by_id,
            self.data_centres_out,
            self.versions_by_model,
        )

    @property
    def hosts(self):
        """Names of the entry hosts."""
        return self.hosts_by_name.keys()

    @property
    def versions_confirmed_s(self):
        """When the named weights were last confirmed, seconds of the boot clock."""
        return self.confirmed_s_by_section.get(VERSIONS, float("-inf"))

    def list_upstreams(self, service):
        """List the upstreams of a service that may get new work.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Upstream
            Neither draining nor in a data centre that is out.
        """
        return [
            upstream
            for upstream in (self.upstreams_by_id or {}).values()
            if upstream.service == service
            and not upstream.is_draining
            and upstream.data_centre not in (self.data_centres_out or ())
        ]

    def is_loading(self, upstream, now):
        """Return whether an engine is believed to load weights at ``now``."""
        is_recent = now - self.loading_seen_s <= LOADING_TIMEOUT_S
        return is_recent and upstream.boot_id in self.loading

    def list_boot_ids(self):
        """Return the starts of all registered upstreams as a set."""
        return {upstream.boot_id for upstream in (self.upstreams_by_id or {}).values()}


class Views:
    """Holds the present view; a view that was read stays as it is."""

    def __init__(self):
        self._lock = threading.Lock()
        self._view = View()

    def get(self):
        """Return the present `View`."""
        return self._view

    def set_configuration(self, configuration):
        """Adopt a configuration unless a newer one is in force.

        Returns
        -------
        bool
            Whether it was adopted.
        """
        with self._lock:
            current = self._view.configuration
            if current is not None and configuration.version <= current.version:
                return False
            self._view = attrs.evolve(self._view, configuration=configuration)
            return True

    def replace_fields(self, **parts):
        """Replace parts of the view by name, see `View`."""
        with self._lock:
            self._view = attrs.evolve(self._view, **parts)

    def confirm(self, section, now):
        """Note that the source has confirmed a part at ``now``."""
        with self._lock:
            confirmed = {**self._view.confirmed_s_by_section, section: now}
            self._view = attrs.evolve(self._view, confirmed_s_by_section=confirmed)
