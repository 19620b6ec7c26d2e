"""Workload files of the load tool, in JSON with comments, and the keys drawn for them."""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from dataclasses import field
from itertools import accumulate
from typing import TYPE_CHECKING
from typing import Annotated
from typing import ClassVar
from typing import Literal

import json5
import pydantic
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter

from acaciasaddle.errors import ConfigError

if TYPE_CHECKING:
    import random
    from pathlib import Path

STRICT = ConfigDict(extra="forbid")

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=0)]
Share = Annotated[float, Field(gt=0, le=1)]


@dataclass(frozen=True, kw_only=True)
class HotKey:
    """A key that gets the fraction ``share`` of the requests from ``start_s`` to ``end_s``."""

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    key: str
    share: Share
    start_s: NonNegative = 0.0
    end_s: Positive = float("inf")


@dataclass(frozen=True, kw_only=True)
class KeyDistribution:
    """Keys ``<prefix>0`` to ``<prefix><count - 1>`` and the frequency of each.

    The ``hot`` keys get their shares of the requests. The keys of the other requests are drawn by
    ``distribution``.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    count: Annotated[int, Field(ge=1)] = 1000
    prefix: str = "k"
    distribution: Literal["uniform", "zipf"] = "uniform"
    zipf_exponent: Positive = 1.0
    hot: tuple[HotKey, ...] = ()


@dataclass(frozen=True, kw_only=True)
class LoadKind:
    """A kind of request. ``path`` contains ``{key}``; ``rate`` is in requests per second.

    ``work_ms`` and ``reply_bytes`` are passed to the upstream stand-in as query parameters. A
    ``once`` request has an idempotency key. Requests are planned from ``start_s`` to ``end_s`` of
    the run. ``keys`` replaces the workload's keys for this kind.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    name: str
    path: str
    rate: Positive
    rank: str
    target_ms: Positive
    method: str = "GET"
    once: bool = False
    weight: NonNegative = 1.0
    body_bytes: Count = 0
    reply_bytes: Count = 0
    work_ms: NonNegative | None = None
    timeout_s: Positive = 10.0
    start_s: NonNegative = 0.0
    end_s: Positive = float("inf")
    keys: KeyDistribution | None = None


@dataclass(frozen=True, kw_only=True)
class Workload:
    """The requests that the load tool sends, and how it repeats and limits them.

    ``repeats`` is the largest number of times that a ``once`` request is sent again. ``drain_s`` is
    the time to wait for responses after the last planned request.
    """

    __pydantic_config__: ClassVar[ConfigDict] = STRICT

    kinds: Annotated[tuple[LoadKind, ...], Field(min_length=1)]
    duration_s: Positive
    seed: int = 1
    keys: KeyDistribution = field(default_factory=KeyDistribution)
    callers: Annotated[int, Field(ge=1)] = 20
    caller_header: str = "X-Client-Id"
    repeats: Count = 0
    repeat_delay_s: NonNegative = 0.2
    max_in_flight: Annotated[int, Field(ge=1)] = 800
    drain_s: NonNegative = 10.0


WORKLOAD = TypeAdapter(Workload)


def parse_workload(text: str, *, source: str) -> Workload:
    """Parse a workload; raises ``ConfigError`` with the file and all problems."""
    try:
        value = json5.loads(text)
    except ValueError as exc:
        raise ConfigError(
            f"workload is not JSON with comments: {exc}", step="workload.parse", peer=source
        ) from None
    try:
        workload = WORKLOAD.validate_python(value)
    except pydantic.ValidationError as exc:
        problems = tuple(
            f"{'.'.join(str(part) for part in item['loc'])}: {item['msg']}"
            for item in exc.errors(include_url=False)
        )
        raise ConfigError(
            f"workload is invalid: {'; '.join(problems)}",
            problems=problems,
            step="workload.check",
            peer=source,
        ) from None
    names = [kind.name for kind in workload.kinds]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ConfigError(
            f"duplicate kinds: {', '.join(duplicates)}",
            step="workload.check",
            peer=source,
        )
    return workload


def read_workload(path: Path) -> Workload:
    """Read a workload file; raises ``ConfigError``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError(
            f"workload cannot be read: {exc}", step="workload.read", peer=str(path)
        ) from None
    return parse_workload(text, source=str(path))


class KeyPicker:
    """Draws keys at random from a distribution."""

    def __init__(self, *, keys: KeyDistribution, rng: random.Random) -> None:
        self._keys = keys
        self._rng = rng
        self._cumulative: list[float] = []
        if keys.distribution == "zipf":
            weights = ((rank + 1) ** -keys.zipf_exponent for rank in range(keys.count))
            self._cumulative = list(accumulate(weights))

    def pick(self, elapsed_s: float) -> str:
        """Draw a key for a request ``elapsed_s`` seconds after the start of the run."""
        drawn = self._rng.random()
        for hot in self._keys.hot:
            if not hot.start_s <= elapsed_s < hot.end_s:
                continue
            if drawn < hot.share:
                return hot.key
            drawn -= hot.share
        if not self._cumulative:
            return f"{self._keys.prefix}{self._rng.randrange(self._keys.count)}"
        point = self._rng.random() * self._cumulative[-1]
        return f"{self._keys.prefix}{bisect(self._cumulative, point)}"
