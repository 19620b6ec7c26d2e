"""Queue of a connection's outgoing frames, ordered by priority."""

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
    """Priority of a frame; lower values are written first.

    ``URGENT`` is for heartbeats, their answers, credit, resets and ``Leaving``, ``CONTROL`` for
    calls, replies, refusals, and the heads of requests and responses, ``ROWS`` for sets of rows and
    messages in parts, ``BODY`` for body data and its end.
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
    """A frame in the queue.

    ``written`` is true once any part of it may have left this host. A ``withdrawn`` frame is not
    written.
    """

    __slots__ = ("data", "withdrawn", "written")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.written = False
        self.withdrawn = False


class _FrameQueue:
    """The queued frames of one priority. ``size`` and ``limit`` are in bytes.

    The limit of ``URGENT`` counts frames instead.
    """

    def __init__(self, limit: int) -> None:
        self.frames: deque[QueuedFrame] = deque()
        self.size = 0
        self.limit = limit
        self.waiters = trio.lowlevel.ParkingLot()

    def pop(self) -> QueuedFrame:
        frame = self.frames.popleft()
        self.size -= len(frame.data)
        return frame

    def wake_waiters(self, taken: int) -> None:
        if not self.frames:
            # A waiter that is cancelled after being woken doesn't pass the wakeup on. Unless all
            # are woken here, the others could wait for ever.
            self.waiters.unpark_all()
        elif taken and self.size < self.limit:
            self.waiters.unpark(count=taken)


class OutgoingQueue:
    """Queue of frames with a limit per priority, read only by the connection's writer task."""

    def __init__(self, *, peer: str) -> None:
        self._queues = {priority: _FrameQueue(_LIMITS[priority]) for priority in Priority}
        self._ready = trio.lowlevel.ParkingLot()
        self._flushed = trio.lowlevel.ParkingLot()
        self._peer = peer
        self._closed = False
        self._writing = False

    def size(self, priority: Priority) -> int:
        """Return the number of queued bytes of a priority."""
        return self._queues[priority].size

    async def wait_for_space(self, priority: Priority) -> None:
        """Wait until the queue of a priority is below its limit.

        Raises ``PeerUnreachableError`` if the queue is closed.
        """
        queue = self._queues[priority]
        while not self._closed and queue.size >= queue.limit:
            await queue.waiters.park()
        self._check_open()

    def put(self, priority: Priority, data: bytes) -> QueuedFrame:
        """Queue a frame. The limit is not checked; call ``wait_for_space`` first to respect it."""
        self._check_open()
        if len(data) > MAX_FRAME_BYTES:
            raise PeerProtocolError(
                f"a message of {len(data)} bytes exceeds {MAX_FRAME_BYTES}",
                step="peer.send",
                peer=self._peer,
            )
        queue = self._queues[priority]
        frame = QueuedFrame(data)
        queue.frames.append(frame)
        queue.size += len(data)
        self._ready.unpark()
        return frame

    @property
    def overrun(self) -> bool:
        """Whether more urgent frames are queued than is possible while the peer reads."""
        queue = self._queues[Priority.URGENT]
        return len(queue.frames) > queue.limit

    async def next_batch(self) -> list[bytes]:
        """Wait for frames, then remove and return those for one write.

        All urgent and control frames are taken, so that a stream's head always precedes its data.
        One frame of rows and a limited amount of body data are added, so that no priority starves
        another.
        """
        self._writing = False
        while True:
            taken = list(self._take_batch())
            if taken:
                break
            self._flushed.unpark_all()
            await self._ready.park()
        for frame in taken:
            frame.written = True
        self._writing = True
        return [frame.data for frame in taken]

    def _take_batch(self) -> Iterable[QueuedFrame]:
        taken = []
        for priority, queue in self._queues.items():
            count = 0
            size = 0
            while queue.frames:
                if priority is Priority.ROWS and count:
                    break
                if priority is Priority.BODY and size >= BATCH_BODY_BYTES:
                    break
                frame = queue.pop()
                if frame.withdrawn:
                    continue
                count += 1
                size += len(frame.data)
                taken.append(frame)
            queue.wake_waiters(count)
        return taken

    async def wait_flushed(self) -> None:
        """Wait until all frames have been written or the queue is closed."""
        while not self._closed and (self._writing or any(x.frames for x in self._queues.values())):
            await self._flushed.park()

    def close(self) -> None:
        """Drop all frames. ``put`` and ``wait_for_space`` then raise ``PeerUnreachableError``."""
        self._closed = True
        for queue in self._queues.values():
            queue.frames.clear()
            queue.size = 0
            queue.waiters.unpark_all()
        self._flushed.unpark_all()

    def _check_open(self) -> None:
        if self._closed:
            raise PeerUnreachableError(
                "the connection is closed", step="peer.send", peer=self._peer
            )
