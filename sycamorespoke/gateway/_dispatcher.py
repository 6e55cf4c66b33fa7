"""What goes with a call to the upstream that was chosen for an attempt."""

from sycamorespoke import decisions
from sycamorespoke.gateway import _requests

# Prompt tokens that an engine reads in a second when it does nothing else.
READ_TOKENS_PER_S = 90000.0


class Dispatcher:
    """Makes the dispatches of one call.

    Parameters
    ----------
    gateway : Gateway
        Serves the request and holds the collaborators.
    request : Request
        The call.
    route : Route
        Its route.
    account : Account or None
        Its client account.
    ends_s : float
        Deadline, seconds of the boot clock.

    Attributes
    ----------
    is_urgent : bool
        The last dispatch has the priority of its account or route, not a lower one.
    sent_s : float
        When it was made, seconds of the boot clock.
    read_s : float
        Estimated time to read its prompt, seconds.
    """

    def __init__(self, gateway, request, route, account, ends_s):
        self.gateway = gateway
        self.request = request
        self.route = route
        self.account = account
        self.ends_s = ends_s
        self.is_urgent = False
        self.sent_s = 0.0
        self.read_s = 0.0

    def make(self, choice, last_event_id):
        """Make what an attempt sends.

        Parameters
        ----------
        choice : Choice
            Where it goes.
        last_event_id : int or None
            Event after which a stream shall go on.

        Returns
        -------
        Dispatch
            With priority, cached parts to fetch and save, and time left.
        """
        scope, block_plan, until_ms, urgency = "", decisions.BlockPlan(), 0, None
        if self.request.prompt:
            scope = self._make_scope(choice)
            block_plan, until_ms = self._plan_blocks(choice, scope)
            urgency = self._choose_urgency(choice, block_plan)
        return _requests.Dispatch(
            upstream=choice.upstream,
            account=self.account,
            remaining_s=self.ends_s - self.gateway.read_clock(),
            priority=urgency,
            weight_version=choice.weight_version,
            cache_scope=scope,
            last_event_id=last_event_id,
            block_plan=block_plan,
            import_until_ms=until_ms,
        )

    def _make_scope(self, choice):
        """Name the cached parts that this call may share."""
        is_private = self.account is not None and self.account.is_isolated
        return decisions.BlockScope(
            self.request.prompt.model,
            choice.weight_version or 0,
            self.account.name if is_private else "",
        ).text

    def _plan_blocks(self, choice, scope):
        """Plan transfers for a call that must run on the newest weights."""
        view = self.gateway.views.get()
        now = self.gateway.read_clock()
        if choice.weight_version is None:
            return decisions.BlockPlan(), 0
        named = (view.versions_by_model or {}).get(self.request.prompt.model)
        may_import = decisions.may_import(
            choice.weight_version,
            named.version if named else 0,
            view.versions_confirmed_s,
            now,
        )
        return self.gateway.blocks.plan(
            self.request.prompt, scope, may_import, view.versions_confirmed_s, now
        )

    def _choose_urgency(self, choice, block_plan):
        now = self.gateway.read_clock()
        self.sent_s = now
        self.read_s = _estimate_read_s(self.request.prompt, block_plan)
        priority = self._read_priority()
        urgency = decisions.choose_urgency(
            priority,
            self.route.target_latency_s,
            now - self.request.arrived_s,
            self.gateway.table.estimate_wait_s(choice.upstream, now),
            self.read_s,
        )
        self.is_urgent = urgency == priority
        return urgency

    def _read_priority(self):
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def _estimate_read_s(prompt, block_plan):
    held = sum(
        block.tokens
        for block, address in zip(prompt.blocks, block_plan.import_from, strict=False)
        if address is not None
    )
    return max(prompt.input_tokens - held, 0) / READ_TOKENS_PER_S
