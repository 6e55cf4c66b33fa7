"""Consistency checks across the words and lines of a rules file."""

from sycamorespoke import domain
from sycamorespoke.rules import _keywords


def get_unique_key(rule):
    """Return the key that must be unique among the lines of a keyword.

    Parameters
    ----------
    rule : Rule
        Parsed line.

    Returns
    -------
    str or tuple of (str, str)
        The name; for a link, its sorted ends; empty for a keyword that is allowed
        only once.
    """
    if rule.keyword.name == "link":
        return domain.link_key(*rule.names)
    return rule.names[0] if rule.keyword.collection else ""


def check_rules(parsed_rules, parser):
    """Check the consistency of the lines of a file.

    Parameters
    ----------
    parsed_rules : list of Rule
        Parsed lines in the order of the file.
    parser : LineParser
        Receives the faults.
    """
    _check_duplicates(parsed_rules, parser)
    _check_references(parsed_rules, parser)
    _check_deployment(parsed_rules, parser)
    _check_route_kinds(parsed_rules, parser)
    checks_by_keyword = {"group": _check_group, "route": _check_route}
    for rule in parsed_rules:
        check = checks_by_keyword.get(rule.keyword.name)
        if check is not None:
            check(rule, parser)


def _check_duplicates(parsed_rules, parser):
    lines_by_key = {}
    for rule in parsed_rules:
        for key, column, description in _iterate_unique_keys(rule):
            first = lines_by_key.setdefault(key, rule.line)
            if first != rule.line:
                parser.add_fault(
                    rule.line,
                    column,
                    f"{description} is already defined in line {first}",
                    "remove one of them",
                )


def _iterate_unique_keys(rule):
    """Yield each key that must be unique, its column and its description."""
    keyword = rule.keyword.name
    label = " ".join((keyword, *rule.names)) if rule.keyword.collection else keyword
    yield (keyword, get_unique_key(rule)), 1, label
    values = rule.values_by_word
    if "key" in values:
        column = rule.columns_by_word["key"]
        yield ("key", values["key"]), column, "the same key hash"
    if keyword == "route" and "model" in values:
        column = rule.columns_by_word["model"]
        yield ("model", values["model"]), column, f"a route of model {values['model']}"
    if keyword == "route" and "path" in values:
        column = rule.columns_by_word["path"]
        for method in values.get("methods", ("all methods",)):
            description = f"a route of {values['path']} for {method}"
            yield ("path", values["path"], method), column, description


def _check_references(parsed_rules, parser):
    names = {(rule.keyword.name, name) for rule in parsed_rules for name in rule.names}
    for rule in parsed_rules:
        for word in rule.keyword.words:
            target = rule.values_by_word.get(word.name)
            if not word.refers_to or target is None:
                continue
            if (word.refers_to, target) not in names:
                column = rule.columns_by_word[word.name] + len(word.name) + 1
                _add_missing_reference_fault(
                    parser, rule, column, word.refers_to, target
                )
        if rule.keyword.name == "link":
            columns_by_name = dict(zip(rule.names, rule.name_columns, strict=True))
            for name, column in columns_by_name.items():
                if ("data-centre", name) not in names:
                    _add_missing_reference_fault(
                        parser, rule, column, "data-centre", name
                    )


def _add_missing_reference_fault(parser, rule, column, keyword, name):
    parser.add_fault(
        rule.line,
        column,
        f"{keyword} {name} is not defined",
        f"add a line `{keyword} {name}` or use one that is defined",
    )


def _check_deployment(parsed_rules, parser):
    if not any(rule.keyword.name == "deployment" for rule in parsed_rules):
        parser.add_fault(
            1,
            1,
            "the file has no deployment line",
            "add a line `deployment NAME  # asked by NAME: REASON`",
        )


def _check_route_kinds(parsed_rules, parser):
    kinds_by_group = {
        rule.names[0]: rule.values_by_word.get("kind")
        for rule in parsed_rules
        if rule.keyword.name == "group"
    }
    kinds_by_word = {
        "model": domain.UpstreamKind.MODEL,
        "path": domain.UpstreamKind.SERVICE,
    }
    for rule in parsed_rules:
        if rule.keyword.name != "route":
            continue
        kind = kinds_by_group.get(rule.values_by_word.get("group"))
        for word, needed in kinds_by_word.items():
            if kind is not None and word in rule.columns_by_word and kind is not needed:
                parser.add_fault(
                    rule.line,
                    rule.columns_by_word["group"],
                    f"a route with {word}= uses a group of kind {kind.value}",
                    f"use a group of kind {needed.value}",
                )


def _check_group(rule, parser):
    _check_cold_limit(rule, parser)
    values = rule.values_by_word
    columns = rule.columns_by_word
    if values.get("kind") is domain.UpstreamKind.MODEL:
        for word in ("model", "version"):
            if word not in columns:
                parser.add_fault(
                    rule.line,
                    columns["kind"],
                    f"a group of kind model has no {word}",
                    f"add {word}= to the line",
                )
    if values.get("kind") is domain.UpstreamKind.SERVICE:
        for word in _keywords.MODEL_WORDS:
            if word in columns:
                parser.add_fault(
                    rule.line,
                    columns[word],
                    f"a group of kind service has no {word}",
                    f"remove {word}=",
                )


def _check_cold_limit(rule, parser):
    values = rule.values_by_word
    columns = rule.columns_by_word
    if any(word in columns and word not in values for word in ("limit", "cold_limit")):
        return
    defaults = domain.UpstreamGroup("", domain.UpstreamKind.MODEL)
    limit = values.get("limit", defaults.limit)
    cold_limit = values.get("cold_limit", defaults.cold_limit)
    if cold_limit > limit:
        parser.add_fault(
            rule.line,
            columns.get("cold_limit", columns.get("limit", 1)),
            f"cold_limit {cold_limit} is above limit {limit}",
            f"write cold_limit={limit} or less",
        )


def _check_route(rule, parser):
    columns = rule.columns_by_word
    if ("model" in columns) == ("path" in columns):
        parser.add_fault(
            rule.line,
            columns.get("path", 1),
            "a route needs either a model or a path",
            "write model= for a model, path= for a plain service",
        )
    if "methods" in columns and "path" not in columns:
        parser.add_fault(
            rule.line,
            columns["methods"],
            "methods requires a path",
            "remove methods= or add path=",
        )
