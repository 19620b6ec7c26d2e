"""A request on its way through the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import trio

from acaciasaddle.dispatch._exchange import Exchange
from acaciasaddle.dispatch._once import OnceEntry
from acaciasaddle.dispatch._streams import Answer
from acaciasaddle.dispatch._streams import Upload
from acaciasaddle.dispatch._target import Target
from acaciasaddle.dispatch._waiting import Waiting
from acaciasaddle.model import WorkRequest


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A request, its bodies and its state. ``deadline`` is a reading of the host's clock.

    ``may_repeat``: the kind may run twice without harm. ``sent`` is true once the current
    attempt may have reached the upstream, and ``unsettled`` is an attempt that was given up
    while the upstream may go on with it; ``may_have_run`` is true if that goes for an earlier
    attempt; ``lost`` if the upstream's lease has expired.
    """

    req: WorkRequest
    target: Target
    upload: Upload
    answer: Answer
    deadline: float
    may_repeat: bool
    rank: int
    entry: OnceEntry | None = None
    waiting: Waiting | None = None
    attempts: int = 0
    sent: bool = False
    may_have_run: bool = False
    unsettled: Exchange | None = None
    lost: bool = False
    error: Exception | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)

    def abandon(self) -> None:
        """The caller is gone: stop, unless the request runs and its result is to be kept."""
        if self.entry is not None and self.sent and self.upload.complete:
            self.answer.detach()
        else:
            self.scope.cancel()

    def lose(self) -> None:
        """The upstream is lost: stop."""
        self.lost = True
        self.scope.cancel()
