"""Faults of a settings file."""

import attrs


@attrs.frozen
class Fault:
    """A fault in a settings file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Line number, from 1.
    key : str
        Key of the setting; empty for a fault of the file as a whole.
    cause : str
        Description of the fault; never contains the value.
    mend : str
        How to correct it.

    Examples
    --------
    >>> print(Fault("entry.yaml", 3, "threads", "out of range", "write 1 to 1024"))
    entry.yaml:3: threads: out of range; write 1 to 1024
    """

    file: str
    line: int
    key: str
    cause: str
    mend: str

    def __str__(self):
        key = f"{self.key}: " if self.key else ""
        return f"{self.file}:{self.line}: {key}{self.cause}; {self.mend}"


@attrs.frozen
class Faults:
    """Sentinel for a settings file that is rejected because of faults.

    Parameters
    ----------
    items : tuple of Fault
        All faults, ordered by line; at least one.
    """

    items: tuple[Fault, ...]

    def __str__(self):
        return "\n".join(str(fault) for fault in self.items)
