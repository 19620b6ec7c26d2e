"""The bound on the memory of all bodies, and the order in which large ones are admitted.

A body is *small* up to ``SMALL_BODY_BYTES``. Small bodies have a part of the bound that large ones
cannot use, so they are never held up. Of the rest, uploads leave a part to responses.

Tasks cannot wait for each other in a circle: a large upload waits only before it holds any memory,
and of the responses that wait for memory one may exceed the bound at any time. It is one that its
connection sends next, so it waits for its caller only.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NoReturn

import trio

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.observe import NullMetrics
from acaciasaddle.observe import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciasaddle.observe import Metrics

SMALL_BODY_BYTES = 65_536
DEFAULT_HOST_BYTES = 200_000_000
BODIES_SHARE = 0.5
"""Share of the host's memory for bodies. The rest is for the process itself, connections with their
unread input, and one response beyond the bound."""
SMALL_SHARE = 0.125
"""Share of the bound that only small bodies use."""
UPLOAD_SHARE = 0.75
"""Largest share of the bound for large uploads. On a host with 200 MB it holds one of 64 MiB."""
OVERHEAD_BYTES = {"small": 32_768, "upload": 131_072, "response": 0}
"""Memory that a request takes beside its body: tasks, connections, buffers, and what the allocator
cannot use. ``benchmarks/memory.py`` measures it."""
MAX_WAITING = 128
"""Largest number of uploads that wait. Each has up to 32 KiB of input in buffers."""
INITIAL_HOLD_S = 0.5
HOLD_WEIGHT = 0.2
"""Weight of the newest sample in the moving average of the time that uploads hold memory."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0

log = get_logger("memory")


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyTerms:
    """The request of a large body: its id, its rank and its deadline on trio's clock."""

    request_id: str
    rank: int
    ends_at: float


class Hold:
    """Memory that one body has been given. It is released by ``release`` or with the object.

    ``size`` is that of the body. ``OVERHEAD_BYTES`` are held as well until the release. ``exceeds``
    is true for the response that may exceed the bound.
    """

    __slots__ = ("_bound", "_is_open", "_kind", "_since", "exceeds", "size")

    def __init__(self, *, bound: MemoryBound, kind: str, size: int) -> None:
        self._bound = bound
        self._kind = kind
        self._since = trio.current_time()
        self._is_open = True
        self.exceeds = False
        self.size = 0
        bound._change(kind, OVERHEAD_BYTES[kind])
        self.resize(size)

    def resize(self, size: int) -> None:
        """Change the size without regard to the bound."""
        change, self.size = size - self.size, size
        self._bound._change(self._kind, change)

    def try_grow(self, size: int) -> bool:
        """Increase the size to ``size`` and return true, or return false if that does not fit."""
        if not self._bound.fits(self._kind, size - self.size):
            return False
        self.resize(size)
        return True

    def release(self) -> None:
        """Give the memory back. Nothing happens if there is none left."""
        if self._is_open and self._kind == "upload":
            self._bound._note_hold_time(trio.current_time() - self._since)
        self._drop()

    def _drop(self) -> None:
        if self._is_open:
            self._is_open = False
            if self.exceeds:
                self._bound._note_exceeding_ended()
            size, self.size = self.size, 0
            self._bound._change(self._kind, -size - OVERHEAD_BYTES[self._kind])

    def __del__(self) -> None:
        self._drop()


@dataclass(eq=False, slots=True, kw_only=True)
class _Waiter:
    """An upload that waits.

    ``number`` is the order of arrival, and ``charged`` its size with the overhead.
    """

    rank: int
    number: int
    size: int
    charged: int
    admitted: trio.Event = field(default_factory=trio.Event)
    hold: Hold | None = None

    def __lt__(self, other: _Waiter) -> bool:
        return (self.rank, self.number) < (other.rank, other.number)


class MemoryBound:
    """Admits bodies while they fit, in bytes. ``used`` is what all of them hold now."""

    def __init__(
        self, *, host_bytes: int = DEFAULT_HOST_BYTES, metrics: Metrics | None = None
    ) -> None:
        """``host_bytes`` is the memory of the host."""
        self._metrics = metrics or NullMetrics()
        self.total = int(host_bytes * BODIES_SHARE)
        self._small_total = int(self.total * SMALL_SHARE)
        self._upload_total = int(self.total * UPLOAD_SHARE)
        self._used = {"small": 0, "upload": 0, "response": 0}
        self._waiting: list[_Waiter] = []
        self._arrivals = 0
        self._released = trio.Event()
        self._is_exceeded = False
        self._hold_s = INITIAL_HOLD_S
        self._stopping = False

    @property
    def used(self) -> int:
        """Bytes that all bodies hold."""
        return sum(self._used.values())

    @property
    def waiting(self) -> int:
        """Number of uploads that wait for memory."""
        return len(self._waiting)

    def fits(self, kind: str, size: int) -> bool:
        """Return whether ``size`` more bytes of a kind of body fit."""
        used = self._used
        if kind == "small":
            return used[kind] + size <= self._small_total or self.used + size <= self.total
        large = used["upload"] + used["response"] + size
        if large > self.total - self._small_total or self.used + size > self.total:
            return False
        return kind != "upload" or used[kind] + size <= self._upload_total

    def hold_small(self, size: int) -> Hold:
        """Return memory for a small upload; raises ``RefusedError`` if there is none."""
        if not self.fits("small", size + OVERHEAD_BYTES["small"]):
            self._refuse("no memory is free for small bodies", size, None, 0.0)
        return Hold(bound=self, kind="small", size=size)

    async def hold_upload(self, size: int, terms: BodyTerms) -> Hold:
        """Return memory for a large upload; wait for it as long as the request can be served.

        Uploads are admitted by rank, then in the order of their arrival. Raises ``RefusedError`` if
        the upload cannot be served in its time.
        """
        charged = size + OVERHEAD_BYTES["upload"]
        if not self._waiting and self.fits("upload", charged):
            return Hold(bound=self, kind="upload", size=size)
        started = trio.current_time()
        self._arrivals += 1
        waiter = _Waiter(rank=terms.rank, number=self._arrivals, size=size, charged=charged)
        expected_s = self._expected_wait_s(waiter)
        # The average may be that of larger bodies or slower callers.
        wait_until = max(terms.ends_at - self._hold_s, (started + terms.ends_at) / 2)
        if charged > self._upload_total:
            self._refuse("the body exceeds the bound", size, terms, MAX_RETRY_AFTER_S)
        if self._stopping:
            self._refuse("this host stops", size, terms, MIN_RETRY_AFTER_S)
        if started + expected_s > wait_until or len(self._waiting) >= MAX_WAITING:
            self._refuse("no memory is free in time", size, terms, expected_s)
        insort(self._waiting, waiter)
        try:
            with trio.move_on_at(wait_until):
                await waiter.admitted.wait()
        except trio.Cancelled:
            if waiter.hold is not None:
                waiter.hold.release()
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
                self._admit_waiting()
        hold = waiter.hold
        waited_s = trio.current_time() - started
        self._metrics.count("memory.upload_waited")
        self._metrics.timing("memory.wait_time", waited_s * 1000)
        if hold is None:
            reason = "this host stops" if self._stopping else "no memory is free in time"
            self._refuse(reason, size, terms, expected_s, waited_s=waited_s)
        self._log("upload waited for memory", size, terms, waited_s)
        return hold

    def refuse_growth(self, size: int, terms: BodyTerms) -> NoReturn:
        """Raise ``RefusedError`` for an upload that cannot take more memory now."""
        self._refuse("no memory is free for the rest", size, terms, self._hold_s)

    async def grow_response(
        self, hold: Hold | None, size: int, *, is_next: Callable[[], bool]
    ) -> Hold:
        """Return the memory of a response, increased to ``size``; wait until that fits.

        ``is_next`` returns whether its connection sends it next. Of the responses that wait and are
        next, one may exceed the bound, so that there is always one that goes on. A small response
        is never held up.
        """
        if hold is None:
            hold = Hold(bound=self, kind="response", size=0)
        waited = False
        while size > SMALL_BODY_BYTES and not self.fits("response", size - hold.size):
            if not self._is_exceeded and is_next():
                self._is_exceeded = hold.exceeds = True
            if hold.exceeds:
                break
            if not waited:
                waited = True
                self._metrics.count("memory.response_waited")
                self._log("response waits for memory", size, None, 0.0)
            await self._released.wait()
        hold.resize(size)
        return hold

    def notify_next(self) -> None:
        """Note that another response has become the next one of its connection."""
        self._notify_released()

    def refuse_waiting(self) -> None:
        """Refuse the uploads that wait, and from now on those that would have to."""
        self._stopping = True
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            waiter.admitted.set()

    def _change(self, kind: str, change: int) -> None:
        self._used[kind] += change
        if change < 0:
            self._admit_waiting()
            self._notify_released()

    def _note_exceeding_ended(self) -> None:
        self._is_exceeded = False
        self._notify_released()

    def _note_hold_time(self, seconds: float) -> None:
        self._hold_s += HOLD_WEIGHT * (seconds - self._hold_s)

    def _notify_released(self) -> None:
        self._released.set()
        self._released = trio.Event()

    def _admit_waiting(self) -> None:
        while self._waiting and self.fits("upload", self._waiting[0].charged):
            waiter = self._waiting.pop(0)
            waiter.hold = Hold(bound=self, kind="upload", size=waiter.size)
            waiter.admitted.set()

    def _expected_wait_s(self, waiter: _Waiter) -> float:
        """Return the expected time until an upload is admitted.

        All uploads that hold memory are expected to release it in the average time.
        """
        ahead = sum(other.charged for other in self._waiting if other < waiter)
        large = self._used["upload"] + self._used["response"]
        excess = large + ahead + waiter.charged - self._upload_total
        return self._hold_s * max(0.0, excess / self._upload_total)

    def _refuse(
        self,
        reason: str,
        size: int,
        terms: BodyTerms | None,
        retry_after_s: float,
        *,
        waited_s: float = 0.0,
    ) -> NoReturn:
        self._metrics.count("memory.upload_refused")
        self._log("upload refused", size, terms, waited_s, reason=reason)
        raise RefusedError(
            reason,
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after=min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S),
            step="memory.hold",
        )

    def _log(
        self, event: str, size: int, terms: BodyTerms | None, waited_s: float, *, reason: str = ""
    ) -> None:
        log.info(
            event,
            request=terms.request_id if terms else "",
            bytes=size,
            used_bytes=self.used,
            bound_bytes=self.total,
            waiting=len(self._waiting),
            waited_s=round(waited_s, 3),
            reason=reason,
        )
