"""What has changed in the coordinator's beliefs since a host last heard of them.

At 70 hosts and 300 upstreams all owners take about 30 kB. Sending them to each host at every change
would fill the link of a small host, so hosts get the spans that have changed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace

from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.links._messages import OwnersPart
from acaciasaddle.links._messages import RegistryPart

KEPT_CHANGES = 64
"""Changes that are kept for hosts that lag behind: about 15 s of a coordinator that moves keys."""


class OwnersLog:
    """The latest owners of one service's keys, and the changes that led to them."""

    def __init__(self, *, service: str) -> None:
        self._service = service
        self._current: KeyMap | None = None
        self._steps: deque[OwnersPart] = deque(maxlen=KEPT_CHANGES)

    def update(self, owners: KeyMap) -> None:
        """Take the newest owners; the same version again changes nothing."""
        before = self._current
        if before is not None and before.version == owners.version:
            return
        self._current = owners
        step = self._step(before, owners) if before is not None else None
        if step is None:
            self._steps.clear()
        else:
            self._steps.append(step)

    def since(self, version: int) -> list[OwnersPart]:
        """Return what brings a host from a version (0: none) to the newest one."""
        if self._current is None or self._current.version == version:
            return []
        steps = list(self._steps)
        for index, step in enumerate(steps):
            if step.base == version:
                return steps[index:]
        return [self._part(self._current, base=0)]

    def _step(self, before: KeyMap, after: KeyMap) -> OwnersPart | None:
        """Return the spans that have changed, or ``None`` if they do not tell the whole change."""
        known = {id(span) for span in before.spans}
        changed = tuple(span for span in after.spans if id(span) not in known)
        part = self._part(replace(after, spans=changed), base=before.version)
        if len(changed) > len(after.spans) // 2 or apply_part(part, before) != after:
            return None
        return part

    def _part(self, owners: KeyMap, *, base: int) -> OwnersPart:
        return OwnersPart(
            service=self._service, base=base, version=owners.version, value=owners.to_json()
        )


def apply_part(part: OwnersPart, known: KeyMap | None) -> KeyMap:
    """Return the owners after a part. Raises ``PeerProtocolError`` if it builds on other ones."""
    sent = KeyMap.from_json(part.value, version=part.version)
    if part.base == 0:
        return sent
    if known is None or known.version != part.base:
        raise PeerProtocolError(
            f"owners of version {part.version} build on version {part.base}", step="links.owners"
        )
    owners = known
    for span in sent.spans:
        owners = owners.replaced(span.keys, [span], fence=span.fence)
    return replace(owners, version=part.version, fence=sent.fence)


@dataclass(slots=True)
class RegistryCursor:
    """The entries that one host has been sent."""

    sent: Mapping[str, UpstreamEntry] | None = None

    def advance(self, entries: Mapping[str, UpstreamEntry]) -> RegistryPart | None:
        """Return what the host lacks, or ``None`` if that is nothing."""
        before = self.sent
        if before is not None and before == entries:
            return None
        self.sent = dict(entries)
        if before is None:
            return RegistryPart(complete=True, entries=list(entries.values()), removed=[])
        return RegistryPart(
            complete=False,
            entries=[entry for name, entry in entries.items() if before.get(name) != entry],
            removed=[name for name in before if name not in entries],
        )
