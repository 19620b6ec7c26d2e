"""One connection between two entry hosts: its reader and writer tasks, calls and streams."""

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
from acaciasaddle.peers._limits import ACCEPTED_IDLE_TIMEOUT_S
from acaciasaddle.peers._limits import ACCEPTED_MAX_SILENCE_S
from acaciasaddle.peers._limits import ALIVE_WITHIN_S
from acaciasaddle.peers._limits import HEARTBEAT_PERIOD_S
from acaciasaddle.peers._limits import IDLE_TIMEOUT_S
from acaciasaddle.peers._limits import MAX_SILENCE_S
from acaciasaddle.peers._limits import PARTNER_MAX_SILENCE_S
from acaciasaddle.peers._limits import PROBE_AFTER_S
from acaciasaddle.peers._limits import PROBE_PERIOD_S
from acaciasaddle.peers._limits import PUSH_QUEUE_BYTES
from acaciasaddle.peers._queue import OutgoingQueue
from acaciasaddle.peers._queue import Priority
from acaciasaddle.peers._rows import slice_rows
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
from acaciasaddle.wire import split_message

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from acaciasaddle.model import BodySource
    from acaciasaddle.model import ResponseSink
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

    def __init__(self, *, started_at: float) -> None:
        self.started_at = started_at
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
        """Remove the call from the send queue unless a part of it has been written."""
        if not self.sent:
            for frame in self.frames:
                frame.withdrawn = True


class Connection:
    """A connection after the exchange of ``Hello``.

    Heartbeats, calls and streams are started by the dialling side and answered by the accepting
    side. Rows are pushed in both directions.
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
        self._awaited_acks: dict[int, float] = {}
        self._last_heartbeat = -math.inf
        self._pending_calls: dict[int, PendingCall] = {}
        self._call_ids = itertools.count(1)
        self._outgoing: dict[int, OutgoingWork] = {}
        self._stream_numbers = itertools.count(1)
        self._incoming: dict[int, IncomingWork] = {}
        self._last_incoming_stream = 0
        self._serving_calls = 0
        self._push_dropped = False
        self._message_arrived = trio.lowlevel.ParkingLot()
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
        """Whether new calls and requests may be started."""
        return not self.closed and not self.leaving

    @property
    def has_streams(self) -> bool:
        """Whether a request is in progress in either direction."""
        return bool(self._outgoing or self._incoming)

    @property
    def has_calls(self) -> bool:
        """Whether a call is in progress in either direction."""
        return bool(self._pending_calls or self._serving_calls)

    async def run(self) -> None:
        """Read and write until the peer or this host closes the connection."""
        self._state.heard_at[self.member] = self._state.clock.now()
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    nursery.start_soon(self._write)
                    await self._read()
                    self.close("the peer closed the connection")
        finally:
            self.close("this host closed the connection")

    def close(self, reason: str) -> None:
        """Close the connection: cancel handlers, and fail calls and streams."""
        if self.closed:
            return
        self.closed = True
        for pending in self._pending_calls.values():
            pending.failure = PeerUnreachableError(
                reason, sent=pending.sent, step="peer.call", peer=self.member
            )
            pending.done.set()
        for outgoing in self._outgoing.values():
            outgoing.connection_ended(reason)
        for incoming in self._incoming.values():
            incoming.fail(PeerUnreachableError(reason, step="peer.work", peer=self.member))
        self.queue.close()
        self._message_arrived.unpark_all()
        self._scope.cancel()
        log.info(
            "connection closed",
            step="peer.close",
            peer=self.member,
            reason=reason,
            dialled=self.dialled,
        )

    # Supervision

    def heartbeat(self) -> None:
        """Queue a heartbeat.

        Does nothing if the connection is closed, or a heartbeat with the same clock reading is
        unanswered.
        """
        now = self._state.clock.now()
        clock_us = int(now * 1_000_000)
        if self.closed or clock_us in self._awaited_acks:
            return
        self._awaited_acks[clock_us] = now
        self._last_heartbeat = self._last_used = now
        self._put(
            Priority.URGENT,
            Heartbeat(
                clock_us=clock_us,
                config_version=self._state.config_version,
                revision=self._state.revision,
            ),
        )

    def silence_deadline(self) -> float:
        """Return when the connection counts as silent if nothing arrives by then.

        Infinity while nothing is due from the peer.
        """
        since = max(self._last_received, self._state.resumed_at)
        if not self.dialled:
            return since + ACCEPTED_MAX_SILENCE_S if self._incoming else math.inf
        awaited_since = [next(iter(self._awaited_acks.values()))] if self._awaited_acks else []
        if self._pending_calls:
            awaited_since.append(next(iter(self._pending_calls.values())).started_at)
        if not awaited_since:
            return math.inf
        if self.partner:
            # A partner is sent a heartbeat in every period, so its silence is counted from the last
            # message, or from one period before the oldest unanswered heartbeat or call if that is
            # later.
            return max(since, min(awaited_since) - HEARTBEAT_PERIOD_S) + PARTNER_MAX_SILENCE_S
        return max(since, min(awaited_since)) + MAX_SILENCE_S

    def check_silence(self, now: float) -> None:
        """Close the connection if it has been silent for too long."""
        if now < self.silence_deadline():
            return
        self._state.metrics.count("peers.silent")
        self.close(f"nothing was received for {now - self._last_received:.2f} s")

    def check_activity(self, now: float) -> None:
        """Probe a connection in use if a probe is due; close an unused one if idle or leaving."""
        if self._outgoing or self._pending_calls:
            self._last_used = now
            if now - self._last_heartbeat > PROBE_PERIOD_S:
                self.heartbeat()
            else:
                self._probe_if_quiet(now)
            return
        if self.leaving and self.dialled:
            self.close("the peer is stopping or no longer a member")
            return
        if self.dialled:
            idle = not self.partner and now - self._last_used > IDLE_TIMEOUT_S
        else:
            idle = now - self._last_received > ACCEPTED_IDLE_TIMEOUT_S
        if idle:
            self.close("idle")

    def _probe_if_quiet(self, now: float) -> None:
        quiet_since = max(self._last_received, self._last_heartbeat)
        if now - quiet_since > PROBE_AFTER_S:
            self.heartbeat()

    # Requests

    async def work(self, req: WorkRequest, body: BodySource, response: ResponseSink) -> None:
        """Forward a request to the peer and relay its response to ``response``."""
        if req.once:
            await self._ensure_alive()
        await self.queue.wait_for_space(Priority.CONTROL)
        now = self._state.clock.now()
        self._last_used = now
        self._probe_if_quiet(now)
        stream = OutgoingWork(number=next(self._stream_numbers), queue=self.queue, peer=self.member)
        stream.open_frame = self._put(Priority.CONTROL, OpenWork(stream=stream.number, request=req))
        self._outgoing[stream.number] = stream
        try:
            if req.body_length == 0:
                await stream.relay(response)
            else:
                await _relay_with_body(stream, body, response)
        finally:
            del self._outgoing[stream.number]
            self._cancel_stream(stream)
            self._handle_activity_end()

    async def _ensure_alive(self) -> None:
        while not self.closed and self._state.clock.now() - self._last_received > ALIVE_WITHIN_S:
            if not self._awaited_acks:
                self.heartbeat()
            await self._message_arrived.park()

    def _cancel_stream(self, stream: OutgoingWork) -> None:
        if stream.finished or self.closed:
            return
        if stream.open_frame is not None and not stream.open_frame.written:
            stream.open_frame.withdrawn = True
            return
        self._put(Priority.URGENT, WorkReset(stream=stream.number, reason="cancelled"))

    def _handle_activity_end(self) -> None:
        self._state.activity_ended.unpark_all()
        if self.leaving and not self._outgoing and not self._pending_calls and self.dialled:
            self.close("the peer is stopping or no longer a member")

    # Calls

    async def call(self, call: Call, pending: PendingCall) -> Reply:
        """Send a call and return its reply.

        ``pending`` says whether the call was sent, also after this method has been cancelled.
        """
        await self.queue.wait_for_space(Priority.CONTROL)
        now = self._state.clock.now()
        self._last_used = now
        pending.started_at = now
        call_id = next(self._call_ids)
        self._pending_calls[call_id] = pending
        try:
            pending.frames = await self._send(CallEnvelope(call_id=call_id, call=call))
            await pending.done.wait()
        finally:
            del self._pending_calls[call_id]
            pending.withdraw()
            if self.leaving:
                self._handle_activity_end()
        if pending.failure is not None:
            raise pending.failure
        assert pending.reply is not None
        return pending.reply

    # Rows

    def push(self, complete: bytes, *, incomplete: bytes) -> None:
        """Queue a message of pushed rows.

        ``incomplete`` is the same message without its revision. Once a push has been dropped, the
        connection sends only such messages, since the peer's mirror may lack rows.
        """
        if self.closed:
            return
        if self.queue.size(Priority.ROWS) + len(complete) > PUSH_QUEUE_BYTES:
            self._push_dropped = True
            self._state.metrics.count("peers.push_dropped")
            log.warning("pushed rows dropped, send queue full", step="peer.push", peer=self.member)
            return
        for piece in split_message(incomplete if self._push_dropped else complete):
            self.queue.put(Priority.ROWS, piece)

    # Sending

    def _put(self, priority: Priority, message: Message) -> QueuedFrame:
        return self.queue.put(priority, encode(message))

    async def _send(self, message: Message) -> list[QueuedFrame]:
        pieces = split_message(encode(message))
        if len(pieces) == 1:
            return [self.queue.put(Priority.CONTROL, pieces[0])]
        # All parts are queued at once, since the parts of two messages must not be interleaved.
        await self.queue.wait_for_space(Priority.ROWS)
        return [self.queue.put(Priority.ROWS, piece) for piece in pieces]

    async def _write(self) -> None:
        try:
            while True:
                await self._frames.send(await self.queue.next_batch())
        except PeerError as exc:
            self.close(exc.message)

    # Receiving

    async def _read(self) -> None:
        try:
            while (data := await self._frames.receive()) is not None:
                now = self._state.clock.now()
                self._last_received = now
                self._message_arrived.unpark_all()
                self._state.heard_at[self.member] = now
                self._receive(decode(data))
                if self.queue.overrun:
                    raise PeerProtocolError(
                        "the peer does not read: too many urgent frames are queued",
                        step="peer.send",
                        peer=self.member,
                    )
        except PeerProtocolError as exc:
            self._state.metrics.count("peers.protocol_errors")
            log.warning(
                "connection closed after a protocol error",
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
                f"{type(message).__name__} is not expected from this side of the connection",
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
            raise PeerProtocolError(
                "a message in parts contains another part", step="peer.receive", peer=self.member
            )
        self._receive(whole)

    def _on_leaving(self, message: Leaving) -> None:
        self.leaving = True
        self._handle_activity_end()

    def _on_heartbeat(self, message: Heartbeat) -> None:
        state = self._state
        self._record_digest(message)
        confirmed = self.member not in state.withheld
        if confirmed:
            state.confirmation_sent_at[self.member] = state.clock.now()
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
        if message.echo_us not in self._awaited_acks:
            raise PeerProtocolError(
                "the answer to a heartbeat does not echo the clock reading of an unanswered one",
                step="peer.heartbeat",
                peer=self.member,
            )
        # Acks arrive in order, so an older heartbeat without one will not be answered any more.
        for clock_us in list(self._awaited_acks):
            del self._awaited_acks[clock_us]
            if clock_us == message.echo_us:
                break
        self._record_digest(message)
        if message.confirmed:
            echoed = message.echo_us / 1_000_000
            confirmed_at = self._state.confirmed_at
            confirmed_at[self.member] = max(echoed, confirmed_at.get(self.member, -math.inf))

    def _record_digest(self, message: Heartbeat | HeartbeatAck) -> None:
        self._state.record_digest(
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
            _log_failure("handler of pushed rows failed", "peer.rows", self.member, exc)

    def _on_call(self, message: CallEnvelope) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_call, message)

    async def _serve_call(self, message: CallEnvelope) -> None:
        self._serving_calls += 1
        try:
            reply = await handle_call(self._state, self.member, message.call)
            try:
                await self._send_reply(message.call_id, reply)
            except PeerProtocolError as exc:
                failed = Failed(reason=exc.message, step=exc.step)
                await self._send(ReplyEnvelope(call_id=message.call_id, reply=failed))
        except PeerUnreachableError:
            pass  # The connection was closed meanwhile, which fails the call on the peer's side.
        finally:
            self._serving_calls -= 1
            self._state.activity_ended.unpark_all()

    async def _send_reply(self, call_id: int, reply: Reply) -> None:
        if isinstance(reply, RowsPart):
            for rows, last in slice_rows(reply.rows):
                part = RowsPart(rows=rows, revision=reply.revision if last else 0)
                await self.queue.wait_for_space(Priority.ROWS)
                for piece in split_message(
                    encode(ReplyEnvelope(call_id=call_id, reply=part, more=not last))
                ):
                    self.queue.put(Priority.ROWS, piece)
                await trio.lowlevel.checkpoint()
            return
        await self.queue.wait_for_space(Priority.CONTROL)
        await self._send(ReplyEnvelope(call_id=call_id, reply=reply))

    def _on_reply(self, message: ReplyEnvelope) -> None:
        pending = self._pending_calls.get(message.call_id)
        if pending is None or pending.reply is not None:
            return
        reply = message.reply
        if message.more or pending.rows:
            if not isinstance(reply, RowsPart):
                raise PeerProtocolError(
                    "a reply in several messages has one that is not RowsPart",
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
        if message.stream <= self._last_incoming_stream:
            raise PeerProtocolError(
                f"stream {message.stream} is opened again or out of order",
                step="peer.work",
                peer=self.member,
            )
        self._last_incoming_stream = message.stream
        if self._state.stopping:
            error = NotOwnerError("the host is stopping", step="peer.work", peer=self._state.member)
            self._put(Priority.CONTROL, _refusal_message(message.stream, error))
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
                await self._run_handler(req, stream)
        except PeerError as exc:
            log.info(
                "response to a forwarded request not delivered",
                step=exc.step,
                peer=self.member,
                request=req.request_id,
                reason=exc.message,
            )
            if not self.closed:
                reason = "the response could not be sent"
                self._put(Priority.URGENT, WorkReset(stream=stream.number, reason=reason))
        finally:
            del self._incoming[stream.number]
            self._handle_activity_end()

    async def _run_handler(self, req: WorkRequest, stream: IncomingWork) -> None:
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
            error = self._unknown_outcome("the handler returned without a complete response")
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
                _log_failure(
                    "handler of a forwarded request failed after its response was complete",
                    "peer.work",
                    self.member,
                    exc,
                )
                return
            _log_failure("handler of a forwarded request failed", "peer.work", self.member, exc)
            error = self._unknown_outcome(f"internal error: {type(exc).__name__}")
        if stream.started:
            # The head has been sent already, so only a reset can report the failure.
            self._put(Priority.URGENT, WorkReset(stream=stream.number, reason=str(error)))
            return
        await self.queue.wait_for_space(Priority.CONTROL)
        self._put(Priority.CONTROL, _refusal_message(stream.number, error))

    def _unknown_outcome(self, reason: str) -> RefusedError:
        return RefusedError(
            reason,
            outcome=Outcome.UNKNOWN,
            status=504,
            step="peer.work",
            peer=self._state.member,
        )

    # A message for a stream that has ended here is ignored: it may have been on its way. Stream
    # numbers are not reused, so it cannot reach another request.

    def _on_head(self, message: WorkHead) -> None:
        if stream := self._outgoing.get(message.stream):
            stream.on_head(message)

    def _on_data(self, message: WorkData) -> None:
        if stream := self._get_stream(message.stream):
            stream.on_data(message)

    def _on_end(self, message: WorkEnd) -> None:
        if stream := self._get_stream(message.stream):
            stream.on_end(message)

    def _on_credit(self, message: WorkCredit) -> None:
        if stream := self._get_stream(message.stream):
            stream.on_credit(message)

    def _on_refused(self, message: WorkRefused) -> None:
        if stream := self._outgoing.get(message.stream):
            stream.on_refused(message)

    def _on_reset(self, message: WorkReset) -> None:
        if outgoing := self._outgoing.get(message.stream):
            outgoing.on_reset(message)
        elif incoming := self._incoming.get(message.stream):
            incoming.scope.cancel()

    def _get_stream(self, number: int) -> OutgoingWork | IncomingWork | None:
        # All streams of a connection belong to its dialling side, so their numbers are unambiguous.
        return self._outgoing.get(number) if self.dialled else self._incoming.get(number)


async def handle_call(state: HubState, member: str, call: Call) -> Reply:
    """Handle a call of ``member`` and return its reply. Failures are returned as ``Failed``."""
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
        log.warning(
            "call from a peer failed", step=exc.step, peer=member, kind=kind, reason=exc.message
        )
        return Failed(reason=exc.message, step=exc.step)
    except Exception as exc:
        _log_failure("handler of a call failed unexpectedly", "peer.call", member, exc)
        return Failed(reason=f"internal error: {type(exc).__name__}", step="peer.call")


async def _relay_with_body(stream: OutgoingWork, body: BodySource, response: ResponseSink) -> None:
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_body, body)
        try:
            await stream.relay(response)
        except Exception as exc:
            # It is raised outside the nursery, which would wrap it in an exception group.
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


def _refusal_message(stream: int, error: AcaciasaddleError) -> WorkRefused:
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
