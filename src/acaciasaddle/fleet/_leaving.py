"""Incarnations of upstreams that leave. This module uses no network and no clock."""

from __future__ import annotations

from dataclasses import dataclass

from acaciasaddle.fleet._types import UpstreamIncarnation

MAX_REMEMBERED = 4_096
"""Bound on memory. The incarnation noted first is forgotten first; by then it has long ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Note:
    """``told_at`` is when an answer said so; ``None`` if the registry or another host did."""

    life: UpstreamIncarnation
    told_at: float | None


class LeavingIncarnations:
    """Remembers which incarnations leave. One that leaves never takes new work again."""

    def __init__(self) -> None:
        self._notes: dict[str, _Note] = {}

    def note(self, life: UpstreamIncarnation, *, told_at: float | None) -> bool:
        """Remember that an incarnation leaves; return whether that is news.

        ``told_at`` is the time at which one of its answers said so, or ``None`` if the registry or
        another host did. A later incarnation of the same upstream replaces an earlier one.
        """
        known = self._notes.get(life.upstream_id)
        if known is not None and known.life.started_ms > life.started_ms:
            return False
        if known is not None and known.life == life:
            if told_at is None and known.told_at is not None:
                self._notes[life.upstream_id] = _Note(life=life, told_at=None)
            return False
        self._notes.pop(life.upstream_id, None)
        self._notes[life.upstream_id] = _Note(life=life, told_at=told_at)
        if len(self._notes) > MAX_REMEMBERED:
            del self._notes[next(iter(self._notes))]
        return True

    def includes(self, life: UpstreamIncarnation) -> bool:
        """Return whether an incarnation is known to leave or to have been followed by another."""
        known = self._notes.get(life.upstream_id)
        return known is not None and known.life.started_ms >= life.started_ms

    def told_at(self, life: UpstreamIncarnation) -> float | None:
        """Return when an answer said that an incarnation leaves, if nothing else has said so."""
        known = self._notes.get(life.upstream_id)
        return known.told_at if known is not None and known.life == life else None

    def told_by_answers(self) -> list[UpstreamIncarnation]:
        """Return the incarnations of which only an answer has said that they leave."""
        return [note.life for note in self._notes.values() if note.told_at is not None]
