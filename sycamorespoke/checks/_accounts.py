"""Checks of the client accounts of a gateway's configuration."""

import re

from sycamorespoke.checks import _findings, _names

Finding = _findings.Finding
Kind = _findings.FindingKind
# Characters that a caller can send as a key.
_KEY = re.compile(r"[\x21-\x7e]+")


def find_account_findings(entries):
    """Yield what is found about client accounts and their API keys.

    Parameters
    ----------
    entries : gateway.ConfigurationEntries
        Entries of the configuration.

    Yields
    ------
    Finding
        Findings, none of which contains a key.
    """
    accounts = [entry.account for entry in entries.accounts]
    yield from _names.find_repeated_names("account", accounts)
    yield from _find_repeated_keys(entries.accounts)
    for entry in entries.accounts:
        subject = f"account {entry.account.name}"
        if not entry.keys:
            yield Finding(Kind.WITHOUT_EFFECT, subject, "it has no API key")
        for number, key in enumerate(entry.keys, start=1):
            if _KEY.fullmatch(key) is None:
                yield Finding(
                    Kind.NEVER_MATCHES,
                    subject,
                    f"API key {number} is empty or holds characters that no caller can"
                    " send",
                )
    has_key = any(entry.keys for entry in entries.accounts)
    needs_key = any(not route.is_anonymous for route in entries.routes)
    if entries.needs_key and needs_key and not has_key:
        yield Finding(
            Kind.CONTRADICTION,
            "accounts",
            "requests need an API key, but no account has one",
        )


def _find_repeated_keys(accounts):
    owner_by_key = {}
    for entry in accounts:
        name = entry.account.name
        for number, key in enumerate(entry.keys, start=1):
            owner = owner_by_key.setdefault(key, (name, number))
            if owner != (name, number):
                yield Finding(
                    Kind.AMBIGUOUS,
                    f"account {name}",
                    f"its API key {number} is also key {owner[1]} of account"
                    f" {owner[0]}",
                )
