"""Parser of the rules file."""

from sycamorespoke import domain
from sycamorespoke.rules import _checks, _faults, _lines

MAX_TEXT_CHARACTERS = 700_000


def parse(text, file="<rules>"):
    """Parse a rules file.

    Parameters
    ----------
    text : str
        Content of the file, one rule per line; at most 700,000 characters.
    file : str, default="<rules>"
        Name of the file, for the faults.

    Returns
    -------
    domain.Configuration or Faults
        The configuration, with revision 0, or all faults of the text if there are
        any.

    Examples
    --------
    >>> parse("deployment abrr link=0.1  # asked by Salma: pickup").deployment
    'abrr'
    >>> print(parse("deployment abrr link=x", file="r.txt"))
    r.txt:1:22: link: not a number in the expected format; write a number, 0 to 1000
    r.txt:1:23: the asked-by comment is missing or incomplete; end the line with \
# asked by NAME: REASON
    """
    parser = _lines.LineParser(file)
    if len(text) > MAX_TEXT_CHARACTERS:
        parser.add_fault(
            1,
            1,
            "the file is too long for an object on the platform",
            f"shorten it to {MAX_TEXT_CHARACTERS} characters",
        )
        return _faults.Faults(tuple(parser.faults))
    parsed_rules = []
    for number, line in enumerate(text.split("\n"), start=1):
        rule = parser.parse_line(number, line.removesuffix("\r"))
        if rule is not None:
            parsed_rules.append(rule)
    _checks.check_rules(parsed_rules, parser)
    if parser.faults:
        ordered = sorted(parser.faults, key=lambda fault: (fault.line, fault.column))
        return _faults.Faults(tuple(ordered))
    return _build(parsed_rules)


def _build(parsed_rules):
    attributes = {}
    for rule in parsed_rules:
        keyword = rule.keyword
        instance = _build_object(rule)
        if keyword.name == "deployment":
            attributes["deployment"] = rule.names[0]
            attributes["cost_weights"] = instance
        elif keyword.name == "limit":
            attributes["limits"] = instance
        else:
            collection = attributes.setdefault(keyword.collection, {})
            collection[_checks.get_unique_key(rule)] = instance
    return domain.Configuration(**attributes)


CLASSES_BY_KEYWORD = {
    "deployment": domain.CostWeights,
    "limit": domain.Limits,
    "data-centre": domain.DataCentre,
    "link": domain.Link,
    "group": domain.UpstreamGroup,
    "route": domain.Route,
    "account": domain.ClientAccount,
    "event": domain.Event,
}


def _build_object(rule):
    attributes = {}
    contract_attributes = {}
    words = rule.keyword.words_by_name()
    for text, value in rule.values_by_word.items():
        attribute = words[text].attribute
        name, dot, contract_attribute = attribute.partition(".")
        if dot:
            contract_attributes[contract_attribute] = value
        else:
            attributes[name] = value
    if rule.keyword.name == "link":
        attributes["ends"] = _checks.get_unique_key(rule)
    elif rule.keyword.collection:
        attributes["name"] = rule.names[0]
    if contract_attributes:
        attributes["contract"] = domain.Contract(**contract_attributes)
    return CLASSES_BY_KEYWORD[rule.keyword.name](**attributes)
