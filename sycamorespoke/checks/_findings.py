"""What a check finds in a configuration."""

import enum

import attrs


class FindingKind(enum.Enum):
    """Kind of a finding."""

    # The hosts refuse the whole configuration.
    MALFORMED = "malformed"
    # A field that nobody reads has a name like that of one that is missing.
    MISSPELT = "misspelt"
    # Something is named that is not defined.
    UNDEFINED = "undefined"
    # Two entries claim the same name or key.
    AMBIGUOUS = "ambiguous"
    # No request can use the entry.
    NEVER_MATCHES = "never matches"
    # The entry, or one of its values, changes nothing.
    WITHOUT_EFFECT = "without effect"
    # Two values cannot both be meant.
    CONTRADICTION = "contradiction"
    # The hosts keep the configuration that they have.
    NOT_NEWER = "not newer"


@attrs.frozen
class Finding:
    """Something in a configuration that its author can hardly have meant.

    Parameters
    ----------
    kind : FindingKind
        Kind.
    subject : str
        The entry that it concerns, for example ``"route lookups"``.
    text : str
        What is found; never contains an API key.

    Examples
    --------
    >>> print(Finding(FindingKind.WITHOUT_EFFECT, "service s", "no route uses it"))
    service s: without effect: no route uses it
    """

    kind: FindingKind
    subject: str
    text: str

    def __str__(self):
        return f"{self.subject}: {self.kind.value}: {self.text}"
