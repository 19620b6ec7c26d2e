"""A request and its state in the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import trio

from acaciasaddle.dispatch._exchange import Exchange
from acaciasaddle.dispatch._once import OnceEntry
from acaciasaddle.dispatch._streams import CallerResponse
from acaciasaddle.dispatch._streams import Upload
from acaciasaddle.dispatch._target import Target
from acaciasaddle.dispatch._waiting import SlotRequest
from acaciasaddle.model import WorkRequest


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A request, its bodies and its state.

    ``deadline`` is a reading of the host's clock. ``entry`` is the record of an at-most-once
    request, ``None`` for others. ``may_repeat`` is true if the request is idempotent and not one
    that must run at most once. ``sent`` is true once the current attempt may have reached the
    upstream, and false again if it was refused there. ``may_have_run`` is true if an earlier
    attempt may have run. ``unfinished_exchange`` is an attempt that was abandoned while the
    upstream may still be working on it. ``upstream_lost`` is true once the upstream's lease has
    expired.
    """

    req: WorkRequest
    target: Target
    upload: Upload
    response: CallerResponse
    deadline: float
    may_repeat: bool
    rank: int
    entry: OnceEntry | None = None
    slot_request: SlotRequest | None = None
    attempts: int = 0
    sent: bool = False
    may_have_run: bool = False
    unfinished_exchange: Exchange | None = None
    upstream_lost: bool = False
    error: Exception | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)

    def abandon(self) -> None:
        """Stop the job because its caller has gone.

        At-most-once work that has been sent completely goes on, so that its result is recorded for
        repeats.
        """
        if self.entry is not None and self.sent and self.upload.complete:
            self.response.detach()
        else:
            self.scope.cancel()

    def abort(self) -> None:
        """Stop the job because its upstream is lost."""
        self.upstream_lost = True
        self.scope.cancel()
