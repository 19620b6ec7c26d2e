"""Steps of keyspace/balance.feature."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when

from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import Candidate
from acaciasaddle.keyspace import KeyLoad
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.keyspace import KeyRange
from acaciasaddle.keyspace import Owner
from acaciasaddle.keyspace import Span
from acaciasaddle.keyspace import join_spans
from acaciasaddle.keyspace import plan_moves

_addresses: dict[str, str] = {}
"""Addresses of upstreams that share the address of another one."""


def _owner(name: str) -> Owner:
    return Owner(
        incarnation=UpstreamIncarnation(upstream_id=name, started_ms=1),
        address=_addresses.get(name, f"{name}:1"),
    )


_addresses: dict[str, str] = {}


def _apply(owners: KeyMap, moves: list[Any]) -> KeyMap:
    for move in moves:
        fence = owners.fence + 1
        span = Span(keys=move.keys, owner=move.target, fence=fence)
        owners = owners.replaced(move.keys, [span], fence=fence)
    return owners


class KeyBalanceSteps:
    """Guards against upstreams that hold more load than they can serve while others idle."""

    @staticmethod
    @given('key owners "{text}"')
    @given('key owners "{text}" of which "{slow_name}" takes {slowdown:g} times as long')
    def owners(context: Any, text: str, slow_name: str = "", slowdown: float = 1.0) -> None:
        spans = []
        for fence, item in enumerate(text.split(", "), start=1):
            name, _, keys = item.partition(" ")
            first, _, last = keys.partition("-")
            spans.append(
                Span(keys=KeyRange(int(first), int(last)), owner=_owner(name), fence=fence)
            )
        context.key_map = KeyMap(spans=tuple(spans), fence=len(spans), version=1)
        names = dict.fromkeys(span.owner.incarnation.upstream_id for span in spans)
        context.capacities = {
            name: 2.0 / (slowdown if name == slow_name else 1.0) for name in names
        }
        context.sampled = []
        context.moves = 0

    @staticmethod
    @given("{count:d} requests for evenly spread keys")
    def request_spread_keys(context: Any, count: int) -> None:
        context.sampled += [round(65_535 * index / count) for index in range(count)]

    @staticmethod
    @given("{count:d} requests for {key_count:d} keys from {first_key:d}")
    def request_hot_keys(context: Any, count: int, key_count: int, first_key: int) -> None:
        context.sampled += [first_key + index % key_count for index in range(count)]

    @staticmethod
    @given('an upstream "{name}" without keys')
    def upstream_without_keys(context: Any, name: str) -> None:
        context.capacities[name] = 2.0

    @staticmethod
    @given('upstreams "{one}" and "{other}" without keys at one address')
    def upstreams_at_one_address(context: Any, one: str, other: str) -> None:
        _addresses[other] = f"{one}:1"
        context.add_cleanup(_addresses.clear)
        for name in (one, other):
            context.capacities[name] = 2.0

    @staticmethod
    @given('the keys of "{name}" are moving')
    def moving(context: Any, name: str) -> None:
        owners = context.key_map
        spans = tuple(
            replace(span, moving=span.owner.incarnation.upstream_id == name)
            for span in owners.spans
        )
        context.key_map = replace(owners, spans=spans)

    @staticmethod
    @when("the keys are balanced for {rounds:d} rounds")
    def balance(context: Any, rounds: int) -> None:
        for _ in range(rounds):
            KeyBalanceSteps._round(context)

    @staticmethod
    @when('"{name}" leaves and the next moves are planned')
    def leave(context: Any, name: str) -> None:
        del context.capacities[name]
        KeyBalanceSteps._round(context)

    @staticmethod
    def _round(context: Any) -> None:
        moves = plan_moves(
            owners=context.key_map,
            candidates=[
                Candidate(owner=_owner(name), capacity=capacity)
                for name, capacity in context.capacities.items()
            ],
            load=KeyLoad(keys=sorted(context.sampled)),
            balance=True,
        )
        context.moves += len(moves)
        context.key_map = _apply(context.key_map, moves)

    @staticmethod
    @when("neighbouring ranges are joined")
    def join(context: Any) -> None:
        context.fence_before = context.key_map.fence
        context.key_map = join_spans(context.key_map)


class KeyBalanceOutcomeSteps:
    """Checks which upstream holds which load in the end."""

    @staticmethod
    def _loads(context: Any) -> dict[str, float]:
        load = KeyLoad(keys=sorted(context.sampled))
        result = dict.fromkeys(context.capacities, 0.0)
        for span in context.key_map.spans:
            result[span.owner.incarnation.upstream_id] += load.sample_count(span.keys)
        return result

    @staticmethod
    @then('the load of "{one}" is between {low:g} and {high:g} times that of "{other}"')
    def load_ratio(context: Any, one: str, low: float, high: float, other: str) -> None:
        loads = KeyBalanceOutcomeSteps._loads(context)
        assert low <= loads[one] / loads[other] <= high, loads

    @staticmethod
    @then("no upstream has more than {factor:g} times the mean load")
    def max_load(context: Any, factor: float) -> None:
        loads = KeyBalanceOutcomeSteps._loads(context)
        mean = sum(loads.values()) / len(loads)
        assert max(loads.values()) <= factor * mean, loads

    @staticmethod
    @then('"{name}" holds keys')
    def holds(context: Any, name: str) -> None:
        held = {span.owner.incarnation.upstream_id for span in context.key_map.spans}
        assert name in held, held

    @staticmethod
    @then('"{name}" holds no keys in the plan')
    def holds_none(context: Any, name: str) -> None:
        held = {span.owner.incarnation.upstream_id for span in context.key_map.spans}
        assert name not in held, held

    @staticmethod
    @then("no keys have moved")
    def unmoved(context: Any) -> None:
        assert context.moves == 0, context.moves

    @staticmethod
    @then('the owners are "{expected}"')
    def owners_are(context: Any, expected: str) -> None:
        found = ", ".join(
            f"{span.owner.incarnation.upstream_id} {span.keys.first}-{span.keys.last}"
            for span in context.key_map.spans
        )
        assert found == expected, found

    @staticmethod
    @then("the fencing token of the first range is above all earlier ones")
    def first_fence(context: Any) -> None:
        assert context.key_map.spans[0].fence > context.fence_before
