"""Parses YAML into attrs classes and reports all faults at once."""

import math
import types
import typing

import attrs
import yaml

NUMBER_TAGS = ("tag:yaml.org,2002:int", "tag:yaml.org,2002:float")


@attrs.frozen
class Fault:
    """A fault of a file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Line number, 1 or more.
    key : str
        Path of the key, for example ``"accounts[0].name"``.
    cause : str
        What is wrong.
    mend : str
        How to correct it.
    """

    file: str
    line: int
    key: str
    cause: str
    mend: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.key}: {self.cause}; {self.mend}"


def parse_yaml(text, file, cls):
    """Parse YAML text into an instance of an attrs class.

    Parameters
    ----------
    text : str
        Content of the file.
    file : str
        Name of the file, used in the faults.
    cls : type
        The attrs class; a number's field has its range in its metadata, under
        ``"low"`` and ``"high"``.

    Returns
    -------
    tuple of (object or None, list of Fault)
        An instance of ``cls`` and no faults, or ``None`` and every fault.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        cause = f"not YAML: {getattr(error, 'problem', error)}"
        return None, [Fault(file, line, "file", cause, "correct the syntax")]
    reader = _Reader(file)
    if node is None:
        reader.add_fault(None, "file", "empty", "write the required keys")
        return None, reader.faults
    value = reader.read(node, cls, "", {})
    return (None, reader.faults) if reader.faults else (value, [])


class _Reader:
    def __init__(self, file):
        self.file = file
        self.faults = []

    def add_fault(self, node, key, cause, mend):
        line = node.start_mark.line + 1 if node is not None else 1
        self.faults.append(Fault(self.file, line, key or "file", cause, mend))

    def read(self, node, kind, key, metadata):
        origin = typing.get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            kind = typing.get_args(kind)[0]
            origin = typing.get_origin(kind)
        if attrs.has(kind):
            return self._read_class(node, kind, key)
        if origin is tuple:
            return self._read_sequence(node, typing.get_args(kind)[0], key)
        if origin is typing.Literal:
            return self._read_choice(node, typing.get_args(kind), key)
        if kind in (int, float):
            return self._read_number(node, kind, key, metadata)
        return self._read_text(node, key)

    def _read_class(self, node, cls, key):
        if not isinstance(node, yaml.MappingNode):
            self.add_fault(node, key, "not a mapping", "write key: value lines")
            return None
        fields = attrs.fields_dict(cls)
        nodes_by_key = self._read_keys(node, fields, key)
        values_by_key = {}
        for name, field in fields.items():
            path = f"{key}.{name}" if key else name
            if name in nodes_by_key:
                child = nodes_by_key[name]
                value = self.read(child, field.type, path, field.metadata)
                values_by_key[name] = value
            elif field.default is attrs.NOTHING:
                self.add_fault(node, path, "missing", f"add the key {name}")
        return None if self.faults else cls(**values_by_key)

    def _read_keys(self, node, fields, key):
        nodes_by_key = {}
        for key_node, value_node in node.value:
            name = str(key_node.value)
            path = f"{key}.{name}" if key else name
            if name not in fields:
                mend = f"use one of {', '.join(fields)}"
                self.add_fault(key_node, path, "unknown key", mend)
            elif name in nodes_by_key:
                self.add_fault(key_node, path, "given twice", "remove one")
            nodes_by_key[name] = value_node
        return nodes_by_key

    def _read_sequence(self, node, kind, key):
        if not isinstance(node, yaml.SequenceNode):
            self.add_fault(node, key, "not a list", "start each item with '- '")
            return ()
        items = enumerate(node.value)
        return tuple(self.read(item, kind, f"{key}[{i}]", {}) for i, item in items)

    def _read_choice(self, node, choices, key):
        value = getattr(node, "value", None)
        if value not in choices:
            mend = f"use one of {', '.join(choices)}"
            self.add_fault(node, key, "not a known word", mend)
        return value

    def _read_number(self, node, kind, key, metadata):
        low, high = metadata["low"], metadata["high"]
        mend = f"use a number from {low:g} to {high:g}"
        value = _parse_number(node)
        if value is None:
            self.add_fault(node, key, "not a number", mend)
            return low
        if kind is int and value != int(value):
            self.add_fault(node, key, "not a whole number", mend)
        elif not low <= value <= high:
            self.add_fault(node, key, f"{value:g} is out of range", mend)
        return kind(value)

    def _read_text(self, node, key):
        if not isinstance(node, yaml.ScalarNode) or not node.value:
            self.add_fault(node, key, "empty or not a scalar", "write a string")
            return ""
        return node.value


def _parse_number(node):
    if not isinstance(node, yaml.ScalarNode) or node.tag not in NUMBER_TAGS:
        return None
    try:
        value = yaml.safe_load(node.value)
    except (yaml.YAMLError, ValueError):
        return None
    if not isinstance(value, int | float) or not math.isfinite(value):
        return None
    return value
