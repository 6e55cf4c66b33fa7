"""Updates the view of this host from the shared objects."""

import functools
import threading

import loguru

from sycamorespoke import decisions, objects, quarantine, serving
from sycamorespoke.gateway import (
    _orders,
    _rollout_states,
    _target_versions,
    _task_messages,
    _views,
    _weight_rollout,
)

FRESHNESS_BY_SECTION = {
    _views.CONFIGURATION: decisions.Freshness.URGENT,
    "upstreams": decisions.Freshness.URGENT,
    "data_centres_out": decisions.Freshness.URGENT,
    # Stored blocks are only used once their weights were confirmed after the export.
    _views.VERSIONS: decisions.Freshness.CONFIRMED,
    "hosts": decisions.Freshness.RELAXED,
    "leases": decisions.Freshness.RELAXED,
    "crashes": decisions.Freshness.URGENT,
    _views.ROLLOUTS: decisions.Freshness.URGENT,
}
# Time that an operator or a host has to remove what an older copy brought back.
HELD_BACK_S = 2.0
# Time that an operator or a host has to write again what an older copy lacks.
RETAINED_S = 2.0
# Hosts register again in turns.
RETAINED_HOST_S = 10.0
# Upstreams that no longer run are removed after some reports that they fail to send.
HELD_BACK_UPSTREAM_S = 15.0
# Sections that every host reads itself when it starts.
FIRST_SECTIONS = frozenset({_views.CONFIGURATION, "hosts"})


class ViewUpdater:
    """Follows each kind of shared objects and updates the sections of the view.

    Parameters
    ----------
    kinds : ObjectKinds
        Names and parsers of the kinds.
    source : SharedSource
        Source of the objects.
    views : Views
        The view to update.
    actors_by_lease : dict of str to pykka.ActorRef
        Actors that receive the updates of their lease.
    table : UpstreamTable
        Records the weight versions that engines are announced to have loaded, and the
        upstreams that are draining.
    software_versions : SoftwareVersions
        Records which software versions are listed.
    choose_timing : callable
        Takes the `decisions.Freshness` of a section and returns its
        `decisions.WatchTiming`.
    on_configuration : callable
        Called with the view after each new configuration.
    rollouts : rollouts.Rollouts or None, default=None
        Records the orders to bring in software versions; ``None`` if they are not
        followed.
    """

    def __init__(
        self,
        kinds,
        source,
        views,
        actors_by_lease,
        table,
        software_versions,
        choose_timing,
        on_configuration,
        rollouts=None,
    ):
        self.kinds = kinds
        self.source = source
        self.views = views
        self.actors_by_lease = actors_by_lease
        self.table = table
        self.software_versions = software_versions
        self.choose_timing = choose_timing
        self.on_configuration = on_configuration
        self.rollouts = rollouts
        if rollouts is not None:
            views.replace_fields(rollouts_by_name=None)
        self._announced = None
        self._versions_by_boot = {}
        self._followers = self._make_followers()

    def start(self, wait_for_hosts):
        """Follow each kind in a background thread.

        Parameters
        ----------
        wait_for_hosts : callable
            Waits until the list of hosts seems to be whole. Only the kinds that show
            this are followed before.
        """
        for follower in self._followers:
            if follower.subscription.section in FIRST_SECTIONS:
                follower.start()
        threading.Thread(
            target=self._start_others, args=(wait_for_hosts,), daemon=True
        ).start()

    def _start_others(self, wait_for_hosts):
        try:
            wait_for_hosts()
        except Exception:
            loguru.logger.exception("waiting for the list of hosts failed")
        for follower in self._followers:
            if follower.subscription.section not in FIRST_SECTIONS:
                follower.start()

    def count_malformed(self):
        """Return the number of objects left out because of their form, by section."""
        return {
            follower.subscription.section: follower.count_malformed()
            for follower in self._followers
        }

    def _make_followers(self):
        subscriptions = [
            self._make_subscription(_views.CONFIGURATION, self._handle_configuration),
            self._make_subscription(
                "upstreams",
                self._handle_upstreams,
                _may_retain,
                objects.RemovedItems(_get_boot_id, HELD_BACK_UPSTREAM_S),
            ),
            self._make_subscription(
                "data_centres_out",
                self._handle_data_centres_out,
                removed=_make_removed_items(),
            ),
            self._make_subscription(_views.VERSIONS, self._handle_versions),
            self._make_subscription(
                "hosts",
                self._handle_hosts,
                removed=_make_removed_items(RETAINED_HOST_S),
            ),
            self._make_subscription("leases", self._handle_leases),
            self._make_subscription(
                "crashes", self._handle_crashes, removed=_make_removed_items()
            ),
        ]
        if self.rollouts is not None:
            subscriptions.append(
                self._make_subscription(_views.ROLLOUTS, self._handle_rollouts)
            )
        return [
            objects.Follower(
                self.source,
                subscription,
                serving.read_clock,
                self.views.confirm,
                functools.partial(
                    self.choose_timing, FRESHNESS_BY_SECTION[subscription.section]
                ),
            )
            for subscription in subscriptions
        ]

    def _make_subscription(self, section, publish, retains_missing=None, removed=None):
        kind = getattr(self.kinds, section)
        return objects.Subscription(
            section,
            kind.name,
            kind.parse,
            publish,
            retains_missing,
            removed or objects.NoRemovedItems(),
        )

    def _handle_configuration(self, items_by_name, now):
        for configuration in items_by_name.values():
            current = self.views.get().configuration
            if current is not None and configuration.version < current.version:
                loguru.logger.bind(
                    version=configuration.version, in_force=current.version
                ).warning("older configuration not taken")
            if self.views.set_configuration(configuration):
                self.on_configuration(self.views.get())
                loguru.logger.bind(
                    version=configuration.version, routes=len(configuration.routes)
                ).info("configuration in force")

    def _handle_upstreams(self, items_by_name, now):
        previous = self.views.get().upstreams_by_id or {}
        # Recorded, so that an older copy of the list does not take it back.
        for upstream in items_by_name.values():
            if upstream.is_draining:
                self.table.record_leaving(upstream, now)
        self.software_versions.record(items_by_name.values(), now)
        if self.rollouts is not None:
            self.rollouts.record_upstreams(items_by_name.values(), now)
        # Before the list is in use, so that no request is sent with an older version.
        self._record_announced(items_by_name.values())
        self.views.replace_fields(upstreams_by_id=items_by_name)
        for name in previous.keys() - items_by_name.keys():
            loguru.logger.bind(upstream=name).info("upstream gone")
        for name, upstream in items_by_name.items():
            if previous.get(name) != upstream:
                _log_upstream(name, upstream)

    def _handle_data_centres_out(self, items_by_name, now):
        out = frozenset(items_by_name)
        self.views.replace_fields(data_centres_out=out)
        loguru.logger.bind(data_centres=sorted(out)).info("data centres out")

    def _handle_versions(self, items_by_name, now):
        self.views.set_targets(items_by_name.values(), now)
        targets_by_model = self.views.get().targets_by_model
        loguru.logger.bind(
            versions={
                model: target.version for model, target in targets_by_model.items()
            },
            max_age_ms={
                model: _target_versions.compute_max_age_ms(target.named, now)
                for model, target in targets_by_model.items()
            },
        ).info("weights named")
        self.actors_by_lease[_weight_rollout.LEASE_NAME].tell(_task_messages.Tick(now))

    def _handle_rollouts(self, items_by_name, now):
        self.rollouts.record_orders(items_by_name.values(), now)
        self.views.replace_fields(rollouts_by_name=items_by_name)
        actor = self.actors_by_lease[_rollout_states.LEASE_NAME]
        actor.tell(_task_messages.Tick(now))

    def _handle_hosts(self, items_by_name, now):
        self.views.replace_fields(hosts_by_name=items_by_name)

    def _handle_leases(self, items_by_name, now):
        for name, actor in self.actors_by_lease.items():
            if name in items_by_name:
                actor.tell(items_by_name[name])
        announced = items_by_name.get(_weight_rollout.LOADING_NAME)
        if announced is not None and announced != self._announced:
            self._announced = announced
            self._handle_announcement(
                _orders.LoadAnnouncement.from_value(announced.value), now
            )

    def _handle_crashes(self, items_by_name, now):
        previous = self.views.get().crashes
        crashes = quarantine.CrashRecords.from_items(items_by_name.values())
        self.views.replace_fields(crashes=crashes)
        # Verdicts that an older copy of the store lacks stay in the view.
        self.views.get().crashes.log_changes(previous)

    def _handle_announcement(self, announcement, now):
        self._versions_by_boot = announcement.versions_by_boot
        # Record versions before the engines stop counting as loading, so that no
        # request is sent with the previous version.
        self._record_announced((self.views.get().upstreams_by_id or {}).values())
        loading = frozenset(announcement.loading)
        self.views.replace_fields(loading=loading, loading_seen_s=now)
        loguru.logger.bind(upstreams=sorted(loading)).info("engines load weights")

    def _record_announced(self, upstreams):
        """Record the versions that some upstreams are announced to have loaded."""
        for upstream in upstreams:
            loaded = self._versions_by_boot.get(upstream.boot_id, {})
            for model, version in loaded.items():
                self.table.record_version(upstream, model, version)


def _log_upstream(name, upstream):
    loguru.logger.bind(
        upstream=name,
        service=upstream.service,
        data_centre=upstream.data_centre,
        draining=upstream.is_draining,
        cold_s=upstream.cold_s,
        versions=upstream.versions_by_model,
        software_version=upstream.software_version,
    ).info("upstream changed")


def _make_removed_items(retained_s=RETAINED_S):
    """Make the memory of a kind whose items are alike if their names are."""
    return objects.RemovedItems(lambda item: None, HELD_BACK_S, retained_s)


def _get_boot_id(upstream):
    return upstream.boot_id


def _may_retain(upstream):
    return not upstream.is_draining
