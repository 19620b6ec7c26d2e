"""Changes of owners and upstreams since the coordinator last sent them to a host.

With 70 hosts and 300 upstreams, all owners take about 30 kB before compression. Sending them to
each host at every change would fill the link of a small host, so hosts are sent only the spans that
have changed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace

from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PlatformError
from acaciasaddle.fleet import UpstreamEntry
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.links._messages import OwnersPart
from acaciasaddle.links._messages import RegistryPart

MAX_KEPT_CHANGES = 64
"""Changes kept for hosts that lag behind: about 15 s while the coordinator moves keys."""


class OwnersHistory:
    """The latest owners of one service's keys, and the changes that led to them."""

    def __init__(self, *, service: str) -> None:
        self._service = service
        self._current: KeyMap | None = None
        self._changes: deque[OwnersPart] = deque(maxlen=MAX_KEPT_CHANGES)

    def update(self, owners: KeyMap) -> None:
        """Record the newest owners, unless their version is already the current one."""
        before = self._current
        if before is not None and before.version == owners.version:
            return
        self._current = owners
        change = self._change_between(before, owners) if before is not None else None
        if change is None:
            self._changes.clear()
        else:
            self._changes.append(change)

    def since(self, version: int) -> list[OwnersPart]:
        """Return what a host with a given version (0: none) needs to get the newest owners."""
        if self._current is None or self._current.version == version:
            return []
        changes = list(self._changes)
        for index, change in enumerate(changes):
            if change.base == version:
                return changes[index:]
        return [self._make_part(self._current, base=0)]

    def _change_between(self, before: KeyMap, after: KeyMap) -> OwnersPart | None:
        """Return the spans that have changed.

        Return ``None`` if more than half of the spans have, or if these spans alone do not describe
        the whole change.
        """
        # ``KeyMap.replaced`` keeps the objects of unchanged spans, so identity shows what changed.
        known = {id(span) for span in before.spans}
        changed = tuple(span for span in after.spans if id(span) not in known)
        part = self._make_part(replace(after, spans=changed), base=before.version)
        if len(changed) > len(after.spans) // 2 or apply_part(part, before) != after:
            return None
        return part

    def _make_part(self, owners: KeyMap, *, base: int) -> OwnersPart:
        return OwnersPart(
            service=self._service, base=base, version=owners.version, value=owners.to_json()
        )


def apply_part(part: OwnersPart, known: KeyMap | None) -> KeyMap:
    """Return the known owners with a part applied.

    Raises ``PeerProtocolError`` if the part is malformed or based on another version.
    """
    try:
        sent = KeyMap.from_json(part.value, version=part.version)
    except PlatformError as exc:
        raise PeerProtocolError(exc.message, step="links.owners") from exc
    if part.base == 0:
        return sent
    if known is None or known.version != part.base:
        raise PeerProtocolError(
            f"version {part.version} of the owners is based on unknown version {part.base}",
            step="links.owners",
        )
    owners = known
    for span in sent.spans:
        owners = owners.replaced(span.keys, [span], fence=span.fence)
    return replace(owners, version=part.version, fence=sent.fence)


@dataclass(slots=True)
class RegistryCursor:
    """The entries of the registry that one host has been sent, and the era in which it was."""

    sent: Mapping[str, UpstreamEntry] | None = None
    restored: frozenset[str] = frozenset()
    era: int = 0

    def advance(
        self,
        entries: Mapping[str, UpstreamEntry],
        *,
        restored: frozenset[str] = frozenset(),
        era: int = 0,
    ) -> RegistryPart | None:
        """Return the changes since the entries last sent, or ``None`` if there are none.

        ``restored`` names the entries that may be from the store's older copy. An entry that no
        longer is one of them is sent again, and all entries are in a new era.
        """
        before = self.sent if era == self.era else None
        if before is not None and before == entries and self.restored == restored:
            return None
        changed = restored ^ self.restored
        self.sent, self.restored, self.era = dict(entries), restored, era
        if before is None:
            return RegistryPart(
                complete=True,
                entries=list(entries.values()),
                removed=[],
                restored=sorted(restored),
            )
        to_send = [
            entry for name, entry in entries.items() if before.get(name) != entry or name in changed
        ]
        return RegistryPart(
            complete=False,
            entries=to_send,
            removed=[name for name in before if name not in entries],
            restored=[entry.upstream_id for entry in to_send if entry.upstream_id in restored],
        )
