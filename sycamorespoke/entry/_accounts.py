"""Finds the client account of a request by its API key."""

import hmac

from sycamorespoke import world

HASH_PREFIX_DIGITS = 8
SCHEME = "bearer "


class AccountIndex:
    """Client accounts of one configuration by the start of their key's hash.

    Parameters
    ----------
    configuration : world.Configuration
        The configuration.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._accounts_by_prefix = {}
        for account in configuration.accounts_by_name.values():
            prefix = account.key_hash[:HASH_PREFIX_DIGITS]
            self._accounts_by_prefix.setdefault(prefix, []).append(account)

    def find(self, authorization):
        """Find the account of a request.

        Parameters
        ----------
        authorization : str
            The ``Authorization`` header, empty when absent.

        Returns
        -------
        world.ClientAccount or world.Refusal
            The account, or that the key is unknown.

        Notes
        -----
        The start of the hash selects the accounts to compare with; the whole
        hashes are compared in constant time.
        """
        if authorization[: len(SCHEME)].lower() != SCHEME:
            return world.Refusal(
                world.ErrorKind.UNAUTHENTICATED,
                "send the API key as 'Authorization: Bearer <key>'",
            )
        key_hash = world.hash_api_key(authorization[len(SCHEME) :].strip())
        prefix = key_hash[:HASH_PREFIX_DIGITS]
        for account in self._accounts_by_prefix.get(prefix, ()):
            if hmac.compare_digest(account.key_hash, key_hash):
                return account
        return world.Refusal(world.ErrorKind.UNAUTHENTICATED, "unknown API key")
