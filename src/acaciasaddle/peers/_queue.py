"""Outgoing frames of a connection, in the order of their priority."""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.peers._limits import BATCH_BODY_BYTES
from acaciasaddle.peers._limits import BODY_QUEUE_BYTES
from acaciasaddle.peers._limits import CONTROL_QUEUE_BYTES
from acaciasaddle.peers._limits import ROWS_QUEUE_BYTES
from acaciasaddle.peers._limits import URGENT_QUEUE_FRAMES
from acaciasaddle.wire import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable


class Priority(IntEnum):
    """Order of writing.

    ``ROWS`` is for row sets and messages in parts, ``BODY`` for body data and its end.
    """

    URGENT = 0
    CONTROL = 1
    ROWS = 2
    BODY = 3


_LIMITS = {
    Priority.URGENT: URGENT_QUEUE_FRAMES,
    Priority.CONTROL: CONTROL_QUEUE_BYTES,
    Priority.ROWS: ROWS_QUEUE_BYTES,
    Priority.BODY: BODY_QUEUE_BYTES,
}


class QueuedFrame:
    """A frame in the queue. ``written`` is true once any part of it may have left this host."""

    __slots__ = ("data", "withdrawn", "written")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.written = False
        self.withdrawn = False


class _Lane:
    """Frames of one priority."""

    def __init__(self, limit: int) -> None:
        self.frames: deque[QueuedFrame] = deque()
        self.size = 0
        self.limit = limit
        self.waiters = trio.lowlevel.ParkingLot()

    def take(self) -> QueuedFrame:
        frame = self.frames.popleft()
        self.size -= len(frame.data)
        return frame

    def wake(self, taken: int) -> None:
        if not self.frames:
            # A waiter that was woken and then cancelled leaves its turn unused; without waking
            # all at this point the others could wait for ever.
            self.waiters.unpark_all()
        elif taken and self.size < self.limit:
            self.waiters.unpark(count=taken)


class OutgoingQueue:
    """Bounded queue of frames with one reader, the connection's writer task."""

    def __init__(self, *, peer: str) -> None:
        self._lanes = {priority: _Lane(_LIMITS[priority]) for priority in Priority}
        self._ready = trio.lowlevel.ParkingLot()
        self._flushed = trio.lowlevel.ParkingLot()
        self._peer = peer
        self._closed = False
        self._writing = False

    def size(self, priority: Priority) -> int:
        """Return the number of queued bytes of a priority."""
        return self._lanes[priority].size

    async def space(self, priority: Priority) -> None:
        """Wait until the lane is below its limit. Raises ``PeerUnreachableError`` if closed."""
        lane = self._lanes[priority]
        while not self._closed and lane.size >= lane.limit:
            await lane.waiters.park()
        self._check_open()

    def put(self, priority: Priority, data: bytes) -> QueuedFrame:
        """Queue a frame without regard to the limit, which ``space`` is for."""
        self._check_open()
        if len(data) > MAX_FRAME_BYTES:
            raise PeerProtocolError(
                f"a message of {len(data)} bytes exceeds {MAX_FRAME_BYTES}",
                step="peer.send",
                peer=self._peer,
            )
        lane = self._lanes[priority]
        frame = QueuedFrame(data)
        lane.frames.append(frame)
        lane.size += len(data)
        self._ready.unpark()
        return frame

    @property
    def overrun(self) -> bool:
        """Whether more urgent frames are queued than a reading peer would leave."""
        lane = self._lanes[Priority.URGENT]
        return len(lane.frames) > lane.limit

    async def batch(self) -> list[bytes]:
        """Wait for frames and take as many as are written at once.

        All urgent and control frames are taken, so that a stream's head always precedes its
        data, then one frame of rows and some body data: no lane starves another.
        """
        self._writing = False
        while True:
            taken = list(self._take())
            if taken:
                break
            self._flushed.unpark_all()
            await self._ready.park()
        for frame in taken:
            frame.written = True
        self._writing = True
        return [frame.data for frame in taken]

    def _take(self) -> Iterable[QueuedFrame]:
        taken = []
        for priority, lane in self._lanes.items():
            count = 0
            size = 0
            while lane.frames:
                if priority is Priority.ROWS and count:
                    break
                if priority is Priority.BODY and size >= BATCH_BODY_BYTES:
                    break
                frame = lane.take()
                if frame.withdrawn:
                    continue
                count += 1
                size += len(frame.data)
                taken.append(frame)
            lane.wake(count)
        return taken

    async def flushed(self) -> None:
        """Wait until all frames have been written or the queue is closed."""
        while not self._closed and (self._writing or any(x.frames for x in self._lanes.values())):
            await self._flushed.park()

    def close(self) -> None:
        """Drop all frames; later calls raise ``PeerUnreachableError``."""
        self._closed = True
        for lane in self._lanes.values():
            lane.frames.clear()
            lane.size = 0
            lane.waiters.unpark_all()
        self._flushed.unpark_all()

    def _check_open(self) -> None:
        if self._closed:
            raise PeerUnreachableError(
                "the connection is closed", step="peer.send", peer=self._peer
            )
