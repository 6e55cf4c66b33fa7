"""Shared objects about blocks of prompts that end upstreams."""

import hashlib

import attrs
import msgspec

from sycamorespoke import decisions

QUARANTINED_KEY = "quarantined"


@attrs.frozen
class CrashReport:
    """What one host process has seen of upstreams that ended.

    Parameters
    ----------
    name : str
        Name of the object, different for each process.
    broken_prompts : tuple of decisions.BrokenPrompt
        Prompts whose response had begun when their upstream ended.
    sound_blocks : tuple of str
        Blocks in reports of other hosts on which this host has seen a complete
        response, sorted.
    seen_s : float
        When this host received the report, seconds of the boot clock.
    """

    name: str
    broken_prompts: tuple[decisions.BrokenPrompt, ...]
    sound_blocks: tuple[str, ...]
    seen_s: float = 0.0

    def to_value(self):
        """Return the report as a JSON value."""
        value = msgspec.to_builtins(self)
        return {key: value[key] for key in ("broken_prompts", "sound_blocks")}


@attrs.frozen
class QuarantinedBlock:
    """A block that no host sends to an upstream.

    Parameters
    ----------
    name : str
        Name of the object.
    block_id : str
        ID of the block.
    seen_s : float
        When this host received the object, seconds of the boot clock.
    """

    name: str
    block_id: str
    seen_s: float = 0.0

    def to_value(self):
        """Return the block as a JSON value."""
        return {QUARANTINED_KEY: self.block_id}


def make_quarantined_block(block_id):
    """Return the `QuarantinedBlock` of a block, with the same name on every host."""
    # Callers choose the IDs of blocks, which may contain characters of a path.
    return QuarantinedBlock(hashlib.sha256(block_id.encode()).hexdigest(), block_id)


def parse_crash_record(name, value, now):
    """Parse the JSON value of a `CrashReport` or `QuarantinedBlock`.

    Parameters
    ----------
    name : str
        Name of the object.
    value : object
        JSON value.
    now : float
        Time at which it was received, seconds of the boot clock.

    Returns
    -------
    CrashReport or QuarantinedBlock
        The object.

    Raises
    ------
    ValueError
        If the value is malformed.

    Examples
    --------
    >>> block = make_quarantined_block("5c1e07a2")
    >>> parse_crash_record(block.name, block.to_value(), 7.0).block_id
    '5c1e07a2'
    """
    if not isinstance(value, dict):
        raise ValueError("not a crash record: not a JSON object")
    try:
        if QUARANTINED_KEY in value:
            block_id = msgspec.convert(value[QUARANTINED_KEY], str)
            return QuarantinedBlock(name, block_id, now)
        fields = {**value, "name": name, "seen_s": now}
        return msgspec.convert(fields, CrashReport)
    except msgspec.ValidationError as error:
        raise ValueError(f"not a crash record: {error}") from error
