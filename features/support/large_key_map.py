"""Key map of a service in a large deployment."""

from __future__ import annotations

from acaciasaddle.fleet import UpstreamIncarnation
from acaciasaddle.keyspace import KEY_COUNT
from acaciasaddle.keyspace import KeyMap
from acaciasaddle.keyspace import KeyRange
from acaciasaddle.keyspace import Owner
from acaciasaddle.keyspace import Span


def large_key_map(*, upstreams: int, spans: int) -> KeyMap:
    """Return a key map in which neighbouring spans have different owners.

    All spans have the same size, except that the last one also has the remaining keys.
    """
    owners = [
        Owner(
            incarnation=UpstreamIncarnation(
                upstream_id=f"i-{number * 2_654_435_761 % 2**40:010x}", started_ms=started_ms
            ),
            address=f"10.{number % 4}.64.{number % 250}:{8_000 + number}",
        )
        for number, started_ms in zip(
            range(upstreams), range(1_796_000_000_000, 1_797_000_000_000, 1_234_567), strict=False
        )
    ]
    size = KEY_COUNT // spans
    return KeyMap(
        spans=tuple(
            Span(
                keys=KeyRange(
                    index * size, KEY_COUNT - 1 if index == spans - 1 else (index + 1) * size - 1
                ),
                owner=owners[index * 7 % upstreams],
                fence=10_000 + index * 13 % 5_000,
            )
            for index in range(spans)
        ),
        fence=20_000,
        version=100,
    )
