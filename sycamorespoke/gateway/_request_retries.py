"""Whether one request may be sent again, and to which upstreams."""

from sycamorespoke import retries
from sycamorespoke.gateway import _upstream_observer


class RequestRetries:
    """Counts where a request has been, and asks the retry budgets for more.

    Parameters
    ----------
    gateway : Gateway
        Has the retry budgets, and the contacts with the upstreams.
    request : Request
        The request.
    route : Route
        Route of the request.
    deadline_s : float
        Deadline of the request, seconds of the boot clock.
    gate : RequestGate
        Answers whether the request may go to an upstream.
    hold_ended : threading.Event
        Ends a wait early.

    Attributes
    ----------
    reached_boot_ids : set of str
        Upstreams that received the request from this host, whether or not they ran it.
    excluded_boot_ids : set of str
        Upstreams that do not get it again.
    """

    def __init__(self, gateway, request, route, deadline_s, gate, hold_ended):
        self.gateway = gateway
        self.route = route
        self.gate = gate
        self.reached_boot_ids = set()
        self.excluded_boot_ids = set()
        # Upstreams that received it from hosts that refused it then.
        self._reached_elsewhere = 0
        self._budget = _make_budget(gateway.budgets, request, route, deadline_s)
        self._contact = retries.AttemptContact(gateway.contacts)
        self._silence_wait = retries.SilenceWait(gateway.contacts, hold_ended)

    @property
    def is_retry(self):
        """Whether an upstream has received the request from this host already."""
        return bool(self.reached_boot_ids)

    @property
    def is_counted(self):
        """Whether the request has been counted in a retry budget."""
        return self._budget.is_counted

    def begin(self, upstream):
        """Record that an attempt begins at an upstream."""
        now = self.gateway.read_clock()
        self._budget.deposit(upstream.service, now)
        self._contact.begin(upstream.boot_id, now)

    def record_heard(self):
        """Record that the upstream of the attempt has sent something."""
        now = self.gateway.read_clock()
        self._contact.hear(now)
        self._budget.record_read(now)

    def end(self, kind=None):
        """Record the end of the attempt, if one has not ended.

        Parameters
        ----------
        kind : domain.ErrorKind or None, default=None
            Why it got no response.
        """
        was_waiting = kind in _upstream_observer.GIVEN_UP_KINDS
        self._contact.end(was_waiting)
        if was_waiting:
            self._budget.record_given_up(self.gateway.read_clock())

    def exclude_reached(self, upstream):
        """Exclude an upstream that received the request from further attempts."""
        self.reached_boot_ids.add(upstream.boot_id)
        self.excluded_boot_ids.add(upstream.boot_id)

    def count_elsewhere(self, head):
        """Count what a host that refused the request did with it before.

        Parameters
        ----------
        head : ResponseHead or None
            Head of its response; ``None`` without any.
        """
        if head is None:
            return
        self._reached_elsewhere += head.reached
        if head.is_counted:
            self._budget.record_counted()

    def count_reached(self):
        """Return how many upstreams have received the request, from any host."""
        return len(self.reached_boot_ids) + self._reached_elsewhere

    def count_left(self):
        """Return how many more upstreams may receive the request."""
        return self._budget.count_left(self.count_reached())

    def reserve(self, service):
        """Withdraw a retry for later, while an upstream of the service has the request.

        Returns
        -------
        bool
            Whether another upstream may receive it.
        """
        reached = self.count_reached() + 1
        now = self.gateway.read_clock()
        return self._budget.reserve(service, reached, self._count_hosts(), now)

    def withdraw(self, service):
        """Decide whether the request is sent again; uses up one retry if so."""
        reached = self.count_reached()
        now = self.gateway.read_clock()
        return self._budget.withdraw(service, reached, self._count_hosts(), now)

    def wait_for_contact(self, view, now):
        """Wait a moment while all upstreams that may get a retry are silent.

        Parameters
        ----------
        view : View
            Current view of the deployment.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether it has waited, so that all is to be decided again.
        """
        if not self.is_retry:
            return False
        upstreams_by_boot = {
            each.boot_id: each
            for service in self.route.weights_by_service
            for each in view.list_upstreams(service)
            if each.boot_id not in self.excluded_boot_ids
        }

        def may_get(boot_id):
            return self.gate.find_bar(upstreams_by_boot[boot_id], now) is None

        return self._silence_wait.wait(upstreams_by_boot, may_get, now)

    def _count_hosts(self):
        return max(len(self.gateway.views.get().hosts), 1)


def _make_budget(budgets, request, route, deadline_s):
    mark = request.forward_mark
    if mark is None:
        return retries.AttemptBudget(budgets, route.attempts, deadline_s)
    attempts = min(route.attempts, mark.attempts)
    return retries.AttemptBudget(budgets, attempts, deadline_s, mark.is_counted)
