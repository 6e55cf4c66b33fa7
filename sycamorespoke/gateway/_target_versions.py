"""Weight versions that operators want in use."""

import math

import attrs

from sycamorespoke import decisions

MS_PER_S = 1000


@attrs.frozen
class TargetVersion:
    """Weight version of a model that the operators want in use.

    Parameters
    ----------
    model : str
        Name of the model.
    version : int
        Weight version, which increases with each target.
    seen_s : float
        When this host received the target version, seconds of the boot clock.
    named : decisions.NamingTime
        When it was named, which may be long before; unknown by default.
    """

    model: str
    version: int
    seen_s: float
    named: decisions.NamingTime = attrs.field(factory=decisions.NamingTime)

    def compute_max_age_ms(self, now):
        """Return its maximum age at ``now``, milliseconds; ``None`` if unknown."""
        age_s = self.named.compute_max_age_s(now)
        return int(age_s * MS_PER_S) if math.isfinite(age_s) else None
