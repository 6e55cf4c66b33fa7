"""Which cached parts of a store are freed, and from when on that is safe.

Answers new weights: the parts of older ones fill the stores, and no request may
be fetching a part when it is freed.
"""

import re

import attrs

# Hosts begin a fetch only if the named weights were confirmed this recently.
TARGET_VERSION_MAX_AGE_S = 3.0
# A fetch that has not ended by then is thrown away.
IMPORT_TIMEOUT_S = 3.0
# Covers clocks that run at slightly different rates.
MARGIN_S = 0.5

_SCOPE = re.compile(r"v(?P<version>[0-9]{1,9}) (?P<model>\S+)(?P<account> \S+)?")


@attrs.frozen
class BlockScope:
    """Who may share a cached part.

    Parameters
    ----------
    model : str
        Model that made it.
    version : int
        Version of its weights.
    account : str, default=""
        Client account that shares it with no other; empty for all others.

    Examples
    --------
    >>> parse_block_scope(BlockScope("m", 2, "a").text)
    BlockScope(model='m', version=2, account='a')
    >>> parse_block_scope("of somebody else") is None
    True
    """

    model: str
    version: int
    account: str = ""

    @property
    def text(self):
        """The scope as the stores and engines know it."""
        account = f" {self.account}" if self.account else ""
        return f"v{self.version} {self.model}{account}"


def parse_block_scope(text):
    """Read a scope from its text.

    Returns
    -------
    BlockScope or None
        ``None`` if it is none of ours.
    """
    match = _SCOPE.fullmatch(text)
    if match is None:
        return None
    account = (match["account"] or "").strip()
    return BlockScope(match["model"], int(match["version"]), account)


def may_import(version, named, confirmed_s, now):
    """Decide whether a request may fetch parts of its weights.

    Parameters
    ----------
    version : int
        Weights on which the request runs.
    named : int
        Newest weights that this host knows of, 0 if none are named.
    confirmed_s : float
        When that was last confirmed, seconds.
    now : float
        Present time, seconds.

    Returns
    -------
    bool
        Not for older weights, whose parts are freed.
    """
    return version >= named and now - confirmed_s <= TARGET_VERSION_MAX_AGE_S


def select_retired_blocks(tokens_by_key, seen_s_by_version_by_model, now):
    """Select the parts of older weights that can be freed.

    Parameters
    ----------
    tokens_by_key : dict of (str, str) to int
        Complete parts by scope and id.
    seen_s_by_version_by_model : dict of str to (int, float)
        For each model the newest version, and when this host learned of it.
    now : float
        Present time, seconds.

    Returns
    -------
    list of (str, str)
        Scope and id. Every host has stopped to begin fetches of them, and those
        that had begun have ended.

    Examples
    --------
    >>> parts = {("v1 m", "p"): 9, ("v2 m", "q"): 9}
    >>> select_retired_blocks(parts, {"m": (2, 10.0)}, 16.4)
    []
    >>> select_retired_blocks(parts, {"m": (2, 10.0)}, 16.5)
    [('v1 m', 'p')]
    """
    wait_s = TARGET_VERSION_MAX_AGE_S + IMPORT_TIMEOUT_S + MARGIN_S
    # Parts are many and scopes few.
    old = {
        scope
        for scope in {scope for scope, _ in tokens_by_key}
        if _is_old(parse_block_scope(scope), seen_s_by_version_by_model, now - wait_s)
    }
    return [key for key in tokens_by_key if key[0] in old]


def _is_old(scope, seen_s_by_version_by_model, latest_s):
    if scope is None or scope.model not in seen_s_by_version_by_model:
        return False
    version, seen_s = seen_s_by_version_by_model[scope.model]
    return scope.version < version and seen_s <= latest_s
