"""One connection between two entry hosts: a reader task, a writer task and what runs on it."""

from __future__ import annotations

import itertools
import math
import traceback
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import RequestError
from acaciasaddle.observe import get_logger
from acaciasaddle.peers._limits import ACCEPTED_IDLE_S
from acaciasaddle.peers._limits import ACCEPTED_SILENCE_S
from acaciasaddle.peers._limits import CONFIRM_S
from acaciasaddle.peers._limits import HEARTBEAT_S
from acaciasaddle.peers._limits import IDLE_S
from acaciasaddle.peers._limits import PARTNER_SILENCE_S
from acaciasaddle.peers._limits import PROBE_AFTER_S
from acaciasaddle.peers._limits import PROBE_PERIOD_S
from acaciasaddle.peers._limits import PUSH_QUEUE_BYTES
from acaciasaddle.peers._limits import SILENCE_S
from acaciasaddle.peers._queue import OutgoingQueue
from acaciasaddle.peers._queue import Priority
from acaciasaddle.peers._rows import slices
from acaciasaddle.peers._streams import IncomingWork
from acaciasaddle.peers._streams import OutgoingWork
from acaciasaddle.wire import CallEnvelope
from acaciasaddle.wire import Failed
from acaciasaddle.wire import Heartbeat
from acaciasaddle.wire import HeartbeatAck
from acaciasaddle.wire import Leaving
from acaciasaddle.wire import OpenWork
from acaciasaddle.wire import Part
from acaciasaddle.wire import PartAssembler
from acaciasaddle.wire import Reply
from acaciasaddle.wire import ReplyEnvelope
from acaciasaddle.wire import Rows
from acaciasaddle.wire import RowsPart
from acaciasaddle.wire import WorkCredit
from acaciasaddle.wire import WorkData
from acaciasaddle.wire import WorkEnd
from acaciasaddle.wire import WorkHead
from acaciasaddle.wire import WorkRefused
from acaciasaddle.wire import WorkReset
from acaciasaddle.wire import decode
from acaciasaddle.wire import encode
from acaciasaddle.wire import split

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from acaciasaddle.model import BodySource
    from acaciasaddle.model import ReplySink
    from acaciasaddle.model import Row
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.peers._queue import QueuedFrame
    from acaciasaddle.peers._state import HubState
    from acaciasaddle.wire import Call
    from acaciasaddle.wire import FrameStream
    from acaciasaddle.wire import Hello
    from acaciasaddle.wire import Message

log = get_logger("peers")


class PendingCall:
    """A call whose reply has not arrived."""

    def __init__(self, *, since: float) -> None:
        self.since = since
        self.frames: list[QueuedFrame] = []
        self.rows: list[Row] = []
        self.done = trio.Event()
        self.reply: Reply | None = None
        self.failure: PeerError | None = None

    @property
    def sent(self) -> bool:
        """Whether the call may have reached the peer."""
        return bool(self.frames) and self.frames[0].written

    def withdraw(self) -> None:
        """Take the call back unless a part of it has been written."""
        if not self.sent:
            for frame in self.frames:
                frame.withdrawn = True


class Connection:
    """A connection after the exchange of ``Hello``.

    The dialling side begins heartbeats, calls and streams; the accepting side answers them.
    Rows are pushed both ways.
    """

    def __init__(
        self, *, state: HubState, frames: FrameStream, hello: Hello, dialled: bool
    ) -> None:
        self.member = hello.member
        self.data_centre = hello.data_centre
        self.dialled = dialled
        self.partner = False
        self.closed = False
        self.leaving = False
        self.queue = OutgoingQueue(peer=hello.member)
        self._state = state
        self._frames = frames
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._parts = PartAssembler()
        self._beats: dict[int, float] = {}
        self._last_beat = -math.inf
        self._calls: dict[int, PendingCall] = {}
        self._call_numbers = itertools.count(1)
        self._outgoing: dict[int, OutgoingWork] = {}
        self._stream_numbers = itertools.count(1)
        self._incoming: dict[int, IncomingWork] = {}
        self._last_incoming = 0
        self._serving_calls = 0
        self._push_dropped = False
        self._received = trio.lowlevel.ParkingLot()
        self._last_received = state.clock.now()
        self._last_used = state.clock.now()
        self._receivers: dict[type[Message], Callable[[Any], None]] = {
            Rows: self._on_rows,
            WorkData: self._on_data,
            WorkEnd: self._on_end,
            WorkCredit: self._on_credit,
            WorkReset: self._on_reset,
            Part: self._on_part,
        }
        if dialled:
            self._receivers |= {
                HeartbeatAck: self._on_ack,
                WorkHead: self._on_head,
                WorkRefused: self._on_refused,
                ReplyEnvelope: self._on_reply,
                Leaving: self._on_leaving,
            }
        else:
            self._receivers |= {
                Heartbeat: self._on_heartbeat,
                OpenWork: self._on_open,
                CallEnvelope: self._on_call,
            }

    @property
    def usable(self) -> bool:
        """Whether new work and calls may be begun."""
        return not self.closed and not self.leaving

    @property
    def has_streams(self) -> bool:
        """Whether a request is in progress in either direction."""
        return bool(self._outgoing or self._incoming)

    @property
    def has_calls(self) -> bool:
        """Whether a call is in progress in either direction."""
        return bool(self._calls or self._serving_calls)

    async def run(self) -> None:
        """Read and write until the connection ends or is closed."""
        self._state.heard[self.member] = self._state.clock.now()
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    nursery.start_soon(self._write)
                    await self._read()
                    self.close("the peer closed the connection")
        finally:
            self.close("the hub stopped")

    def close(self, reason: str) -> None:
        """End the connection: handlers are cancelled, calls and streams fail."""
        if self.closed:
            return
        self.closed = True
        for pending in self._calls.values():
            pending.failure = PeerUnreachableError(
                reason, sent=pending.sent, step="peer.call", peer=self.member
            )
            pending.done.set()
        for outgoing in self._outgoing.values():
            outgoing.lost(reason)
        for incoming in self._incoming.values():
            incoming.fail(PeerUnreachableError(reason, step="peer.work", peer=self.member))
        self.queue.close()
        self._received.unpark_all()
        self._scope.cancel()
        log.info(
            "connection ended",
            step="peer.close",
            peer=self.member,
            reason=reason,
            dialled=self.dialled,
        )

    # Supervision

    def heartbeat(self) -> None:
        """Send a heartbeat."""
        now = self._state.clock.now()
        clock_us = int(now * 1_000_000)
        if self.closed or clock_us in self._beats:
            return
        self._beats[clock_us] = now
        self._last_beat = self._last_used = now
        self._put(
            Priority.URGENT,
            Heartbeat(
                clock_us=clock_us,
                config_version=self._state.config_version,
                revision=self._state.revision,
            ),
        )

    def silent_at(self) -> float:
        """Return when the connection counts as silent if nothing arrives; infinity if it owes
        no answer."""
        since = max(self._last_received, self._state.awake_since)
        if not self.dialled:
            return since + ACCEPTED_SILENCE_S if self._incoming else math.inf
        owed = [next(iter(self._beats.values()))] if self._beats else []
        if self._calls:
            owed.append(next(iter(self._calls.values())).since)
        if not owed:
            return math.inf
        if self.partner:
            # A partner is sent a heartbeat in each period, so its silence counts from the last
            # message.
            return max(since, min(owed) - HEARTBEAT_S) + PARTNER_SILENCE_S
        return max(since, min(owed)) + SILENCE_S

    def check_silence(self, now: float) -> None:
        """Close the connection if it owes an answer and has delivered nothing for too long."""
        if now < self.silent_at():
            return
        self._state.metrics.count("peers.silent")
        self.close(f"nothing was received for {now - self._last_received:.2f} s")

    def check_use(self, now: float) -> None:
        """Probe the connection if it is in use and quiet; close it if it is idle."""
        if self._outgoing or self._calls:
            self._last_used = now
            if now - self._last_beat > PROBE_PERIOD_S:
                self.heartbeat()
            else:
                self._probe_if_quiet(now)
            return
        if self.leaving and self.dialled:
            self.close("the peer is stopping")
            return
        if self.dialled:
            idle = not self.partner and now - self._last_used > IDLE_S
        else:
            idle = now - self._last_received > ACCEPTED_IDLE_S
        if idle:
            self.close("idle")

    def _probe_if_quiet(self, now: float) -> None:
        quiet_since = max(self._last_received, self._last_beat)
        if now - quiet_since > PROBE_AFTER_S:
            self.heartbeat()

    # Requests

    async def work(self, req: WorkRequest, body: BodySource, reply: ReplySink) -> None:
        """Have the peer serve a request."""
        if req.once:
            await self._confirm()
        await self.queue.space(Priority.CONTROL)
        now = self._state.clock.now()
        self._last_used = now
        self._probe_if_quiet(now)
        stream = OutgoingWork(number=next(self._stream_numbers), queue=self.queue, peer=self.member)
        stream.opening = self._put(Priority.CONTROL, OpenWork(stream=stream.number, request=req))
        self._outgoing[stream.number] = stream
        try:
            if req.body_length == 0:
                await stream.relay(reply)
            else:
                await _relay_both(stream, body, reply)
        finally:
            del self._outgoing[stream.number]
            self._abandon(stream)
            self._stream_ended()

    async def _confirm(self) -> None:
        while not self.closed and self._state.clock.now() - self._last_received > CONFIRM_S:
            if not self._beats:
                self.heartbeat()
            await self._received.park()

    def _abandon(self, stream: OutgoingWork) -> None:
        if stream.finished or self.closed:
            return
        if stream.opening is not None and not stream.opening.written:
            stream.opening.withdrawn = True
            return
        self._put(Priority.URGENT, WorkReset(stream=stream.number, reason="cancelled"))

    def _stream_ended(self) -> None:
        self._state.stream_ended.unpark_all()
        if self.leaving and not self._outgoing and not self._calls and self.dialled:
            self.close("the peer is stopping")

    # Calls

    async def call(self, call: Call, pending: PendingCall) -> Reply:
        """Send a call and wait for its reply."""
        await self.queue.space(Priority.CONTROL)
        now = self._state.clock.now()
        self._last_used = now
        pending.since = now
        number = next(self._call_numbers)
        self._calls[number] = pending
        try:
            pending.frames = await self._send(CallEnvelope(call_id=number, call=call))
            await pending.done.wait()
        finally:
            del self._calls[number]
            pending.withdraw()
            if self.leaving:
                self._stream_ended()
        if pending.failure is not None:
            raise pending.failure
        assert pending.reply is not None
        return pending.reply

    # Rows

    def push(self, complete: bytes, *, incomplete: bytes) -> None:
        """Queue pushed rows.

        ``incomplete`` is the same message without its revision. It is sent once an earlier push
        was dropped, since the peer's mirror is then not complete.
        """
        if self.closed:
            return
        if self.queue.size(Priority.ROWS) + len(complete) > PUSH_QUEUE_BYTES:
            self._push_dropped = True
            self._state.metrics.count("peers.push_dropped")
            log.warning("pushed rows dropped, queue full", step="peer.push", peer=self.member)
            return
        for piece in split(incomplete if self._push_dropped else complete):
            self.queue.put(Priority.ROWS, piece)

    # Sending

    def _put(self, priority: Priority, message: Message) -> QueuedFrame:
        return self.queue.put(priority, encode(message))

    async def _send(self, message: Message) -> list[QueuedFrame]:
        pieces = split(encode(message))
        if len(pieces) == 1:
            return [self.queue.put(Priority.CONTROL, pieces[0])]
        # All parts are queued at once: parts of two messages must not mix.
        await self.queue.space(Priority.ROWS)
        return [self.queue.put(Priority.ROWS, piece) for piece in pieces]

    async def _write(self) -> None:
        try:
            while True:
                await self._frames.send(await self.queue.batch())
        except PeerError as exc:
            self.close(exc.message)

    # Reader

    async def _read(self) -> None:
        try:
            while (data := await self._frames.receive()) is not None:
                now = self._state.clock.now()
                self._last_received = now
                self._received.unpark_all()
                self._state.heard[self.member] = now
                self._receive(decode(data))
                if self.queue.overrun:
                    raise PeerProtocolError(
                        "the peer does not read", step="peer.send", peer=self.member
                    )
        except PeerProtocolError as exc:
            self._state.metrics.count("peers.protocol_errors")
            log.warning(
                "connection ended by a protocol error",
                step=exc.step,
                peer=self.member,
                reason=exc.message,
            )
            self.close(exc.message)
        except PeerError as exc:
            self.close(exc.message)

    def _receive(self, message: Message) -> None:
        receiver = self._receivers.get(type(message))
        if receiver is None:
            raise PeerProtocolError(
                f"{type(message).__name__} is not expected here",
                step="peer.receive",
                peer=self.member,
            )
        receiver(message)

    def _on_part(self, message: Part) -> None:
        data = self._parts.add(message)
        if data is None:
            return
        whole = decode(data)
        if isinstance(whole, Part):
            raise PeerProtocolError("parts are nested", step="peer.receive", peer=self.member)
        self._receive(whole)

    def _on_leaving(self, message: Leaving) -> None:
        self.leaving = True
        self._stream_ended()

    def _on_heartbeat(self, message: Heartbeat) -> None:
        state = self._state
        self._hear_digest(message)
        confirmed = self.member not in state.withheld
        if confirmed:
            state.confirmation_sent[self.member] = state.clock.now()
        self._put(
            Priority.URGENT,
            HeartbeatAck(
                echo_us=message.clock_us,
                confirmed=confirmed,
                config_version=state.config_version,
                revision=state.revision,
            ),
        )

    def _on_ack(self, message: HeartbeatAck) -> None:
        if message.echo_us not in self._beats:
            raise PeerProtocolError(
                "the answer echoes a reading that was not sent",
                step="peer.heartbeat",
                peer=self.member,
            )
        # Acks are in order, so an unanswered older heartbeat will not be answered any more.
        for clock_us in list(self._beats):
            del self._beats[clock_us]
            if clock_us == message.echo_us:
                break
        self._hear_digest(message)
        if message.confirmed:
            echoed = message.echo_us / 1_000_000
            confirmed = self._state.confirmed
            confirmed[self.member] = max(echoed, confirmed.get(self.member, -math.inf))

    def _hear_digest(self, message: Heartbeat | HeartbeatAck) -> None:
        self._state.hear_digest(
            member=self.member,
            data_centre=self.data_centre,
            config_version=message.config_version,
            revision=message.revision,
        )

    def _on_rows(self, message: Rows) -> None:
        handler = self._state.rows_handler
        if handler is None:
            return
        try:
            handler(self.member, message.rows, message.revision)
        except Exception as exc:
            _log_failure("handler of rows failed", "peer.rows", self.member, exc)

    def _on_call(self, message: CallEnvelope) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_call, message)

    async def _serve_call(self, message: CallEnvelope) -> None:
        self._serving_calls += 1
        try:
            reply = await reply_to(self._state, self.member, message.call)
            try:
                await self._send_reply(message.call_id, reply)
            except PeerProtocolError as exc:
                failed = Failed(reason=exc.message, step=exc.step)
                await self._send(ReplyEnvelope(call_id=message.call_id, reply=failed))
        except PeerUnreachableError:
            pass  # The connection ended meanwhile; the caller has been told by its own side.
        finally:
            self._serving_calls -= 1
            self._state.stream_ended.unpark_all()

    async def _send_reply(self, number: int, reply: Reply) -> None:
        if isinstance(reply, RowsPart):
            for rows, last in slices(reply.rows):
                part = RowsPart(rows=rows, revision=reply.revision if last else 0)
                await self.queue.space(Priority.ROWS)
                for piece in split(
                    encode(ReplyEnvelope(call_id=number, reply=part, more=not last))
                ):
                    self.queue.put(Priority.ROWS, piece)
                await trio.lowlevel.checkpoint()
            return
        await self.queue.space(Priority.CONTROL)
        await self._send(ReplyEnvelope(call_id=number, reply=reply))

    def _on_reply(self, message: ReplyEnvelope) -> None:
        pending = self._calls.get(message.call_id)
        if pending is None or pending.reply is not None:
            return
        reply = message.reply
        if message.more or pending.rows:
            if not isinstance(reply, RowsPart):
                raise PeerProtocolError(
                    "a reply of rows continues with another type",
                    step="peer.reply",
                    peer=self.member,
                )
            pending.rows.extend(reply.rows)
            if message.more:
                return
            reply = RowsPart(rows=tuple(pending.rows), revision=reply.revision)
        pending.reply = reply
        pending.done.set()

    def _on_open(self, message: OpenWork) -> None:
        if message.stream <= self._last_incoming:
            raise PeerProtocolError(
                f"stream {message.stream} is opened twice", step="peer.work", peer=self.member
            )
        self._last_incoming = message.stream
        if self._state.stopping:
            error = NotOwnerError("the host is stopping", step="peer.work", peer=self._state.member)
            self._put(Priority.CONTROL, _refused(message.stream, error))
            return
        stream = IncomingWork(
            number=message.stream,
            queue=self.queue,
            peer=self.member,
            has_body=message.request.body_length != 0,
        )
        self._incoming[stream.number] = stream
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_work, message.request, stream)

    async def _serve_work(self, req: WorkRequest, stream: IncomingWork) -> None:
        try:
            with stream.scope:
                await self._answer(req, stream)
        except PeerError as exc:
            log.info(
                "answer not delivered",
                step=exc.step,
                peer=self.member,
                request=req.request_id,
                reason=exc.message,
            )
            if not self.closed:
                reason = "the answer could not be sent"
                self._put(Priority.URGENT, WorkReset(stream=stream.number, reason=reason))
        finally:
            del self._incoming[stream.number]
            self._stream_ended()

    async def _answer(self, req: WorkRequest, stream: IncomingWork) -> None:
        handler = self._state.work_handler
        error: AcaciasaddleError
        try:
            if handler is None:
                raise NotOwnerError(
                    "requests are not served", step="peer.work", peer=self._state.member
                )
            await handler(req, stream, stream)
            if stream.ended:
                return
            error = self._unknown("the handler returned without a complete answer")
        except (RefusedError, NotOwnerError) as exc:
            error = exc
        except RequestError as exc:
            error = RefusedError(
                exc.message,
                outcome=Outcome.NOT_RUN,
                status=exc.status,
                step=exc.step,
                peer=exc.peer,
            )
        except Exception as exc:
            if stream.ended:
                _log_failure("handler failed after its answer", "peer.work", self.member, exc)
                return
            _log_failure("handler of a request failed", "peer.work", self.member, exc)
            error = self._unknown(f"internal error: {type(exc).__name__}")
        if stream.started:
            # The head has been given to the caller, so only the end of the stream can tell.
            self._put(Priority.URGENT, WorkReset(stream=stream.number, reason=str(error)))
            return
        await self.queue.space(Priority.CONTROL)
        self._put(Priority.CONTROL, _refused(stream.number, error))

    def _unknown(self, reason: str) -> RefusedError:
        return RefusedError(
            reason,
            outcome=Outcome.UNKNOWN,
            status=504,
            step="peer.work",
            peer=self._state.member,
        )

    # Numbers of streams that have ended here are not an error: the other side's messages may
    # have been on their way. Numbers are not reused, so they cannot meet another request.

    def _on_head(self, message: WorkHead) -> None:
        if stream := self._outgoing.get(message.stream):
            stream.on_head(message)

    def _on_data(self, message: WorkData) -> None:
        if stream := self._stream(message.stream):
            stream.on_data(message)

    def _on_end(self, message: WorkEnd) -> None:
        if stream := self._stream(message.stream):
            stream.on_end(message)

    def _on_credit(self, message: WorkCredit) -> None:
        if stream := self._stream(message.stream):
            stream.on_credit(message)

    def _on_refused(self, message: WorkRefused) -> None:
        if stream := self._outgoing.get(message.stream):
            stream.on_refused(message)

    def _on_reset(self, message: WorkReset) -> None:
        if outgoing := self._outgoing.get(message.stream):
            outgoing.on_reset(message)
        elif incoming := self._incoming.get(message.stream):
            incoming.scope.cancel()

    def _stream(self, number: int) -> OutgoingWork | IncomingWork | None:
        # A connection carries streams of its dialling side only, so numbers are unambiguous.
        return self._outgoing.get(number) if self.dialled else self._incoming.get(number)


async def reply_to(state: HubState, member: str, call: Call) -> Reply:
    """Have a call of ``member`` handled by this host; a failure becomes the reply."""
    kind = type(call).__name__
    handler = state.call_handlers.get(type(call))
    if handler is None:
        return Failed(reason=f"calls of kind {kind} are not served", step="peer.call")
    try:
        reply = await handler(member, call)
        if not isinstance(reply, Reply):
            raise TypeError(f"the handler returned {reply!r}")
        return reply
    except AcaciasaddleError as exc:
        log.warning("call failed", step=exc.step, peer=member, kind=kind, reason=exc.message)
        return Failed(reason=exc.message, step=exc.step)
    except Exception as exc:
        _log_failure("handler of a call failed", "peer.call", member, exc)
        return Failed(reason=f"internal error: {type(exc).__name__}", step="peer.call")


async def _relay_both(stream: OutgoingWork, body: BodySource, reply: ReplySink) -> None:
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.pump, body)
        try:
            await stream.relay(reply)
        except Exception as exc:
            # Raised outside the nursery, which would wrap it in an exception group.
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


def _refused(stream: int, error: AcaciasaddleError) -> WorkRefused:
    refused = error if isinstance(error, RefusedError) else None
    retry_after = refused.retry_after if refused else None
    return WorkRefused(
        stream=stream,
        not_owner=isinstance(error, NotOwnerError),
        outcome=(refused.outcome if refused else Outcome.NOT_RUN).value,
        status=refused.status if refused else 503,
        reason=error.message,
        step=error.step,
        peer=error.peer,
        retry_after_ms=-1 if retry_after is None else round(retry_after * 1000),
    )


def _log_failure(event: str, step: str, peer: str, exc: Exception) -> None:
    log.error(
        event,
        step=step,
        peer=peer,
        error=repr(exc),
        traceback="".join(traceback.format_exception(exc)),
    )
