"""What differs between two configurations."""

import enum
import functools

import attrs

from sycamorespoke import domain, gateway


@attrs.frozen
class Difference:
    """One way in which a new configuration differs from the one before.

    Parameters
    ----------
    subject : str
        The entry that differs, for example ``"route lookups"``.
    text : str
        How it differs; never contains an API key.

    Examples
    --------
    >>> print(Difference("route lookups", "is new"))
    route lookups is new
    """

    subject: str
    text: str

    def __str__(self):
        return f"{self.subject} {self.text}"


def list_differences(before, after):
    """List the differences between two configurations.

    Parameters
    ----------
    before, after : gateway.ConfigurationEntries or domain.Configuration
        The two, of the same type. Of entries with one name, the last counts.

    Returns
    -------
    list of Difference
        Removed entries, then new and changed ones in their order.

    Examples
    --------
    >>> before = gateway.ConfigurationEntries(1, services=(gateway.Service("s"),))
    >>> after = gateway.ConfigurationEntries(2, services=(gateway.Service("s", 8),))
    >>> print(*list_differences(before, after))
    service s has another connection_limit: 0 before, 8 now
    """
    old_by_subject = _index_entries(before)
    new_by_subject = _index_entries(after)
    differences = [
        Difference(subject, "is removed")
        for subject in old_by_subject
        if subject not in new_by_subject
    ]
    for subject, entry in new_by_subject.items():
        if subject not in old_by_subject:
            differences.append(Difference(subject, "is new"))
            continue
        texts = _describe_changes(old_by_subject[subject], entry)
        differences.extend(Difference(subject, text) for text in texts)
    return differences


@functools.singledispatch
def _index_entries(entries):
    """Return the entries of a configuration by subject."""
    raise TypeError(f"unknown kind of configuration: {entries!r}")


@_index_entries.register
def _(entries: gateway.ConfigurationEntries):
    return {
        **{f"route {route.name}": route for route in entries.routes},
        **{f"service {service.name}": service for service in entries.services},
        **{f"account {entry.account.name}": entry for entry in entries.accounts},
        "limits": entries.limits,
        "need of API keys": entries.needs_key,
    }


@_index_entries.register
def _(configuration: domain.Configuration):
    collections_by_label = {
        "data-centre": configuration.data_centres_by_name,
        "link": {
            " ".join(ends): link for ends, link in configuration.links_by_ends.items()
        },
        "group": configuration.groups_by_name,
        "route": configuration.routes_by_name,
        "account": configuration.accounts_by_name,
        "event": configuration.events_by_name,
    }
    return {
        **{
            f"{label} {name}": entry
            for label, entries_by_name in collections_by_label.items()
            for name, entry in entries_by_name.items()
        },
        "limit": configuration.limits,
        f"deployment {configuration.deployment}": configuration.cost_weights,
    }


@functools.singledispatch
def _describe_changes(before, after):
    """Yield a text for each value that differs."""
    old_by_attribute = dict(_flatten("", before))
    new_by_attribute = dict(_flatten("", after))
    for attribute in dict.fromkeys((*old_by_attribute, *new_by_attribute)):
        old = old_by_attribute.get(attribute)
        new = new_by_attribute.get(attribute)
        if old != new:
            yield (
                f"has another {attribute}: {_format(old)} before, {_format(new)} now"
            )


@_describe_changes.register
def _(before: bool, after):
    if before != after:
        yield f"differs: {_format(before)} before, {_format(after)} now"


@_describe_changes.register
def _(before: gateway.AccountEntry, after):
    yield from _describe_changes(before.account, after.account)
    removed = len(set(before.keys) - set(after.keys))
    added = len(set(after.keys) - set(before.keys))
    if removed or added:
        yield f"has other API keys: {removed} removed, {added} added"


def _flatten(prefix, value):
    """Yield the values of an object, and those of the objects in it, by path."""
    for field in attrs.fields(type(value)):
        member = getattr(value, field.name)
        name = prefix + field.name
        if attrs.has(type(member)):
            yield from _flatten(f"{name}.", member)
        else:
            yield name, member


def _format(value):
    if value is None:
        return "none"
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return ", ".join(f"{key} {_format(each)}" for key, each in value.items())
    return f"{value:g}" if isinstance(value, float) else str(value)
