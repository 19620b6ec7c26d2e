"""Streams of forwarded requests on a connection, with credit for each direction."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.errors import RefusedError
from acaciasaddle.model import BodySource
from acaciasaddle.model import ReplySink
from acaciasaddle.peers._limits import CHUNK_BYTES
from acaciasaddle.peers._limits import CREDIT_STEP_BYTES
from acaciasaddle.peers._limits import WINDOW_BYTES
from acaciasaddle.peers._queue import Priority
from acaciasaddle.wire import WorkCredit
from acaciasaddle.wire import WorkData
from acaciasaddle.wire import WorkEnd
from acaciasaddle.wire import WorkHead
from acaciasaddle.wire import WorkRefused
from acaciasaddle.wire import WorkReset
from acaciasaddle.wire import encode

if TYPE_CHECKING:
    from acaciasaddle.model import Headers
    from acaciasaddle.peers._queue import OutgoingQueue
    from acaciasaddle.peers._queue import QueuedFrame
    from acaciasaddle.wire import Message


class PeerStream:
    """Both directions of one forwarded request, as seen by either side."""

    def __init__(self, *, number: int, queue: OutgoingQueue, peer: str) -> None:
        self.number = number
        self.peer = peer
        self._queue = queue
        self._credit = WINDOW_BYTES
        self._credit_arrived = trio.lowlevel.ParkingLot()
        self._allowed = WINDOW_BYTES
        self._consumed = 0
        self._items: deque[Message] = deque()
        self._item_arrived = trio.lowlevel.ParkingLot()
        self._failure: Exception | None = None
        self._received_end = False

    # Reader task

    def on_data(self, message: WorkData) -> None:
        """Take body data. Raises ``PeerProtocolError`` if it exceeds the window."""
        size = len(message.chunk)
        if size > CHUNK_BYTES or size > self._allowed or self._received_end:
            raise PeerProtocolError(
                f"stream {self.number} received {size} bytes that it has no credit for",
                step="peer.data",
                peer=self.peer,
            )
        self._allowed -= size
        self._add(message)

    def on_end(self, message: WorkEnd) -> None:
        """Take the end of the body."""
        self._received_end = True
        self._add(message)

    def on_credit(self, message: WorkCredit) -> None:
        """Take credit for sending."""
        if message.size + self._credit > WINDOW_BYTES:
            raise PeerProtocolError(
                f"stream {self.number} received credit beyond its window",
                step="peer.credit",
                peer=self.peer,
            )
        self._credit += message.size
        self._credit_arrived.unpark_all()

    def fail(self, failure: Exception) -> None:
        """End the stream: readers and writers raise ``failure``."""
        self._failure = self._failure or failure
        self._item_arrived.unpark_all()
        self._credit_arrived.unpark_all()

    def _add(self, message: Message) -> None:
        self._items.append(message)
        self._item_arrived.unpark()

    # Tasks of the request

    async def next_item(self) -> Message:
        """Return the next message. What arrived before a failure is returned first."""
        while not self._items:
            if self._failure is not None:
                raise self._failure
            await self._item_arrived.park()
        return self._items.popleft()

    def return_credit(self, size: int) -> None:
        """Let the other side send as many bytes as were consumed here."""
        self._consumed += size
        if self._consumed < CREDIT_STEP_BYTES or self._received_end or self._failure is not None:
            return
        self._allowed += self._consumed
        self._queue.put(
            Priority.URGENT, encode(WorkCredit(stream=self.number, size=self._consumed))
        )
        self._consumed = 0

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body as the other side's credit allows."""
        for at in range(0, len(data), CHUNK_BYTES):
            chunk = data[at : at + CHUNK_BYTES]
            while self._credit < len(chunk):
                self.check()
                await self._credit_arrived.park()
            self._credit -= len(chunk)
            await self._queue.space(Priority.BODY)
            self.check()
            self._queue.put(Priority.BODY, encode(WorkData(stream=self.number, chunk=chunk)))

    def send_end(self) -> None:
        """Complete the body of this direction."""
        self.check()
        self._queue.put(Priority.BODY, encode(WorkEnd(stream=self.number)))

    def check(self) -> None:
        """Raise the failure of the stream, if there is one."""
        if self._failure is not None:
            raise self._failure


class OutgoingWork(PeerStream):
    """A request that this host sent."""

    def __init__(self, *, number: int, queue: OutgoingQueue, peer: str) -> None:
        super().__init__(number=number, queue=queue, peer=peer)
        self.opening: QueuedFrame | None = None
        self.finished = False
        self._head_received = False

    @property
    def sent(self) -> bool:
        """Whether the request may have reached the peer."""
        return self.opening is not None and self.opening.written

    def on_data(self, message: WorkData) -> None:
        self._need_head()
        super().on_data(message)

    def on_end(self, message: WorkEnd) -> None:
        self._need_head()
        self.finished = True
        super().on_end(message)

    def on_head(self, message: WorkHead) -> None:
        """Take the head of the answer."""
        if self._head_received:
            raise PeerProtocolError(
                f"stream {self.number} received a second head", step="peer.head", peer=self.peer
            )
        self._head_received = True
        self._add(message)

    def on_refused(self, message: WorkRefused) -> None:
        """Take a refusal."""
        if message.outcome not in tuple(Outcome):
            raise PeerProtocolError(
                f"the outcome {message.outcome!r} is unknown", step="peer.refused", peer=self.peer
            )
        self.finished = True
        self._add(message)

    def on_reset(self, message: WorkReset) -> None:
        """Take the early end of the answer."""
        self.finished = True
        self._add(message)

    def lost(self, reason: str) -> None:
        """End the stream because its connection ended."""
        self.fail(
            PeerUnreachableError(
                reason, sent=self.finished or self.sent, step="peer.work", peer=self.peer
            )
        )

    async def pump(self, body: BodySource) -> None:
        """Send the request's body. A failure of the source ends the stream."""
        try:
            while chunk := await body.receive():
                await self.send_data(chunk)
            self.send_end()
        except Exception as exc:
            self.fail(exc)

    async def relay(self, reply: ReplySink) -> None:
        """Give the answer to ``reply`` as it arrives, until it is complete."""
        while True:
            item = await self.next_item()
            if isinstance(item, WorkData):
                await reply.data(item.chunk)
                self.return_credit(len(item.chunk))
            elif isinstance(item, WorkHead):
                await reply.head(item.status, item.headers)
            elif isinstance(item, WorkEnd):
                await reply.end()
                return
            elif isinstance(item, WorkRefused):
                raise _refusal(item)
            elif isinstance(item, WorkReset):
                raise PeerUnreachableError(
                    f"the answer was cut short: {item.reason}",
                    sent=True,
                    step="peer.work",
                    peer=self.peer,
                )

    def _need_head(self) -> None:
        if not self._head_received:
            raise PeerProtocolError(
                f"stream {self.number} received data before a head",
                step="peer.data",
                peer=self.peer,
            )


class IncomingWork(PeerStream, BodySource, ReplySink):
    """A request that a peer sent; body and answer of the handler that serves it."""

    def __init__(self, *, number: int, queue: OutgoingQueue, peer: str, has_body: bool) -> None:
        super().__init__(number=number, queue=queue, peer=peer)
        self.scope = trio.CancelScope()
        self.ended = False
        self._started = False
        self._received_end = not has_body
        self._body_done = not has_body

    @property
    def started(self) -> bool:
        return self._started

    async def receive(self) -> bytes:
        if self._body_done:
            return b""
        item = await self.next_item()
        if isinstance(item, WorkData):
            self.return_credit(len(item.chunk))
            return item.chunk
        self._body_done = True
        return b""

    async def head(self, status: int, headers: Headers) -> None:
        if self._started:
            raise PeerError("the answer has begun already", step="peer.reply", peer=self.peer)
        encoded = encode(WorkHead(stream=self.number, status=status, headers=headers))
        await self._queue.space(Priority.CONTROL)
        self._queue.put(Priority.CONTROL, encoded)
        self._started = True

    async def data(self, chunk: bytes) -> None:
        self._check_answering()
        await self.send_data(chunk)

    async def end(self) -> None:
        self._check_answering()
        self.send_end()
        self.ended = True

    def _check_answering(self) -> None:
        if not self._started or self.ended:
            raise PeerError(
                "the answer has not begun or is complete", step="peer.reply", peer=self.peer
            )


def _refusal(message: WorkRefused) -> NotOwnerError | RefusedError:
    if message.not_owner:
        return NotOwnerError(message.reason, step=message.step, peer=message.peer)
    return RefusedError(
        message.reason,
        outcome=Outcome(message.outcome),
        status=message.status,
        retry_after=None if message.retry_after_ms < 0 else message.retry_after_ms / 1000,
        step=message.step,
        peer=message.peer,
    )
