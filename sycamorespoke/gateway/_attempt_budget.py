"""How many more upstreams may receive one request."""


class AttemptBudget:
    """Counts one request in the retry budgets and limits its attempts.

    Parameters
    ----------
    gateway : Gateway
        Has the retry budgets of the services.
    request : Request
        The request.
    route : Route
        Route of the request.
    """

    def __init__(self, gateway, request, route):
        self.gateway = gateway
        self.request = request
        self.route = route
        self._deposited_services = set()
        self._reserved_service = None

    @property
    def is_counted(self):
        """Whether the request has been counted in a retry budget."""
        return bool(self._deposited_services)

    def deposit(self, service):
        """Count the request in the budget of a service, once."""
        mark = self.request.forward_mark
        if mark is not None and mark.is_counted:
            return
        if service in self._deposited_services:
            return
        self._deposited_services.add(service)
        self.gateway.budgets.deposit(service, self._count_hosts())

    def reserve(self, service, reached):
        """Withdraw a retry that the next call of `withdraw` uses; parameters as there.

        Returns
        -------
        bool
            Whether another upstream may receive the request.
        """
        if self._reserved_service is None and self.withdraw(service, reached):
            self._reserved_service = service
        return self._reserved_service == service

    def withdraw(self, service, reached):
        """Decide whether the request is sent again; uses up one retry if so.

        Parameters
        ----------
        service : str
            Service of the upstream that failed.
        reached : int
            Number of upstreams that have received the request.

        Returns
        -------
        bool
            Whether another upstream may receive it.
        """
        if self.count_left(reached) <= 0:
            return False
        if self._reserved_service == service:
            self._reserved_service = None
            return True
        return self.gateway.budgets.withdraw(service, self._count_hosts())

    def count_left(self, reached):
        """Return how many more upstreams may receive the request."""
        attempts = self.route.attempts
        if self.request.forward_mark is not None:
            attempts = min(attempts, self.request.forward_mark.attempts)
        return attempts - reached

    def _count_hosts(self):
        return max(len(self.gateway.views.get().hosts), 1)
