"""The three documents that every daemon holds."""

import typing

import attrs
import msgspec

from sycamorespoke import messages, rules, world


@attrs.frozen
class Document:
    """A document at one revision.

    Parameters
    ----------
    kind : messages.DocumentKind
        Which document.
    revision : int, default=0
        Its revision, 0 for none.
    value : object, default=None
        JSON value, as peers hand it on.
    content : world.Configuration or world.ServiceState or world.HostList or None
        The value parsed; ``None`` for none.
    """

    kind: messages.DocumentKind
    revision: int = 0
    value: typing.Any = None
    content: typing.Any = None


@attrs.frozen
class InvalidDocument:
    """Sentinel: a value is not a document of its kind.

    Parameters
    ----------
    reason : str
        What is wrong with it.
    """

    reason: str


def empty_documents():
    """Return a document of revision 0 for each kind."""
    contents_by_kind = {
        messages.DocumentKind.RULES: world.Configuration(),
        messages.DocumentKind.SERVICE_STATE: world.ServiceState(),
        messages.DocumentKind.HOSTS: world.HostList(),
    }
    return {
        kind: Document(kind, content=content)
        for kind, content in contents_by_kind.items()
    }


def parse_document(kind, value):
    """Parse the JSON value of a document.

    Parameters
    ----------
    kind : messages.DocumentKind
        Which document.
    value : object
        The value as the platform or a peer gave it.

    Returns
    -------
    Document or InvalidDocument
        The document, or why the value is none.

    Examples
    --------
    >>> value = {"revision": 3, "data_centres_out": ["ruwi"], "upstreams_out": []}
    >>> parse_document(messages.DocumentKind.SERVICE_STATE, value).content
    ServiceState(revision=3, data_centres_out=frozenset({'ruwi'}), \
upstreams_out=frozenset())
    >>> parse_document(messages.DocumentKind.SERVICE_STATE, 7)
    InvalidDocument(reason='Expected `object`, got `int`')
    """
    try:
        content = _PARSERS_BY_KIND[kind](value)
    except (msgspec.ValidationError, KeyError, TypeError, ValueError) as error:
        return InvalidDocument(str(error))
    if isinstance(content, InvalidDocument):
        return content
    return Document(kind, content.revision, value, content)


def make_hosts_document(hosts):
    """Make the document of a list of hosts.

    Parameters
    ----------
    hosts : world.HostList
        The list, as the platform's client returned it.

    Returns
    -------
    Document
        With the value that peers hand on.
    """
    value = msgspec.to_builtins(hosts)
    return Document(messages.DocumentKind.HOSTS, hosts.revision, value, hosts)


class _RulesValue(msgspec.Struct):
    revision: int
    text: str


def _parse_rules(value):
    stored = msgspec.convert(value, _RulesValue)
    configuration = rules.parse(stored.text)
    if not isinstance(configuration, world.Configuration):
        return InvalidDocument(f"rules of revision {stored.revision}: {configuration}")
    return attrs.evolve(configuration, revision=stored.revision)


def _parse_service_state(value):
    return msgspec.convert(value, world.ServiceState)


def _parse_hosts(value):
    return msgspec.convert(value, world.HostList)


_PARSERS_BY_KIND = {
    messages.DocumentKind.RULES: _parse_rules,
    messages.DocumentKind.SERVICE_STATE: _parse_service_state,
    messages.DocumentKind.HOSTS: _parse_hosts,
}
