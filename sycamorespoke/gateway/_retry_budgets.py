"""How many calls this host may send once more."""

import threading

import attrs

from sycamorespoke import decisions


@attrs.define
class RetryBudgets:
    """Share of this host in the retries of each service.

    Parameters
    ----------
    ratio : float
        Retries for each request, from all hosts.
    slack : float
        Retries beyond that, from all hosts together.
    """

    ratio: float
    slack: float
    _lock: object = attrs.field(factory=threading.Lock, init=False, repr=False)
    _budgets_by_service: dict = attrs.field(factory=dict, init=False)

    def deposit(self, service, hosts):
        """Count a request for a service, with ``hosts`` entry hosts."""
        with self._lock:
            self._budgets_by_service[service] = self._get(service, hosts).deposit()

    def withdraw(self, service, hosts):
        """Take a retry if there is one.

        Returns
        -------
        bool
            Whether a request may be sent once more.
        """
        with self._lock:
            budget = self._get(service, hosts)
            if not budget.has_retry():
                return False
            self._budgets_by_service[service] = budget.withdraw()
            return True

    def _get(self, service, hosts):
        limit = max(self.slack / hosts, 1.0)
        budget = self._budgets_by_service.get(service)
        if budget is None:
            return decisions.RetryBudget(self.ratio, limit, limit)
        if budget.limit != limit:
            return attrs.evolve(budget, limit=limit, retries=min(budget.retries, limit))
        return budget
