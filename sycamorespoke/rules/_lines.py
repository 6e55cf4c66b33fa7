"""Parser for the lines of a rules file."""

import re

import attrs

from sycamorespoke.rules import _faults, _keywords, _kinds

TOKEN_PATTERN = re.compile(r"[^ \t]+")
ASKED_BY_PATTERN = re.compile(r"#[ \t]*asked by[ \t]+([^:]*[^: \t])[ \t]*:[ \t]*(.*\S)")


@attrs.frozen
class Rule:
    """A parsed line: keyword, names, and words with values.

    Parameters
    ----------
    keyword : Keyword
        Syntax of the line.
    names : tuple of str
        Valid names after the keyword.
    name_columns : tuple of int
        Columns of the names, from 1.
    line : int
        Line number, from 1.
    values_by_word : dict of str to object
        Valid values by word.
    columns_by_word : dict of str to int
        Columns by word, including words with invalid values; from 1.
    """

    keyword: _keywords.Keyword
    names: tuple[str, ...]
    name_columns: tuple[int, ...]
    line: int
    values_by_word: dict
    columns_by_word: dict[str, int]


class LineParser:
    """Parse the lines of one file and collect their faults.

    Parameters
    ----------
    file : str
        Name of the file, for the faults.
    """

    def __init__(self, file):
        self.file = file
        self.faults = []

    def add_fault(self, line, column, cause, mend):
        """Record a fault.

        Parameters
        ----------
        line, column : int
            Position of the fault, from 1.
        cause, mend : str
            Description of the fault, and how to correct it.
        """
        self.faults.append(_faults.Fault(self.file, line, column, cause, mend))

    def parse_line(self, number, text):
        """Parse one line.

        Parameters
        ----------
        number : int
            Line number, from 1.
        text : str
            The line without its line ending.

        Returns
        -------
        Rule or None
            ``None`` for a comment or an empty line, and for a line whose keyword is
            unknown or whose names are not valid.
        """
        if not text.replace("\t", " ").isprintable():
            column = _find_control_character(text)
            self.add_fault(number, column, "a control character", "remove it")
            return None
        content, hash_sign, _ = text.partition("#")
        tokens = list(TOKEN_PATTERN.finditer(content))
        if not tokens:
            return None
        self._check_asked_by(
            number, len(content), text[len(content) :] if hash_sign else ""
        )
        return self._parse_tokens(number, tokens)

    def _check_asked_by(self, number, length, comment):
        if ASKED_BY_PATTERN.fullmatch(comment) is None:
            self.add_fault(
                number,
                length + 1,
                "the asked-by comment is missing or incomplete",
                "end the line with # asked by NAME: REASON",
            )

    def _parse_tokens(self, number, tokens):
        keyword = _keywords.KEYWORDS_BY_NAME.get(tokens[0][0])
        if keyword is None:
            words = ", ".join(_keywords.KEYWORDS_BY_NAME)
            self.add_fault(
                number,
                tokens[0].start() + 1,
                "unknown keyword",
                f"start the line with one of {words}",
            )
            return None
        names = self._parse_names(number, keyword, tokens)
        name_tokens = tokens[1 : 1 + keyword.name_count]
        columns = tuple(token.start() + 1 for token in name_tokens)
        rule = Rule(keyword, names, columns, number, {}, {})
        for token in tokens[1 + keyword.name_count :]:
            self._parse_pair(rule, token)
        self._check_required(rule, tokens[0].start() + 1)
        return rule if len(names) == keyword.name_count else None

    def _parse_names(self, number, keyword, tokens):
        names = []
        for position in range(1, 1 + keyword.name_count):
            if position >= len(tokens):
                self.add_fault(
                    number,
                    tokens[-1].end() + 1,
                    "a name is missing",
                    f"{keyword.name} requires {keyword.name_count} name(s)",
                )
                break
            token = tokens[position]
            name = _kinds.parse_value(_kinds.Name(), token[0])
            if isinstance(name, _kinds.Invalid):
                self.add_fault(number, token.start() + 1, name.cause, name.mend)
                continue
            names.append(name)
        return tuple(names)

    def _parse_pair(self, rule, token):
        column = token.start() + 1
        text, equals, value_text = token[0].partition("=")
        words = rule.keyword.words_by_name()
        allowed = f"{rule.keyword.name} accepts {', '.join(words)}"
        if not equals:
            self.add_fault(rule.line, column, "not of the form word=value", allowed)
        elif text not in words:
            self.add_fault(rule.line, column, f"unknown word {text[:40]!r}", allowed)
        elif text in rule.columns_by_word:
            self.add_fault(rule.line, column, f"{text} is given twice", "remove one")
        else:
            rule.columns_by_word[text] = column
            self._parse_value(rule, words[text], column, value_text)

    def _parse_value(self, rule, word, column, text):
        value = _kinds.parse_value(word.kind, text)
        if isinstance(value, _kinds.Invalid):
            value_column = column + len(word.name) + 1
            cause = f"{word.name}: {value.cause}"
            self.add_fault(rule.line, value_column, cause, value.mend)
            return
        rule.values_by_word[word.name] = value

    def _check_required(self, rule, column):
        for word in rule.keyword.words:
            if word.required and word.name not in rule.columns_by_word:
                self.add_fault(
                    rule.line,
                    column,
                    f"{word.name} is missing",
                    f"add {word.name}= to the line",
                )


def _find_control_character(text):
    for column, character in enumerate(text, start=1):
        if character != "\t" and not character.isprintable():
            return column
    return 1
