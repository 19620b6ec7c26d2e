"""Steps of ownership/rendezvous.feature."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.ownership._rendezvous import rendezvous_owner


def _parse(text: str) -> list[tuple[str, float]]:
    pairs = [entry.split("=") for entry in text.split(", ")]
    return [(name, float(weight)) for name, weight in pairs]


class RendezvousSteps:
    """Guards against needless moves and wrong shares."""

    @staticmethod
    @given('rendezvous candidates "{candidates}"')
    def candidates(context: Any, candidates: str) -> None:
        context.candidates = _parse(candidates)

    @staticmethod
    @when('the rendezvous candidates become "{after}"')
    def change_candidates(context: Any, after: str) -> None:
        context.changed_candidates = _parse(after)

    @staticmethod
    @then('{count:d} rendezvous units are shared as "{shares}" within {margin:f}')
    def shared(context: Any, count: int, shares: str, margin: float) -> None:
        owners = Counter(rendezvous_owner(f"s/g/{i}", context.candidates) for i in range(count))
        for name, share in _parse(shares):
            assert abs(owners[name] / count - share) <= margin, owners

    @staticmethod
    @then("the only moves of {count:d} rendezvous units are {moved}")
    def only_moves(context: Any, count: int, moved: str) -> None:
        moves = Counter()
        for i in range(count):
            old = rendezvous_owner(f"s/g/{i}", context.candidates)
            new = rendezvous_owner(f"s/g/{i}", context.changed_candidates)
            if old != new:
                moves[f"from {old}"] += 1
                moves[f"to {new}"] += 1
        total = sum(moves.values()) // 2
        assert (total > 0) == (moved != "none"), moves
        assert moved == "none" or moves[moved] == total, moves

    @staticmethod
    @then("a rendezvous unit has no owner")
    def no_owner(context: Any) -> None:
        try:
            owner = rendezvous_owner("s/g/0", context.candidates)
        except ValueError:
            return
        raise AssertionError(owner)
