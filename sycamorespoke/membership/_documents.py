"""The three documents that are replicated to every process."""

import typing

import attrs
import msgspec

from sycamorespoke import domain, messages, rules


@attrs.frozen
class Document:
    """One revision of a document.

    Parameters
    ----------
    kind : messages.DocumentKind
        Kind of the document.
    revision : int, default=0
        Revision, 0 if no document was received yet.
    value : object, default=None
        JSON value, as exchanged between peers.
    content : domain.Configuration or domain.ServiceState or domain.HostList or None
        The parsed value, ``None`` if there is no value.
    """

    kind: messages.DocumentKind
    revision: int = 0
    value: typing.Any = None
    content: typing.Any = None


@attrs.frozen
class InvalidDocument:
    """Sentinel: a value is not a valid document of its kind.

    Parameters
    ----------
    reason : str
        Why the value is invalid.
    """

    reason: str


def empty_documents():
    """Return an empty document of revision 0 for each kind."""
    contents_by_kind = {
        messages.DocumentKind.RULES: domain.Configuration(),
        messages.DocumentKind.SERVICE_STATE: domain.ServiceState(),
        messages.DocumentKind.HOSTS: domain.HostList(),
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
        Kind of the document.
    value : object
        JSON value, as received from the platform or a peer.

    Returns
    -------
    Document or InvalidDocument
        The document, or the reason why the value is invalid.

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
    """Make the document of a host list.

    Parameters
    ----------
    hosts : domain.HostList
        Host list, as returned by the platform client.

    Returns
    -------
    Document
        Document with the JSON value that is exchanged between peers.
    """
    value = msgspec.to_builtins(hosts)
    return Document(messages.DocumentKind.HOSTS, hosts.revision, value, hosts)


class _RulesValue(msgspec.Struct):
    revision: int
    text: str


def _parse_rules(value):
    stored = msgspec.convert(value, _RulesValue)
    configuration = rules.parse(stored.text)
    if not isinstance(configuration, domain.Configuration):
        return InvalidDocument(f"rules of revision {stored.revision}: {configuration}")
    return attrs.evolve(configuration, revision=stored.revision)


def _parse_service_state(value):
    return msgspec.convert(value, domain.ServiceState)


def _parse_hosts(value):
    return msgspec.convert(value, domain.HostList)


_PARSERS_BY_KIND = {
    messages.DocumentKind.RULES: _parse_rules,
    messages.DocumentKind.SERVICE_STATE: _parse_service_state,
    messages.DocumentKind.HOSTS: _parse_hosts,
}
