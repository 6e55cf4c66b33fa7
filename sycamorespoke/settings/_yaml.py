"""Parsing of YAML files that map keys to scalars, with line numbers."""

import re

import attrs
import yaml

INT_PATTERN = re.compile(r"[-+]?[0-9]{1,18}")
FLOAT_PATTERN = re.compile(r"[-+]?[0-9]{1,18}\.[0-9]{0,18}")
STRING_TAG = "tag:yaml.org,2002:str"
BOOLEAN_TAG = "tag:yaml.org,2002:bool"
MAX_TEXT_CHARACTERS = 100_000


@attrs.frozen
class Problem:
    """A fault in the structure of a file.

    Parameters
    ----------
    line : int
        Line number, from 1.
    key : str
        Key of the setting; empty for a fault of the file as a whole.
    cause : str
        Description of the fault.
    mend : str
        How to correct it.
    """

    line: int
    key: str
    cause: str
    mend: str


@attrs.frozen
class Document:
    """A mapping from keys to scalars.

    Parameters
    ----------
    values_by_key : dict of str to object
        Scalars by key: ``str``, ``int``, ``float`` or ``bool``; ``None`` for any
        other value.
    lines_by_key : dict of str to int
        Line numbers by key, from 1.
    problems : tuple of Problem
        Faults in the structure of the file.
    """

    values_by_key: dict
    lines_by_key: dict[str, int]
    problems: tuple[Problem, ...]


def read_document(text):
    """Parse a text as a YAML document.

    Parameters
    ----------
    text : str
        Content of the file, at most 100,000 characters.

    Returns
    -------
    Document
        The scalars and the structural problems of the text. No exception is raised
        for malformed text.

    Notes
    -----
    Scalars are converted without a YAML constructor, because constructors raise
    errors of many types for unusual tags and dates.

    Examples
    --------
    >>> document = read_document("threads: 8")
    >>> document.values_by_key, document.lines_by_key
    ({'threads': 8}, {'threads': 1})
    """
    mend = "write one `key: value` per line"
    if len(text) > MAX_TEXT_CHARACTERS:
        return _make_broken_document(1, "the file is too long", mend)
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        return _make_broken_document(line, f"malformed YAML: {error.problem}", mend)
    except (yaml.YAMLError, ValueError, OverflowError, RecursionError):
        return _make_broken_document(1, "malformed YAML", mend)
    if node is None:
        return Document({}, {}, ())
    if not isinstance(node, yaml.MappingNode):
        return _make_broken_document(1, "not a mapping", mend)
    return _read_mapping(node)


def _make_broken_document(line, cause, mend):
    return Document({}, {}, (Problem(line, "", cause, mend),))


def _read_mapping(node):
    values_by_key = {}
    lines_by_key = {}
    problems = []
    for key_node, value_node in node.value:
        line = key_node.start_mark.line + 1
        if not isinstance(key_node, yaml.ScalarNode):
            problems.append(Problem(line, "", "a key is not a scalar", "write a word"))
            continue
        key = key_node.value
        if key in lines_by_key:
            cause = f"is already set in line {lines_by_key[key]}"
            problems.append(Problem(line, key, cause, "remove one of the two"))
            continue
        lines_by_key[key] = line
        if isinstance(value_node, yaml.ScalarNode):
            values_by_key[key] = _read_scalar(value_node)
        else:
            values_by_key[key] = None
    return Document(values_by_key, lines_by_key, tuple(problems))


def _read_scalar(node):
    if node.tag == STRING_TAG:
        return node.value
    if node.tag == BOOLEAN_TAG:
        return node.value.lower() in ("yes", "true", "on")
    if INT_PATTERN.fullmatch(node.value):
        return int(node.value)
    if FLOAT_PATTERN.fullmatch(node.value):
        return float(node.value)
    return None
