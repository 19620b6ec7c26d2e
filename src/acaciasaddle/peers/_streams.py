"""Streams of forwarded requests on a connection, with credit-based flow control."""

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
from acaciasaddle.model import ResponseSink
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
    """The two directions of one forwarded request, as seen from one side."""

    def __init__(self, *, number: int, queue: OutgoingQueue, peer: str) -> None:
        self.number = number
        self.peer = peer
        self._queue = queue
        self._send_credit = WINDOW_BYTES
        self._credit_arrived = trio.lowlevel.ParkingLot()
        self._receive_window = WINDOW_BYTES
        self._consumed = 0
        self._pending_messages: deque[Message] = deque()
        self._message_arrived = trio.lowlevel.ParkingLot()
        self._failure: Exception | None = None
        self._received_end = False

    # Incoming messages and failures

    def on_data(self, message: WorkData) -> None:
        """Accept body data.

        Raises ``PeerProtocolError`` if it exceeds the window or a chunk's limit, or if it follows
        the end.
        """
        size = len(message.chunk)
        if size > CHUNK_BYTES or size > self._receive_window or self._received_end:
            raise PeerProtocolError(
                f"stream {self.number} received a chunk of {size} bytes that exceeds its window or "
                "the chunk limit, or follows the end",
                step="peer.data",
                peer=self.peer,
            )
        self._receive_window -= size
        self._add(message)

    def on_end(self, message: WorkEnd) -> None:
        """Accept the end of the body."""
        self._received_end = True
        self._add(message)

    def on_credit(self, message: WorkCredit) -> None:
        """Accept credit for sending."""
        if message.size + self._send_credit > WINDOW_BYTES:
            raise PeerProtocolError(
                f"stream {self.number} received more credit than its window",
                step="peer.credit",
                peer=self.peer,
            )
        self._send_credit += message.size
        self._credit_arrived.unpark_all()

    def fail(self, failure: Exception) -> None:
        """End the stream, so that readers and writers raise its first failure."""
        self._failure = self._failure or failure
        self._message_arrived.unpark_all()
        self._credit_arrived.unpark_all()

    def _add(self, message: Message) -> None:
        self._pending_messages.append(message)
        self._message_arrived.unpark()

    # Used by the tasks that forward or serve the request

    async def next_message(self) -> Message:
        """Return the next message. Messages that arrived before a failure are returned first."""
        while not self._pending_messages:
            if self._failure is not None:
                raise self._failure
            await self._message_arrived.park()
        return self._pending_messages.popleft()

    def return_credit(self, size: int) -> None:
        """Return credit for consumed bytes to the other side, in steps."""
        self._consumed += size
        if self._consumed < CREDIT_STEP_BYTES or self._received_end or self._failure is not None:
            return
        self._receive_window += self._consumed
        self._queue.put(
            Priority.URGENT, encode(WorkCredit(stream=self.number, size=self._consumed))
        )
        self._consumed = 0

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body, waiting for credit and for space in the queue."""
        for at in range(0, len(data), CHUNK_BYTES):
            chunk = data[at : at + CHUNK_BYTES]
            while self._send_credit < len(chunk):
                self.raise_if_failed()
                await self._credit_arrived.park()
            self._send_credit -= len(chunk)
            await self._queue.wait_for_space(Priority.BODY)
            self.raise_if_failed()
            self._queue.put(Priority.BODY, encode(WorkData(stream=self.number, chunk=chunk)))

    def send_end(self) -> None:
        """Send the end of the body."""
        self.raise_if_failed()
        self._queue.put(Priority.BODY, encode(WorkEnd(stream=self.number)))

    def raise_if_failed(self) -> None:
        """Raise the stream's failure if there is one."""
        if self._failure is not None:
            raise self._failure


class OutgoingWork(PeerStream):
    """A request that this host sent.

    ``finished`` is true once the peer has completed the response or ended it early, or refused the
    request.
    """

    def __init__(self, *, number: int, queue: OutgoingQueue, peer: str) -> None:
        super().__init__(number=number, queue=queue, peer=peer)
        self.open_frame: QueuedFrame | None = None
        self.finished = False
        self._head_received = False

    @property
    def sent(self) -> bool:
        """Whether the request may have reached the peer."""
        return self.open_frame is not None and self.open_frame.written

    def on_data(self, message: WorkData) -> None:
        self._require_head()
        super().on_data(message)

    def on_end(self, message: WorkEnd) -> None:
        self._require_head()
        self.finished = True
        super().on_end(message)

    def on_head(self, message: WorkHead) -> None:
        """Accept the head of the response."""
        if self._head_received:
            raise PeerProtocolError(
                f"stream {self.number} received a second head", step="peer.head", peer=self.peer
            )
        self._head_received = True
        self._add(message)

    def on_refused(self, message: WorkRefused) -> None:
        """Accept a refusal."""
        if message.outcome not in tuple(Outcome):
            raise PeerProtocolError(
                f"a refusal has the invalid outcome {message.outcome!r}",
                step="peer.refused",
                peer=self.peer,
            )
        self.finished = True
        self._add(message)

    def on_reset(self, message: WorkReset) -> None:
        """Accept a reset, which ends the response early."""
        self.finished = True
        self._add(message)

    def connection_ended(self, reason: str) -> None:
        """End the stream because its connection was closed."""
        self.fail(
            PeerUnreachableError(
                reason, sent=self.finished or self.sent, step="peer.work", peer=self.peer
            )
        )

    async def send_body(self, body: BodySource) -> None:
        """Send the request's body. An error of the source ends the stream."""
        try:
            while chunk := await body.receive():
                await self.send_data(chunk)
            self.send_end()
        except Exception as exc:
            self.fail(exc)

    async def relay(self, response: ResponseSink) -> None:
        """Pass the response on to the sink ``response`` as it arrives, until it is complete."""
        while True:
            message = await self.next_message()
            if isinstance(message, WorkData):
                await response.data(message.chunk)
                self.return_credit(len(message.chunk))
            elif isinstance(message, WorkHead):
                await response.head(message.status, message.headers)
            elif isinstance(message, WorkEnd):
                await response.end()
                return
            elif isinstance(message, WorkRefused):
                raise _refusal(message)
            elif isinstance(message, WorkReset):
                raise PeerUnreachableError(
                    f"the response was cut short: {message.reason}",
                    sent=True,
                    step="peer.work",
                    peer=self.peer,
                )

    def _require_head(self) -> None:
        if not self._head_received:
            raise PeerProtocolError(
                f"stream {self.number} received data or the end before the head",
                step="peer.data",
                peer=self.peer,
            )


class IncomingWork(PeerStream, BodySource, ResponseSink):
    """A request that a peer sent.

    It is the body that its handler reads and the sink for the handler's response.
    """

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
        message = await self.next_message()
        if isinstance(message, WorkData):
            self.return_credit(len(message.chunk))
            return message.chunk
        self._body_done = True
        return b""

    async def head(self, status: int, headers: Headers) -> None:
        if self._started:
            raise PeerError(
                "the response has been started already", step="peer.reply", peer=self.peer
            )
        encoded = encode(WorkHead(stream=self.number, status=status, headers=headers))
        await self._queue.wait_for_space(Priority.CONTROL)
        self._queue.put(Priority.CONTROL, encoded)
        self._started = True

    async def data(self, chunk: bytes) -> None:
        self._check_response_open()
        await self.send_data(chunk)

    async def end(self) -> None:
        self._check_response_open()
        self.send_end()
        self.ended = True

    def _check_response_open(self) -> None:
        if not self._started or self.ended:
            raise PeerError(
                "the response has not been started or is complete",
                step="peer.reply",
                peer=self.peer,
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
