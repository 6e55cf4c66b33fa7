"""Builds the instructions that an upstream gets together with a request."""

from sycamorespoke import decisions
from sycamorespoke.gateway import _model, _requests

# Prefill rate of an engine that does nothing else.
PREFILL_TOKENS_PER_S = 90000.0


class Dispatcher:
    """Builds a `Dispatch` for each attempt of one request.

    Parameters
    ----------
    gateway : Gateway
        Gateway that serves the request.
    request : Request
        The request.
    route : Route
        Route of the request.
    account : Account or None
        Client account of the caller.
    deadline_s : float
        Deadline of the request, seconds of the boot clock.

    Attributes
    ----------
    has_full_priority : bool
        Whether the last dispatch has the priority of its account or route, not a
        lower one.
    sent_s : float
        When the last dispatch was built, seconds of the boot clock.
    prefill_s : float
        Estimated time to prefill the prompt of the last dispatch, seconds.
    """

    def __init__(self, gateway, request, route, account, deadline_s):
        self.gateway = gateway
        self.request = request
        self.route = route
        self.account = account
        self.deadline_s = deadline_s
        self.has_full_priority = False
        self.sent_s = 0.0
        self.prefill_s = 0.0
        self._dispatched_boot_ids = set()

    def build(self, choice, last_event_id):
        """Build the dispatch of an attempt.

        Parameters
        ----------
        choice : Choice
            Upstream that was chosen for the attempt.
        last_event_id : int or None
            ID of the event after which a stream resumes.

        Returns
        -------
        Dispatch
            Includes the priority, the blocks to import and export, and the time
            that remains.
        """
        scope, block_plan, until_ms, urgency = "", decisions.BlockPlan(), 0, None
        if self.request.prompt:
            scope = self._make_scope(choice)
            block_plan, until_ms = self._plan_blocks(choice, scope)
            urgency = self._choose_urgency(choice, block_plan, last_event_id)
        return _requests.Dispatch(
            upstream=choice.upstream,
            account=self.account,
            remaining_s=self.deadline_s - self.gateway.read_clock(),
            priority=urgency,
            weight_version=choice.weight_version,
            cache_scope=scope,
            last_event_id=last_event_id,
            block_plan=block_plan,
            import_until_ms=until_ms,
            needs_new_connection=self._needs_new_connection(choice.upstream),
        )

    def _needs_new_connection(self, upstream):
        # A response to an earlier attempt at the same upstream has the same ID.
        is_repeated = upstream.boot_id in self._dispatched_boot_ids
        self._dispatched_boot_ids.add(upstream.boot_id)
        return is_repeated or self.route.kind is _model.RouteKind.UNSAFE

    def _make_scope(self, choice):
        """Return the cache scope in which this request may reuse blocks."""
        configuration = self.gateway.views.get().configuration
        model, version = self.request.prompt.model, choice.weight_version or 0
        if self.account is not None and self._is_isolated(configuration):
            return decisions.BlockScope(model, version, self.account.name).text
        exclusion = configuration.exclusion
        return decisions.BlockScope(model, version, exclusion=exclusion).text

    def _is_isolated(self, configuration):
        """Return whether the account is isolated now, or was when the request came."""
        name = self.account.name
        return self.account.is_isolated or name in configuration.isolated_accounts

    def _plan_blocks(self, choice, scope):
        """Plan block transfers; imports only for the newest known weight version."""
        view = self.gateway.views.get()
        now = self.gateway.read_clock()
        if choice.weight_version is None:
            return decisions.BlockPlan(), 0
        target = (view.targets_by_model or {}).get(self.request.prompt.model)
        may_import = decisions.may_import(
            choice.weight_version,
            target.version if target else 0,
            view.versions_confirmed_s,
            now,
        )
        may_import = may_import and self.gateway.block_planner.may_use_stores(view, now)
        return self.gateway.block_planner.plan(
            self.request.prompt, scope, may_import, view.versions_confirmed_s, now
        )

    def _choose_urgency(self, choice, block_plan, last_event_id):
        now = self.gateway.read_clock()
        self.sent_s = now
        self.prefill_s = _estimate_prefill_s(self.request.prompt, block_plan)
        priority = self._get_priority()
        if self.request.continues_stream or last_event_id is not None:
            # Its caller has had the first event already.
            self.has_full_priority = False
            is_shared = choice.expected_wait_s is not None
            return self._share_urgency(is_late=False) if is_shared else priority
        if choice.expected_wait_s is not None:
            elapsed_s = now - self.request.arrived_s
            is_late = elapsed_s + self.prefill_s > self.route.target_latency_s
            self.has_full_priority = not is_late
            return self._share_urgency(is_late)
        urgency = decisions.choose_urgency(
            priority,
            self.route.target_latency_s,
            now - self.request.arrived_s,
            self.gateway.table.estimate_wait_s(choice.upstream, now),
            self.prefill_s,
        )
        self.has_full_priority = urgency == priority
        return urgency

    def _share_urgency(self, is_late):
        account_priority = self.account.priority if self.account else None
        return decisions.choose_shared_urgency(
            self.route.priority, account_priority, is_late
        )

    def _get_priority(self):
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def _estimate_prefill_s(prompt, block_plan):
    imported_tokens = sum(
        block.tokens
        for block, address in zip(prompt.blocks, block_plan.import_from, strict=False)
        if address is not None
    )
    return max(prompt.input_tokens - imported_tokens, 0) / PREFILL_TOKENS_PER_S
