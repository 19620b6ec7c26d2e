"""A request that waits for a slot of its upstream."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.model import UnitId


class WaitState(Enum):
    """What became of a waiting request."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True, eq=False)
class Waiting:
    """A request in the queue of an upstream.

    ``rank`` is the position of its rank in the rules, 0 for the most urgent. ``deadline`` and
    the other times are readings of the host's clock in seconds; ``expected`` is the slot time
    that it will probably take, 0 if nothing is known.
    """

    unit: UnitId
    kind: str
    rank: int
    bulky: bool
    arrived: float
    deadline: float
    key: str = ""
    expected: float = 0.0
    seq: int = 0
    started: float = 0.0
    state: WaitState = WaitState.WAITING
    error: AcaciasaddleError | None = None
    decided: trio.Event = field(default_factory=trio.Event)

    def grant(self, now: float) -> None:
        """Give the request a slot."""
        self.state = WaitState.GRANTED
        self.started = now
        self.decided.set()

    def refuse(self, error: AcaciasaddleError) -> None:
        """End the wait with an error."""
        self.state = WaitState.REFUSED
        self.error = error
        self.decided.set()
