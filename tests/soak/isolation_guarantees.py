"""Checks of the cache scopes of requests while an account is isolated now and then."""

from sycamorespoke import decisions

# Requests that are sent once all hosts have the last configuration.
LAST_REQUESTS = "after-"


def check_scopes(runs, account, is_isolated):
    """Check that no scope holds blocks of an account and of those it is isolated from.

    Parameters
    ----------
    runs : list of run_log.Run
        Requests that the upstreams ran.
    account : str
        The account that is isolated now and then.
    is_isolated : bool
        Whether it is isolated in the end.

    Returns
    -------
    list of str
        One line for each request in a scope that is not for its account.
    """
    violations = []
    for run in runs:
        scope = decisions.parse_block_scope(run.cache_scope)
        if scope is not None and not _may_use(run, scope, account, is_isolated):
            violations.append(
                f"{run.request_id} of {run.account} ran in scope {run.cache_scope}"
            )
    return violations


def _may_use(run, scope, account, is_isolated):
    excluded = decisions.compute_exclusion({account})
    if scope.account or scope.exclusion == excluded:
        is_for_account = scope.account == run.account or (
            not scope.account and run.account != account
        )
        if not is_for_account:
            return False
    if not run.request_id.startswith(LAST_REQUESTS):
        return True
    expected = {account} if is_isolated else set()
    return not decisions.is_unused(scope, expected)
