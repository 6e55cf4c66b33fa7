"""Formatting of a configuration as a rules file."""

from sycamorespoke.rules import _keywords, _kinds

DEPLOYMENT = "deployment"
LIMIT = "limit"


def format_rules(configuration, asked_by, reason):
    """Format a configuration as a rules file, including default values.

    Parameters
    ----------
    configuration : domain.Configuration
        Configuration as returned by `parse`; its revision is not included.
    asked_by : str
        Name in the comment of each line; must not contain a colon.
    reason : str
        Reason in the comment of each line.

    Returns
    -------
    str
        Text for which `parse` returns an equal configuration.

    Examples
    --------
    >>> from sycamorespoke import rules
    >>> text = "deployment abrr link=0.3  # asked by Salma: pickup"
    >>> print(format_rules(rules.parse(text), "Salma", "pickup"), end="")
    deployment abrr time_to_first_token=1 recomputed=0.2 link=0.3  # asked by Salma: \
pickup
    limit queue_wait=2s queue_length=1000 body=4194304B retry_ratio=0.1  # asked by \
Salma: pickup
    """
    lines = []
    for keyword in _keywords.KEYWORDS_BY_NAME.values():
        for names, instance in _list_objects(keyword, configuration):
            words = [keyword.name, *names, *_format_words(keyword, instance)]
            lines.append(f"{' '.join(words)}  # asked by {asked_by}: {reason}\n")
    return "".join(lines)


def _list_objects(keyword, configuration):
    if keyword.name == DEPLOYMENT:
        return [((configuration.deployment,), configuration.cost_weights)]
    if keyword.name == LIMIT:
        return [((), configuration.limits)]
    collection = getattr(configuration, keyword.collection)
    return [
        (key if isinstance(key, tuple) else (key,), instance)
        for key, instance in collection.items()
    ]


def _format_words(keyword, instance):
    for word in keyword.words:
        attribute, dot, contract_attribute = word.attribute.partition(".")
        value = getattr(instance, attribute)
        if dot:
            value = getattr(value, contract_attribute)
        if value in ("", ()) or _is_omitted(word, instance):
            continue
        yield f"{word.name}={_kinds.format_value(word.kind, value)}"


def _is_omitted(word, instance):
    kind = getattr(instance, "kind", None)
    return kind is not None and not _keywords.is_word_allowed(word.name, kind)
