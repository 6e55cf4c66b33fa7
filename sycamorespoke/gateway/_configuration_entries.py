"""Entries of a configuration as operators wrote them, before they are indexed."""

import attrs

from sycamorespoke import serving
from sycamorespoke.gateway import _model


@attrs.frozen
class AccountEntry:
    """A client account and its API keys.

    Parameters
    ----------
    account : Account
        The account.
    keys : tuple of str
        Its API keys; may be empty.
    """

    account: _model.Account
    keys: tuple[str, ...] = attrs.field(repr=False, default=())


@attrs.frozen
class ConfigurationEntries:
    """Entries of a configuration, in the order in which they were written.

    They may contradict each other: two may have the same name, or hold the same key.

    Parameters
    ----------
    version : int
        Version, which increases with each change.
    routes : tuple of Route
        Routes.
    services : tuple of Service
        Services.
    accounts : tuple of AccountEntry
        Client accounts.
    needs_key : bool
        Whether requests need an API key unless their route is anonymous.
    limits : CallerLimits
        Limits on requests and connections of callers.
    """

    version: int
    routes: tuple[_model.Route, ...] = ()
    services: tuple[_model.Service, ...] = ()
    accounts: tuple[AccountEntry, ...] = ()
    needs_key: bool = False
    limits: serving.CallerLimits = attrs.field(factory=serving.CallerLimits)

    def build(self):
        """Return the `Configuration`; the last entry with a name or key counts."""
        return _model.Configuration(
            version=self.version,
            routes=self.routes,
            services_by_name={service.name: service for service in self.services},
            accounts_by_key={
                key: entry.account for entry in self.accounts for key in entry.keys
            },
            needs_key=self.needs_key,
            limits=self.limits,
            isolated_accounts=frozenset(
                entry.account.name
                for entry in self.accounts
                if entry.account.is_isolated
            ),
        )
