"""Reads a JSON document that holds lists of entries; names all that are malformed."""

import difflib

import attrs

from sycamorespoke.clients import _json_fields

# Similarity from which a name counts as another one that is misspelt, 0 to 1.
MIN_SIMILARITY = 0.85


@attrs.frozen
class EntryProblem:
    """Why a part of a document cannot be used.

    Parameters
    ----------
    path : str
        Where the part is; empty for a member of the document itself.
    cause : str
        What is wrong with it; never contains the value of a key.

    Examples
    --------
    >>> print(EntryProblem("routes[2]", "name is missing"))
    routes[2]: name is missing
    """

    path: str
    cause: str

    def __str__(self):
        return f"{self.path}: {self.cause}" if self.path else self.cause


class _RecordedObject(dict):
    """JSON object that records which of its members were asked for."""

    def __init__(self, members):
        super().__init__({key: _record(value) for key, value in members.items()})
        self.asked = set()

    def __contains__(self, key):
        self.asked.add(key)
        return super().__contains__(key)

    def __getitem__(self, key):
        self.asked.add(key)
        return super().__getitem__(key)

    def get(self, key, default=None):
        self.asked.add(key)
        return super().get(key, default)


class EntryReader:
    """Reads the members of a document.

    Parameters
    ----------
    document : object
        JSON value.
    label : str
        What the document is, for the message if it is no object.

    Attributes
    ----------
    problems : list of EntryProblem
        Problems found so far, one at most for each member or entry.

    Raises
    ------
    MalformedFieldError
        If the document is no object.

    Examples
    --------
    >>> reader = EntryReader({"sizes": [1, "x", 2, None]}, "document")
    >>> def parse(value):
    ...     return _json_fields.check_type(value, int, "size")
    >>> reader.parse_each("sizes", parse)
    (1, 2)
    >>> for problem in reader.problems:
    ...     print(problem)
    sizes[1]: size has the wrong type
    sizes[3]: size is missing or cannot be read
    """

    def __init__(self, document, label):
        self.problems = []
        _json_fields.check_type(document, dict, label)
        self._document = _RecordedObject(document)

    def read(self, key, expected_type):
        """Return a member; ``None`` if it is missing or has another type."""
        return self._try(
            "", _json_fields.read_field, self._document, key, expected_type
        )

    def parse_each(self, key, parse, is_required=True):
        """Parse each entry of a list.

        Parameters
        ----------
        key : str
            Name of the member that holds the list.
        parse : callable
            Returns what an entry stands for; raises `MalformedFieldError` if it
            cannot be used.
        is_required : bool, default=True
            Whether the list must be there.

        Returns
        -------
        tuple
            The entries that can be used.
        """
        if is_required:
            values = self.read(key, list)
        else:
            values = self._try("", _json_fields.read_list, self._document, key)
        parsed = []
        for index, value in enumerate(values or ()):
            path = f"{key}[{index}]"
            count = len(self.problems)
            entry = self._try(path, parse, value)
            if len(self.problems) == count:
                parsed.append(entry)
        return tuple(parsed)

    def parse_part(self, key, parse):
        """Parse a member that is an object; one that is missing counts as empty.

        Returns
        -------
        object or None
            What ``parse`` returns; ``None`` if the member cannot be used.
        """
        return self._try("", self._parse_object, key, parse)

    def find_misspelt(self):
        """Find members that nobody has read and that resemble one that is missing.

        Returns
        -------
        list of EntryProblem
            Problems that do not keep the document from being used.

        Examples
        --------
        >>> reader = EntryReader({"limit": 3}, "document")
        >>> reader.parse_each("limits", parse=str, is_required=False)
        ()
        >>> print(*reader.find_misspelt())
        limit is not read; perhaps limits is meant
        """
        return list(_find_misspelt("", self._document))

    def _parse_object(self, key, parse):
        value = self._document.get(key) or {}
        return parse(_json_fields.check_type(value, dict, key))

    def _try(self, path, parse, *arguments):
        try:
            return parse(*arguments)
        except _json_fields.MalformedFieldError as error:
            self.problems.append(EntryProblem(path, str(error)))
            return None


def _record(value):
    if isinstance(value, dict):
        return _RecordedObject(value)
    if isinstance(value, list):
        return [_record(each) for each in value]
    return value


def _find_misspelt(path, value):
    if isinstance(value, list):
        for index, each in enumerate(value):
            yield from _find_misspelt(f"{path}[{index}]", each)
    if not isinstance(value, _RecordedObject):
        return
    missing_by_lower = {key.lower(): key for key in value.asked - value.keys()}
    for key in value:
        if key not in value.asked:
            yield from _find_similar(path, key, missing_by_lower)
    for key, member in value.items():
        yield from _find_misspelt(f"{path}.{key}" if path else key, member)


def _find_similar(path, key, missing_by_lower):
    similar = difflib.get_close_matches(
        key.lower(), missing_by_lower, n=1, cutoff=MIN_SIMILARITY
    )
    for lower in similar:
        meant = missing_by_lower[lower]
        yield EntryProblem(path, f"{key} is not read; perhaps {meant} is meant")
