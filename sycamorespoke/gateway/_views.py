"""The state of the deployment as this host knows it, and how old that state is."""

import threading

import attrs

from sycamorespoke import clients, decisions, quarantine
from sycamorespoke.gateway import _model, _target_versions

CONFIGURATION = "configuration"
VERSIONS = "versions"
ROLLOUTS = "rollouts"
# A load announcement expires after this time, in case its host fails to replace it.
LOADING_TIMEOUT_S = 3.0


@attrs.frozen
class View:
    """Immutable view of the deployment; each change creates a new one.

    Parameters
    ----------
    configuration : Configuration or None, default=None
        Configuration in force; ``None`` if unknown.
    upstreams_by_id : dict of str to Upstream or None, default=None
        Registered upstreams; ``None`` if unknown.
    data_centres_out : frozenset of str or None, default=None
        Data centres out of service, whose upstreams get no requests; ``None`` if
        unknown.
    targets_by_model : dict of str to TargetVersion or None, default=None
        Target versions; ``None`` if unknown.
    loading : frozenset of str, default=()
        Boot IDs of engines that load weights and accept no requests meanwhile.
    loading_seen_s : float, default=-inf
        When ``loading`` was received, seconds of the boot clock.
    hosts_by_name : dict of str to Host
        Registered entry hosts.
    crashes : quarantine.CrashRecords
        Reports of all hosts on upstreams that ended, and contents in quarantine.
    rollouts_by_name : dict of str to rollouts.RolloutOrder or None
        Orders to bring in software versions; ``None`` if they are followed and not
        known yet.
    confirmed_s_by_section : dict of str to float
        When the source last confirmed each section, seconds of the boot clock.
    """

    configuration: _model.Configuration | None = None
    upstreams_by_id: dict[str, _model.Upstream] | None = None
    data_centres_out: frozenset[str] | None = None
    targets_by_model: dict[str, _target_versions.TargetVersion] | None = None
    loading: frozenset[str] = frozenset()
    loading_seen_s: float = float("-inf")
    hosts_by_name: dict[str, _model.Host] = attrs.field(factory=dict)
    crashes: quarantine.CrashRecords = attrs.field(factory=quarantine.CrashRecords)
    rollouts_by_name: dict | None = attrs.field(factory=dict)
    confirmed_s_by_section: dict[str, float] = attrs.field(factory=dict)

    @property
    def is_complete(self):
        """Whether all sections that are needed to serve requests are known."""
        return None not in (
            self.configuration,
            self.upstreams_by_id,
            self.data_centres_out,
            self.targets_by_model,
            self.rollouts_by_name,
        )

    @property
    def hosts(self):
        """Names of the entry hosts."""
        return self.hosts_by_name.keys()

    @property
    def versions_confirmed_s(self):
        """When the target versions were last confirmed, seconds of the boot clock."""
        return self.confirmed_s_by_section.get(VERSIONS, float("-inf"))

    @property
    def rollouts_confirmed_s(self):
        """When the rollouts were last confirmed, seconds of the boot clock."""
        return self.confirmed_s_by_section.get(ROLLOUTS, float("-inf"))

    @property
    def configuration_confirmed_s(self):
        """When the configuration was last confirmed, seconds of the boot clock."""
        return self.confirmed_s_by_section.get(CONFIGURATION, float("-inf"))

    def list_upstreams(self, service):
        """Return the registered upstreams of a service as a list."""
        upstreams = (self.upstreams_by_id or {}).values()
        return [upstream for upstream in upstreams if upstream.service == service]

    def is_loading(self, upstream, now):
        """Return whether an engine is announced to load weights at ``now``."""
        is_recent = now - self.loading_seen_s <= LOADING_TIMEOUT_S
        return is_recent and upstream.boot_id in self.loading

    def list_boot_ids(self):
        """Return the boot IDs of all registered upstreams as a set."""
        return {upstream.boot_id for upstream in (self.upstreams_by_id or {}).values()}


class Views:
    """Holds the current view; thread-safe.

    Parameters
    ----------
    history : clients.StoreHistory or None, default=None
        Tells the era of the store.
    """

    def __init__(self, history=None):
        self.history = history or clients.StoreHistory()
        self._lock = threading.Lock()
        self._view = View()

    def get(self):
        """Return the current `View`, which later changes do not modify."""
        return self._view

    def is_registered(self, upstream):
        """Return whether this start of an upstream is registered."""
        return upstream.boot_id in self._view.list_boot_ids()

    def set_configuration(self, configuration):
        """Adopt a configuration unless a newer one is in force.

        Returns
        -------
        bool
            Whether the configuration was adopted.
        """
        with self._lock:
            current = self._view.configuration
            if current is not None and configuration.version <= current.version:
                return False
            self._view = attrs.evolve(self._view, configuration=configuration)
            return True

    def set_targets(self, targets, now):
        """Adopt target versions, but none that is older than the one in force.

        A target that is no longer listed stays in force.

        Parameters
        ----------
        targets : iterable of TargetVersion
            The targets that are listed.
        now : float
            Current time, seconds of the boot clock.
        """
        with self._lock:
            current_by_model = self._view.targets_by_model or {}
            named = decisions.NamingTime(self._view.versions_confirmed_s, now)
            listed_by_model = {
                target.model: _choose_newer(
                    current_by_model.get(target.model), target, named, now
                )
                for target in targets
            }
            # One that is missing may only be unreadable for a moment.
            targets_by_model = {**current_by_model, **listed_by_model}
            self._view = attrs.evolve(self._view, targets_by_model=targets_by_model)

    def refine_target(self, model, named_versions):
        """Add what another host knows of when the targets of a model were named.

        Parameters
        ----------
        model : str
            Name of the model.
        named_versions : iterable of NamedVersion
            What it knows.

        Returns
        -------
        bool
            Whether this host knows more than before.
        """
        with self._lock:
            targets_by_model = self._view.targets_by_model or {}
            target = targets_by_model.get(model)
            refined = target and target.refine(named_versions)
            if refined == target:
                return False
            targets_by_model = {**targets_by_model, model: refined}
            self._view = attrs.evolve(self._view, targets_by_model=targets_by_model)
            return True

    def replace_fields(self, **fields):
        """Replace fields of the view by name, see `View`.

        A quarantine that a later era of the store lacks stays among the ``crashes``.
        """
        with self._lock:
            if "crashes" in fields:
                fields["crashes"] = fields["crashes"].keep_lost(
                    self._view.crashes, self.history.era
                )
            self._view = attrs.evolve(self._view, **fields)

    def discard_lost(self, contents):
        """End the quarantines of some contents that a later era may lack."""
        with self._lock:
            crashes = self._view.crashes.discard_lost(contents, self.history.era)
            self._view = attrs.evolve(self._view, crashes=crashes)

    def confirm(self, section, now):
        """Record that the source confirmed a section at ``now``."""
        with self._lock:
            confirmed = {**self._view.confirmed_s_by_section, section: now}
            self._view = attrs.evolve(self._view, confirmed_s_by_section=confirmed)


def _choose_newer(current, target, named, now):
    """Return the newer of two targets; ``named`` says when a new one was named."""
    if current is None:
        return attrs.evolve(target, named=named)
    if target.version <= current.version:
        return current
    return current.replace_by(target, named, now)
