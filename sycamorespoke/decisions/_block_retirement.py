"""Scopes of blocks, and selection of the blocks that a block store may free.

Blocks of old weight versions fill the stores after a weight rollout, and blocks of
scopes that no request uses any more after a change of the isolated client accounts. A
block must not be freed while a request imports it.
"""

import hashlib
import json
import re

import attrs

# Hosts start an import only if the target version was confirmed this recently.
TARGET_VERSION_MAX_AGE_S = 3.0
# The result of an import that takes longer is discarded.
IMPORT_TIMEOUT_S = 3.0
# Allows for clocks that run at slightly different rates.
CLOCK_MARGIN_S = 0.5

# After a change of the isolated accounts, hosts use no stored blocks for this long: a
# host that does not know the change yet may be freeing them.
EXCLUSION_SETTLE_S = 6.0
# The blocks of unused scopes are freed this long after the change.
UNUSED_SCOPE_WAIT_S = 60.0
# A host frees them only if the configuration was confirmed this recently.
CONFIGURATION_MAX_AGE_S = 3.0
# A host uses stored blocks only if the configuration was confirmed this recently: well
# before others free what only an older configuration uses.
IMPORT_CONFIGURATION_MAX_AGE_S = 10.0

_EXCLUSION_DIGITS = 16
_SCOPE = re.compile(
    r"v(?P<version>[0-9]{1,9})(-(?P<exclusion>[0-9a-f]{16}))?"
    r" (?P<model>\S+)(?P<account> \S+)?"
)


@attrs.frozen
class BlockScope:
    """The requests that may share a block.

    Parameters
    ----------
    model : str
        Model that computed the block.
    version : int
        Weight version that computed the block.
    account : str, default=""
        Client account whose blocks are isolated from those of all others; empty
        for blocks that the other client accounts share.
    exclusion : str, default=""
        Digest of the accounts that do not share the blocks, see
        `compute_exclusion`; empty if there are none, or for the blocks of one account.

    Examples
    --------
    >>> parse_block_scope(BlockScope("m", 2, "a").text)
    BlockScope(model='m', version=2, account='a', exclusion='')
    >>> BlockScope("m", 2, exclusion=compute_exclusion({"a"})).text
    'v2-0eb5b8d6f81bc677 m'
    >>> parse_block_scope("of somebody else") is None
    True
    """

    model: str
    version: int
    account: str = ""
    exclusion: str = ""

    @property
    def text(self):
        """The scope as text, in the form that stores and engines use."""
        account = f" {self.account}" if self.account else ""
        exclusion = f"-{self.exclusion}" if self.exclusion else ""
        return f"v{self.version}{exclusion} {self.model}{account}"


def compute_exclusion(isolated_accounts):
    """Compute the digest of the isolated accounts that is part of a shared scope.

    A scope with the digest of a set of accounts never holds a block of any of these,
    in whatever order configurations come into force, and on whichever hosts.

    Parameters
    ----------
    isolated_accounts : collection of str
        Names of the accounts.

    Returns
    -------
    str
        Hexadecimal digits; empty without accounts.
    """
    if not isolated_accounts:
        return ""
    encoded = json.dumps(sorted(isolated_accounts)).encode()
    return hashlib.sha256(encoded).hexdigest()[:_EXCLUSION_DIGITS]


def parse_block_scope(text):
    """Parse the text of a scope.

    Returns
    -------
    BlockScope or None
        ``None`` if the text does not have the form of `BlockScope.text`; other
        writers may share the store.
    """
    match = _SCOPE.fullmatch(text)
    if match is None:
        return None
    account = (match["account"] or "").strip()
    version = int(match["version"])
    return BlockScope(match["model"], version, account, match["exclusion"] or "")


def is_unused(scope, isolated_accounts):
    """Return whether no request uses a scope while these accounts are isolated.

    Parameters
    ----------
    scope : BlockScope
        The scope.
    isolated_accounts : collection of str
        Names of the isolated accounts.

    Examples
    --------
    >>> is_unused(BlockScope("m", 2), {"a"}), is_unused(BlockScope("m", 2), set())
    (True, False)
    >>> is_unused(BlockScope("m", 2, "a"), {"a"})
    False
    """
    if scope.account:
        return scope.account not in isolated_accounts
    return scope.exclusion != compute_exclusion(isolated_accounts)


def may_import(version, target_version, confirmed_s, now):
    """Decide whether a request may import blocks of its weight version.

    Parameters
    ----------
    version : int
        Weight version that the request runs on.
    target_version : int
        Newest target version known to this host, 0 if there is none.
    confirmed_s : float
        When the target version was last confirmed, seconds.
    now : float
        Current time, seconds.

    Returns
    -------
    bool
        False for versions older than the target version, whose blocks are freed,
        and while the target version has not been confirmed recently.
    """
    return version >= target_version and now - confirmed_s <= TARGET_VERSION_MAX_AGE_S


def select_retired_blocks(tokens_by_key, seen_s_by_version_by_model, now):
    """Select the blocks of old weight versions that can be freed.

    Parameters
    ----------
    tokens_by_key : dict of (str, str) to int
        Tokens of the complete blocks by scope and block ID.
    seen_s_by_version_by_model : dict of str to (int, float)
        Newest target version of each model, and when this host learned of it.
    now : float
        Current time, seconds.

    Returns
    -------
    list of (str, str)
        Scope and ID of each block. No host starts an import of these blocks any
        more, and all earlier imports of them have ended.

    Examples
    --------
    >>> blocks = {("v1 m", "p"): 9, ("v2 m", "q"): 9}
    >>> select_retired_blocks(blocks, {"m": (2, 10.0)}, 16.4)
    []
    >>> select_retired_blocks(blocks, {"m": (2, 10.0)}, 16.5)
    [('v1 m', 'p')]
    """
    wait_s = TARGET_VERSION_MAX_AGE_S + IMPORT_TIMEOUT_S + CLOCK_MARGIN_S
    # Each scope is parsed once: there are few scopes and many blocks.
    old_scopes = {
        scope
        for scope in {scope for scope, _ in tokens_by_key}
        if _is_old(parse_block_scope(scope), seen_s_by_version_by_model, now - wait_s)
    }
    return [key for key in tokens_by_key if key[0] in old_scopes]


def _is_old(scope, seen_s_by_version_by_model, latest_s):
    if scope is None or scope.model not in seen_s_by_version_by_model:
        return False
    version, seen_s = seen_s_by_version_by_model[scope.model]
    return scope.version < version and seen_s <= latest_s
