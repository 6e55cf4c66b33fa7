"""How many more upstreams may receive one request."""

from sycamorespoke.retries import _budgets


class AttemptBudget:
    """Counts one request in the retry budgets and limits its attempts.

    Parameters
    ----------
    budgets : RetryBudgets
        Retry budgets of the services.
    attempts : int
        Number of upstreams that may receive the request, 1 or more.
    deadline_s : float
        Deadline of the request, seconds of the boot clock.
    is_counted : bool, default=False
        Whether another host has counted the request already.
    """

    def __init__(self, budgets, attempts, deadline_s, is_counted=False):
        self.budgets = budgets
        self.attempts = attempts
        self.deadline_s = deadline_s
        self._is_counted_elsewhere = is_counted
        self._counted_services = set()
        self._reserved_retry = None
        # Retries of which it is not known yet whether they have been read.
        self._open_retries = []
        self._unread_until_s = float("-inf")

    @property
    def is_counted(self):
        """Whether the request has been counted in a retry budget."""
        return self._is_counted_elsewhere or bool(self._counted_services)

    def record_counted(self):
        """Record that another host has counted the request meanwhile."""
        self._is_counted_elsewhere = True

    def deposit(self, service, now):
        """Count the request in the budget of a service, once.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Current time, seconds of the boot clock.
        """
        if self._is_counted_elsewhere or service in self._counted_services:
            return
        self._counted_services.add(service)
        self.budgets.deposit(service, now)

    def reserve(self, service, reached, hosts, now):
        """Withdraw a retry that the next call of `withdraw` uses; parameters as there.

        Returns
        -------
        bool
            Whether another upstream may receive the request.
        """
        if self._reserved_retry is None and self.count_left(reached) > 0:
            self._reserved_retry = self.budgets.withdraw(
                service, hosts, now, self.deadline_s
            )
        return self._is_reserved(service)

    def withdraw(self, service, reached, hosts, now):
        """Decide whether the request is sent again; uses up one retry if so.

        Parameters
        ----------
        service : str
            Service of the upstream that failed.
        reached : int
            Number of upstreams that have received the request.
        hosts : int
            Number of entry hosts that are known now, 1 or more.
        now : float
            Current time, seconds of the boot clock.

        Returns
        -------
        bool
            Whether another upstream may receive it.
        """
        if self.count_left(reached) <= 0:
            return False
        if self._is_reserved(service):
            retry, self._reserved_retry = self._reserved_retry, None
        else:
            retry = self.budgets.withdraw(service, hosts, now, self.deadline_s)
        if retry is None:
            return False
        self._open_retries.append(retry)
        return True

    def record_read(self, now):
        """Record that the upstream of the last attempt has read the request."""
        self._settle(max(now, self._unread_until_s))

    def record_given_up(self, now):
        """Record that the last attempt was given up, and may still be read."""
        self._unread_until_s = now + _budgets.MAX_SILENCE_S
        self._settle(self._unread_until_s)

    def count_left(self, reached):
        """Return how many more upstreams may receive the request."""
        return self.attempts - reached

    def _is_reserved(self, service):
        return self._reserved_retry is not None and (
            self._reserved_retry.service == service
        )

    def _settle(self, read_s):
        for retry in self._open_retries:
            self.budgets.record_read(retry, read_s)
        self._open_retries.clear()
