"""Faults of a rules file."""

import attrs


@attrs.frozen
class Fault:
    """A fault in a rules file.

    Parameters
    ----------
    file : str
        Name of the file as given by the operator.
    line : int
        Line number, from 1.
    column : int
        Column number, from 1.
    cause : str
        Description of the fault; never contains the value of a key.
    mend : str
        How to correct it.

    Examples
    --------
    >>> print(Fault("rules.txt", 3, 9, "unknown word colour", "remove it"))
    rules.txt:3:9: unknown word colour; remove it
    """

    file: str
    line: int
    column: int
    cause: str
    mend: str

    def __str__(self):
        return f"{self.file}:{self.line}:{self.column}: {self.cause}; {self.mend}"


@attrs.frozen
class Faults:
    """Sentinel for a rules file that is rejected because of faults.

    Parameters
    ----------
    items : tuple of Fault
        All faults, ordered by line and column; at least one.
    """

    items: tuple[Fault, ...]

    def __str__(self):
        return "\n".join(str(fault) for fault in self.items)
