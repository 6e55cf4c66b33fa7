"""Client accounts by API key."""

import hmac

from sycamorespoke import domain

HASH_PREFIX_DIGITS = 8
SCHEME = "bearer "


class AccountIndex:
    """Client accounts of a configuration, indexed by a prefix of their key hash.

    Parameters
    ----------
    configuration : domain.Configuration
        Configuration that holds the accounts.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._accounts_by_prefix = {}
        for account in configuration.accounts_by_name.values():
            prefix = account.key_hash[:HASH_PREFIX_DIGITS]
            self._accounts_by_prefix.setdefault(prefix, []).append(account)

    def find(self, authorization):
        """Find the account that an API key belongs to.

        Parameters
        ----------
        authorization : str
            Value of the ``Authorization`` header, empty if the header is absent.

        Returns
        -------
        domain.ClientAccount or domain.Refusal
            The account, or an ``UNAUTHENTICATED`` refusal if the header holds no known
            key.

        Notes
        -----
        The prefix of the hash selects the candidate accounts. Full hashes are
        compared in constant time, so that timing does not reveal them.
        """
        if authorization[: len(SCHEME)].lower() != SCHEME:
            return domain.Refusal(
                domain.ErrorKind.UNAUTHENTICATED,
                "send the API key as 'Authorization: Bearer <key>'",
            )
        key_hash = domain.hash_api_key(authorization[len(SCHEME) :].strip())
        prefix = key_hash[:HASH_PREFIX_DIGITS]
        for account in self._accounts_by_prefix.get(prefix, ()):
            if hmac.compare_digest(account.key_hash, key_hash):
                return account
        return domain.Refusal(domain.ErrorKind.UNAUTHENTICATED, "unknown API key")
