"""Chooses the upstream for each attempt of a request."""

import math

import attrs

from sycamorespoke import decisions, domain, membership


@attrs.frozen
class Choice:
    """The upstream chosen for an attempt.

    Parameters
    ----------
    candidate : decisions.Candidate
        The chosen upstream.
    cost : decisions.Cost
        Estimated cost of the attempt.
    permit : membership.Permit or None, default=None
        Permit to use a cold upstream, ``None`` for a warm one.
    boot_id : str, default=""
        Boot ID for which the upstream is known to be warm; empty if a freshly
        started upstream may be used as well.
    """

    candidate: decisions.Candidate
    cost: decisions.Cost
    permit: membership.Permit | None = None
    boot_id: str = ""


class Chooser:
    """Chooses upstreams from the current view.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry host.
    get_view : callable
        Returns the current `membership.View`.
    table : UpstreamTable
        State of the upstreams.
    blocks : BlockPlanner
        Adds the blocks that an engine can import from stores.
    permits : Permits
        Acquires permits for cold upstreams.
    random : random.Random
        Random number generator for the choice.
    """

    def __init__(self, data_centre, get_view, table, blocks, permits, random):
        self.data_centre = data_centre
        self.get_view = get_view
        self.table = table
        self.blocks = blocks
        self.permits = permits
        self.random = random

    def get_contract(self, host):
        """Return the contract of an upstream's group.

        Parameters
        ----------
        host : domain.Host
            The upstream.

        Returns
        -------
        domain.Contract
            The default contract if the group has been removed.
        """
        group = self.get_view().configuration.groups_by_name.get(host.group)
        return group.contract if group else domain.Contract()

    def get_target_version(self, group_name):
        """Return the target weight version of a group, used for new requests.

        Parameters
        ----------
        group_name : str
            Name of the group.

        Returns
        -------
        str
            The version set by the configuration in force.
        """
        return self.get_view().configuration.groups_by_name[group_name].version

    def choose(self, request, group_name, excluded, free_names, now):
        """Choose the engine for a completion.

        Parameters
        ----------
        request : clients.GenerationRequest
            Request to send.
        group_name : str
            Name of the group that serves it.
        excluded : set of str
            Names of the hosts at which the request has failed already.
        free_names : set of str
            Names of the hosts that are below their concurrency limit.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        Choice or domain.Refusal
            The choice, or the refusal if there is none.
        """
        view = self.get_view()
        if not decisions.is_ready(view, now):
            return _refuse_unready()
        group = view.configuration.groups_by_name[group_name]
        hosts = self._select_hosts(group_name, now, excluded)
        candidates = self.table.select_candidates(hosts, group, request.block_keys)
        loaded = [
            candidate
            for candidate in candidates
            if _has_version(candidate, request.version)
        ]
        if candidates and not loaded:
            return domain.Refusal(
                domain.ErrorKind.VERSION_LOADING,
                f"no upstream has loaded version {request.version} yet",
            )
        located = self.blocks.add_stored_blocks(loaded, request.block_keys, now)
        prompt_tokens = domain.count_tokens(request.prompt)
        return self._choose_permitted(located, free_names, view, prompt_tokens, now)

    def may_send(self, choice, now):
        """Return whether a request may still be sent, right before it is sent.

        Parameters
        ----------
        choice : Choice
            From `choose`.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        bool
            ``True`` if neither the upstream nor its data centre has been taken out of
            service since the choice and the permit is still valid.
        """
        if choice.permit is not None and not self.permits.is_usable(choice.permit, now):
            return False
        return self.is_open(choice.candidate.host, now)

    def is_open(self, host, now):
        """Return whether a request may go to an upstream now.

        Parameters
        ----------
        host : domain.Host
            The upstream.
        now : float
            Current monotonic time, in seconds.
        """
        return decisions.is_upstream_eligible(
            host, self.get_view(), now, self.table.get_backoff_until_s(host.name)
        )

    def state_backoff(self, refusal, group_name, now):
        """Add when to retry to a refusal if every upstream of a group wants a backoff.

        Parameters
        ----------
        refusal : domain.Refusal
            Refusal for the caller.
        group_name : str
            Name of the group that serves the request.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        domain.Refusal
            Unchanged if an upstream may get requests, or if no end is known.
        """
        if refusal.kind is not domain.ErrorKind.NO_UPSTREAM:
            return refusal
        view = self.get_view()
        openings_s = [
            decisions.assess_host(
                host, view, now, self.table.get_backoff_until_s(host.name)
            ).compute_opening_s()
            for host in view.hosts.select(domain.HostRole.UPSTREAM)
            if host.group == group_name
        ]
        opening_s = min(openings_s, default=math.inf)
        if not now < opening_s < math.inf:
            return refusal
        return attrs.evolve(refusal, retry_after_s=math.ceil(opening_s - now))

    def release(self, choice):
        """Release the permit of a choice after the attempt has ended.

        Parameters
        ----------
        choice : Choice
            From `choose`.
        """
        if choice.permit is not None:
            self.permits.release(choice.permit)

    def choose_service(self, group_name, excluded, free_names, now):
        """Choose the upstream for a request of a plain service.

        Parameters
        ----------
        group_name : str
            Name of the group that serves it.
        excluded : set of str
            Names of the hosts at which the request has failed already.
        free_names : set of str
            Names of the hosts that are below their concurrency limit.
        now : float
            Current monotonic time, in seconds.

        Returns
        -------
        decisions.Candidate or domain.Refusal
            The choice, or the refusal if there is none.
        """
        view = self.get_view()
        if not decisions.is_ready(view, now):
            return _refuse_unready()
        group = view.configuration.groups_by_name[group_name]
        hosts = self._select_hosts(group_name, now, excluded)
        candidates = self.table.select_candidates(hosts, group, ())
        choice = self._choose_free(candidates, free_names, view, 0)
        return choice if isinstance(choice, domain.Refusal) else choice[0]

    def _choose_permitted(self, candidates, free_names, view, prompt_tokens, now):
        # A cold upstream without an available permit is excluded and the next
        # best one is tried.
        refusal = None
        while True:
            choice = self._choose_free(candidates, free_names, view, prompt_tokens)
            if isinstance(choice, domain.Refusal):
                return refusal or choice
            candidate, cost = choice
            if candidate.group.cold_limit >= candidate.group.limit:
                return Choice(candidate, cost)
            boot_id = self.table.get_warm_boot_id(candidate.host.name)
            if boot_id:
                return Choice(candidate, cost, boot_id=boot_id)
            permit = self.permits.acquire(candidate.host, now)
            if not isinstance(permit, domain.Refusal):
                return Choice(candidate, cost, permit)
            refusal = permit
            free_names = free_names - {candidate.host.name}

    def _choose_free(self, candidates, free_names, view, prompt_tokens):
        free = [
            self._add_data_centre(candidate, view)
            for candidate in candidates
            if candidate.host.name in free_names
        ]
        if candidates and not free:
            return domain.Refusal(
                domain.ErrorKind.OVERLOADED, "every upstream is at its limit"
            )
        return decisions.choose_upstream(
            free, view.configuration.cost_weights, prompt_tokens, self.random
        )

    def select_eligible_hosts(self, group_name, now, excluded=frozenset()):
        """Select the eligible upstreams of a group.

        Parameters
        ----------
        group_name : str
            Name of the group.
        now : float
            Current monotonic time, in seconds.
        excluded : set of str, default=frozenset()
            Names of hosts to leave out.

        Returns
        -------
        list of domain.Host
            Ordered by name.
        """
        view = self.get_view()
        return [
            host
            for host in view.hosts.select(domain.HostRole.UPSTREAM)
            if host.group == group_name
            and host.name not in excluded
            and self.is_open(host, now)
        ]

    def _select_hosts(self, group_name, now, excluded):
        """Select the eligible upstreams; for a retry those heard of, if any."""
        hosts = self.select_eligible_hosts(group_name, now, excluded)
        if not excluded:
            return hosts
        heard = self.table.contacts.select_heard([host.name for host in hosts], now)
        return [host for host in hosts if host.name in heard] or hosts

    def _add_data_centre(self, candidate, view):
        ends = domain.link_key(self.data_centre, candidate.host.data_centre)
        link = view.configuration.links_by_ends.get(ends)
        data_centre = view.configuration.data_centres_by_name.get(
            candidate.host.data_centre
        )
        return attrs.evolve(
            candidate,
            delay_s=link.delay_s if link else 0.0,
            data_centre_weight=data_centre.weight if data_centre else 1.0,
        )


def _has_version(candidate, version):
    report = candidate.report
    return report is None or report.version == version


def _refuse_unready():
    return domain.Refusal(
        domain.ErrorKind.NOT_READY, "the configuration is no longer confirmed"
    )
