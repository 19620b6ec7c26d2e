"""Revisions of a store that may come back from an older copy.

Such a store gives its versions out again. Its era, which rises each time, tells the two apart: a
revision has the era in its upper and the version in its lower bits, so that revisions are in order
whatever the versions are. In a store without eras, revisions are its versions.
"""

from __future__ import annotations

VERSION_BITS = 40
"""A store that applies 3,000 transactions a second uses up this many versions in 11 years."""
MAX_ERA = 1 << 20
"""Larger eras are not plausible, and their revisions and fencing tokens would no longer be exact
in JSON numbers."""


def revision_of(era: int, version: int) -> int:
    """Return the revision of a version that the store gave out in an era."""
    return era << VERSION_BITS | version


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> VERSION_BITS


def version_of(revision: int) -> int:
    """Return the version of a revision, as the store knows it."""
    return revision & ((1 << VERSION_BITS) - 1)
