"""A request for a slot of an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.model import UnitId


class SlotRequestState(Enum):
    """Whether a slot was granted or refused."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"


@dataclass(slots=True, kw_only=True, eq=False)
class SlotRequest:
    """A request that waits for a slot of an upstream or occupies one.

    ``rank`` is the position of its rank in the rules, 0 for the most urgent. ``arrived``,
    ``deadline`` and ``started``, the time of the grant, are readings of the host's clock in
    seconds. ``expected`` is the slot time in seconds that it will probably use, 0 if unknown.
    ``seq`` is its position in the order of arrival. ``decided`` is set with the final state.
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
    state: SlotRequestState = SlotRequestState.WAITING
    error: AcaciasaddleError | None = None
    decided: trio.Event = field(default_factory=trio.Event)

    def grant(self, now: float) -> None:
        """Grant the slot."""
        self.state = SlotRequestState.GRANTED
        self.started = now
        self.decided.set()

    def refuse(self, error: AcaciasaddleError) -> None:
        """Refuse the slot with an error."""
        self.state = SlotRequestState.REFUSED
        self.error = error
        self.decided.set()
