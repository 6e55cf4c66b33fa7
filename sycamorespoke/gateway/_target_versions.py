"""Weight versions that operators want in use."""

import math

import attrs

from sycamorespoke import decisions

MS_PER_S = 1000
# Whatever waits at an engine ends within this time.
MAX_REMEMBERED_S = 60.0


@attrs.frozen
class NamedVersion:
    """A weight version, and when operators named it.

    Parameters
    ----------
    version : int
        Weight version.
    named : decisions.NamingTime
        When it was named.
    """

    version: int
    named: decisions.NamingTime


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
    earlier : tuple of NamedVersion, default=()
        Targets before it that some engine may not have yet, in order.
    """

    model: str
    version: int
    seen_s: float
    named: decisions.NamingTime = attrs.field(factory=decisions.NamingTime)
    earlier: tuple[NamedVersion, ...] = ()

    @property
    def named_versions(self):
        """All targets that are remembered, as `NamedVersion`, in order."""
        return (*self.earlier, NamedVersion(self.version, self.named))

    def find_replacement(self, version):
        """Find the target that replaced a weight version.

        Parameters
        ----------
        version : int
            Weight version that an engine has; 0 if unknown.

        Returns
        -------
        NamedVersion or None
            ``None`` if no newer version is known to have been named.

        Examples
        --------
        >>> first = TargetVersion("m", 2, 4.0, decisions.NamingTime(4.0, 4.0))
        >>> target = first.replace_by(TargetVersion("m", 3, 9.0), first.named, 9.0)
        >>> [target.find_replacement(version) is None for version in (1, 2, 3)]
        [False, False, True]
        >>> target.find_replacement(1).version
        2
        """
        newer = (each for each in self.named_versions if each.version > version)
        return next(newer, None)

    def replace_by(self, target, named, now):
        """Return a newer target that remembers this one and those before it.

        Parameters
        ----------
        target : TargetVersion
            The newer target.
        named : decisions.NamingTime
            When it was named.
        now : float
            Current time, seconds of the boot clock.
        """
        remembered = self.named_versions
        while len(remembered) > 1 and _is_long_past(remembered[1], now):
            remembered = remembered[1:]
        return attrs.evolve(target, named=named, earlier=remembered)

    def refine(self, named_versions):
        """Return this target with what another host knows of when targets were named.

        Parameters
        ----------
        named_versions : iterable of NamedVersion
            Targets that the other host remembers.
        """
        named_by_version = {each.version: each.named for each in self.named_versions}
        for other in named_versions:
            if other.version <= self.version:
                own = named_by_version.get(other.version, decisions.NamingTime())
                combined = decisions.combine_naming_times(own, other.named)
                named_by_version[other.version] = combined
        named = named_by_version.pop(self.version)
        earlier = tuple(
            NamedVersion(version, named_by_version[version])
            for version in sorted(named_by_version)
        )
        return attrs.evolve(self, named=named, earlier=earlier)


def compute_max_age_ms(named, now):
    """Return the maximum age of a target at ``now``, milliseconds.

    ``None`` if it is not known when it was named.
    """
    age_s = named.compute_max_age_s(now)
    return int(age_s * MS_PER_S) if math.isfinite(age_s) else None


def _is_long_past(named_version, now):
    """Return whether a target was seen so long ago that those before do not matter."""
    return now - named_version.named.seen_s > MAX_REMEMBERED_S
