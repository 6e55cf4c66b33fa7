"""Limits the retries that this host sends to each service."""

import threading

import attrs

from sycamorespoke import decisions


@attrs.define
class RetryBudgets:
    """Share of this host in the retry budget of each service.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in addition, for all hosts together.
    """

    ratio: float
    slack: float
    _lock: object = attrs.field(factory=threading.Lock, init=False, repr=False)
    _budgets_by_service: dict = attrs.field(factory=dict, init=False)

    def deposit(self, service, hosts):
        """Add a request to the budget of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        hosts : int
            Number of entry hosts that share the slack, 1 or more.
        """
        with self._lock:
            self._budgets_by_service[service] = self._get(service, hosts).deposit()

    def withdraw(self, service, hosts):
        """Withdraw a retry from the budget of a service; parameters as `deposit`.

        Returns
        -------
        bool
            Whether a request may be sent again.
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
