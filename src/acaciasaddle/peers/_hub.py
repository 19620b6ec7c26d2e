"""Peer connections over TCP."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import trio

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import PeerError
from acaciasaddle.errors import PeerProtocolError
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.observe import get_logger
from acaciasaddle.peers._api import PeerHub
from acaciasaddle.peers._connection import Connection
from acaciasaddle.peers._connection import PendingCall
from acaciasaddle.peers._connection import handle_call
from acaciasaddle.peers._limits import BACKOFF_MAX_S
from acaciasaddle.peers._limits import BACKOFF_MIN_S
from acaciasaddle.peers._limits import CHECK_PERIOD_S
from acaciasaddle.peers._limits import DIAL_TIMEOUT_S
from acaciasaddle.peers._limits import DIGEST_PEERS
from acaciasaddle.peers._limits import DIGEST_PERIOD_S
from acaciasaddle.peers._limits import HEARTBEAT_PERIOD_S
from acaciasaddle.peers._limits import HELLO_TIMEOUT_S
from acaciasaddle.peers._limits import LEAVING_GRACE_S
from acaciasaddle.peers._limits import PARTNER_BACKOFF_MAX_S
from acaciasaddle.peers._limits import PAUSE_THRESHOLD_S
from acaciasaddle.peers._queue import Priority
from acaciasaddle.peers._rows import slice_rows
from acaciasaddle.peers._state import HubState
from acaciasaddle.peers._transport import connect_tcp
from acaciasaddle.peers._transport import listen_tcp
from acaciasaddle.wire import FrameStream
from acaciasaddle.wire import Hello
from acaciasaddle.wire import Leaving
from acaciasaddle.wire import Rows
from acaciasaddle.wire import decode
from acaciasaddle.wire import encode

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from acaciasaddle.clock import Clock
    from acaciasaddle.model import BodySource
    from acaciasaddle.model import ResponseSink
    from acaciasaddle.model import Row
    from acaciasaddle.model import WorkRequest
    from acaciasaddle.observe import Metrics
    from acaciasaddle.peers._api import CallHandler
    from acaciasaddle.peers._api import Digest
    from acaciasaddle.peers._api import RowsHandler
    from acaciasaddle.peers._api import WorkHandler
    from acaciasaddle.peers._transport import Connect
    from acaciasaddle.peers._transport import Listen
    from acaciasaddle.wire import Call
    from acaciasaddle.wire import Reply

log = get_logger("peers")


class _Dial:
    """An attempt to connect that any number of tasks can wait for."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.conn: Connection | None = None


class _Peer:
    """A member and the connection that this host dialled to it.

    ``failures`` counts failed dials since the last connection. ``refused`` and ``reason`` describe
    the latest of them.
    """

    def __init__(self, *, member: str, address: str) -> None:
        self.member = member
        self.address = address
        self.conn: Connection | None = None
        self.dial: _Dial | None = None
        self.failures = 0
        self.retry_at = -math.inf
        self.refused = False
        self.reason = ""


class TcpPeerHub(PeerHub):
    """Peer connections over TCP, or over other streams in tests.

    ``address`` is the ``ip:port`` to listen on. ``connect`` and ``listen`` open the streams.
    """

    def __init__(
        self,
        *,
        member: str,
        data_centre: str,
        address: str,
        clock: Clock,
        metrics: Metrics,
        connect: Connect = connect_tcp,
        listen: Listen = listen_tcp,
        rng: random.Random | None = None,
    ) -> None:
        self._state = HubState(member=member, data_centre=data_centre, clock=clock, metrics=metrics)
        self._bind_address = address
        self._connect = connect
        self._listen = listen
        self._rng = rng or random.Random()
        self._peers: dict[str, _Peer] = {}
        self._partners: frozenset[str] = frozenset()
        self._partners_changed = trio.Event()
        self._connections: set[Connection] = set()
        self._nursery: trio.Nursery | None = None
        self._listener_scope = trio.CancelScope()
        self._push_sender, self._push_receiver = trio.open_memory_channel[
            tuple[tuple["Row", ...], int, "int | None"]
        ](math.inf)

    @property
    def address(self) -> str:
        """Address that the hub listens on, ``ip:port``; empty before it runs."""
        return self._state.address

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        listener, self._state.address = await self._listen(self._bind_address)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._serve_listener, listener)
                nursery.start_soon(self._supervise)
                nursery.start_soon(self._push_queued)
                task_status.started()
        finally:
            self._nursery = None
            await trio.aclose_forcefully(listener)

    async def stop(self) -> None:
        """Stop gracefully.

        Stops listening, refuses new requests, waits for those in progress in both directions, then
        closes all connections.
        """
        self._state.stopping = True
        self._listener_scope.cancel()
        for conn in self._accepted_connections():
            conn.queue.put(Priority.URGENT, encode(Leaving()))
        while any(conn.has_streams for conn in self._connections):
            await self._state.activity_ended.park()
        with trio.move_on_after(LEAVING_GRACE_S):
            # Meanwhile a request that crossed with ``Leaving`` is still refused as not run.
            while self._accepted_connections() or any(conn.has_calls for conn in self._connections):
                await self._state.activity_ended.park()
            for conn in list(self._connections):
                await conn.queue.wait_flushed()
        for conn in list(self._connections):
            conn.close("this host stopped its peer connections")
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def _accepted_connections(self) -> list[Connection]:
        return [conn for conn in self._connections if not conn.dialled and not conn.closed]

    # Membership and digests

    def set_members(self, members: Mapping[str, str]) -> None:
        for member, address in members.items():
            if member == self._state.member:
                continue
            peer = self._peers.get(member)
            if peer is None:
                self._peers[member] = _Peer(member=member, address=address)
            elif peer.address != address:
                peer.address = address
                peer.retry_at = -math.inf
        for member in [member for member in self._peers if member not in members]:
            peer = self._peers.pop(member)
            if peer.conn is not None:
                # Requests and calls in progress continue; the connection is closed after the last.
                peer.conn.leaving = True
        self._state.discard_stale(frozenset(members))

    def set_partners(self, partners: frozenset[str]) -> None:
        partners -= {self._state.member}
        if partners == self._partners:
            return
        self._partners = partners
        self._partners_changed.set()
        for member, peer in self._peers.items():
            if peer.conn is not None:
                peer.conn.partner = member in self._partners

    def set_digest(self, *, config_version: int, revision: int) -> None:
        self._state.config_version = config_version
        self._state.revision = revision

    def confirmed_at(self, member: str) -> float:
        return self._state.confirmed_at.get(member, -math.inf)

    def confirmation_sent_at(self, member: str) -> float:
        """Return when this host last confirmed a heartbeat of ``member``.

        The clock is read just before the answer is queued. Minus infinity if there is none.
        """
        return self._state.confirmation_sent_at.get(member, -math.inf)

    def heard_at(self, member: str) -> float:
        return self._state.heard_at.get(member, -math.inf)

    def withhold_confirmation(self, member: str) -> None:
        self._state.withheld.add(member)

    def restore_confirmation(self, member: str) -> None:
        self._state.withheld.discard(member)

    def digests(self) -> tuple[Digest, ...]:
        return tuple(self._state.digests.values())

    # Calls, requests and rows

    def on_call(self, kind: type[Call], handler: CallHandler) -> None:
        self._state.call_handlers[kind] = handler

    def on_work(self, handler: WorkHandler) -> None:
        self._state.work_handler = handler

    def on_rows(self, handler: RowsHandler) -> None:
        self._state.rows_handler = handler

    async def call(self, member: str, call: Call, *, timeout: float) -> Reply:
        pending = PendingCall(started_at=self._state.clock.now())
        with trio.move_on_after(timeout):
            if member == self._state.member:
                # A host that holds both upstreams of a move sends ``Release`` to itself.
                return await handle_call(self._state, member, call)
            conn = await self._get_connection(member, step="peer.call")
            return await conn.call(call, pending)
        raise PeerUnreachableError(
            f"{type(call).__name__} was not answered within {timeout:.3f} s",
            sent=pending.sent,
            step="peer.call",
            peer=member,
        )

    async def work(
        self, member: str, req: WorkRequest, body: BodySource, response: ResponseSink
    ) -> None:
        conn = await self._get_connection(member, step="peer.work")
        await conn.work(req, body, response)

    def push_rows(
        self, rows: Iterable[Row], *, revision: int = 0, fanout: int | None = None
    ) -> None:
        self._push_sender.send_nowait((tuple(rows), revision, fanout))

    async def _push_queued(self) -> None:
        # A single task keeps the pushes in order, and the slices leave time for heartbeats.
        async for rows, revision, fanout in self._push_receiver:
            for rows_slice, last in slice_rows(rows):
                self._push_slice(rows_slice, revision if last else 0, fanout)
                await trio.lowlevel.checkpoint()

    def _push_slice(self, rows: tuple[Row, ...], revision: int, fanout: int | None) -> None:
        try:
            incomplete = encode(Rows(rows=rows, revision=0))
            complete = encode(Rows(rows=rows, revision=revision)) if revision else incomplete
        except PeerProtocolError as exc:
            log.error("rows not pushed, they cannot be encoded", step=exc.step, reason=exc.message)
            return
        targets = list(self._push_targets())
        if fanout is not None and fanout < len(targets):
            targets = self._rng.sample(targets, fanout)
        for conn in targets:
            conn.push(complete, incomplete=incomplete)

    def _push_targets(self) -> Iterable[Connection]:
        targets: dict[str, Connection] = {}
        for conn in self._connections:
            if not conn.closed and (conn.dialled or conn.member not in targets):
                targets[conn.member] = conn
        return targets.values()

    # Dialling

    async def identify(self, address: str) -> Hello:
        """Return the ``Hello`` of the host at ``address``, for seeds whose member id is unknown.

        Raises ``PeerUnreachableError``, ``PeerProtocolError``, or ``PeerError`` if the address is
        invalid.
        """
        frames, hello = await self._handshake(address, member="")
        await frames.aclose()
        return hello

    async def _get_connection(self, member: str, *, step: str) -> Connection:
        peer = self._peers.get(member)
        if peer is None or self._nursery is None:
            reason = (
                "the member is unknown" if peer is None else "the peer connections are not running"
            )
            raise PeerUnreachableError(reason, step=step, peer=member)
        if peer.conn is not None and peer.conn.usable:
            return peer.conn
        if peer.dial is None and self._state.clock.now() >= peer.retry_at:
            self._start_dial(peer)
        if peer.dial is not None:
            dial = peer.dial
            await dial.done.wait()
            if dial.conn is not None and dial.conn.usable:
                return dial.conn
        # During the backoff the last failure is raised at once, so that another host can be tried.
        raise PeerUnreachableError(
            peer.reason or "the connection was closed", refused=peer.refused, step=step, peer=member
        )

    def _start_dial(self, peer: _Peer) -> None:
        if self._nursery is None or peer.dial is not None:
            return
        peer.dial = _Dial()
        self._nursery.start_soon(self._dial, peer, peer.dial)

    async def _dial(self, peer: _Peer, dial: _Dial) -> None:
        try:
            frames, hello = await self._handshake(peer.address, member=peer.member)
        except AcaciasaddleError as exc:
            self._dial_failed(peer, exc)
            return
        finally:
            if peer.dial is dial:
                peer.dial = None
            if dial.conn is None:
                dial.done.set()
        conn = Connection(state=self._state, frames=frames, hello=hello, dialled=True)
        conn.partner = peer.member in self._partners
        peer.failures = 0
        peer.refused = False
        peer.reason = ""
        peer.conn = dial.conn = conn
        dial.done.set()
        conn.heartbeat()
        await self._run_connection(conn, frames)

    def _dial_failed(self, peer: _Peer, exc: AcaciasaddleError) -> None:
        max_backoff = PARTNER_BACKOFF_MAX_S if peer.member in self._partners else BACKOFF_MAX_S
        backoff = min(BACKOFF_MIN_S * 2 ** min(peer.failures, 10), max_backoff)
        # Jitter keeps hosts that lost the same peer from dialling it at the same time.
        peer.retry_at = self._state.clock.now() + backoff * self._rng.uniform(0.5, 1.0)
        peer.failures += 1
        peer.refused = isinstance(exc, PeerUnreachableError) and exc.refused
        peer.reason = exc.message
        self._state.metrics.count("peers.dial_failures")
        log.info(
            "dial failed",
            step=exc.step,
            peer=peer.member,
            address=peer.address,
            reason=exc.message,
            refused=peer.refused,
            failures=peer.failures,
        )

    async def _handshake(self, address: str, *, member: str) -> tuple[FrameStream, Hello]:
        """Connect and exchange ``Hello``. An empty ``member`` accepts any member."""
        peer = member or address
        self._state.metrics.count("peers.dials")
        with trio.move_on_after(DIAL_TIMEOUT_S):
            try:
                stream = await self._connect(address)
            except OSError as exc:
                raise PeerUnreachableError(
                    f"the connection failed: {exc}",
                    refused=isinstance(exc, ConnectionRefusedError),
                    step="peer.dial",
                    peer=peer,
                ) from exc
            frames = FrameStream(stream=stream, peer=peer)
            try:
                await frames.send([encode(self._hello())])
                hello = await _receive_hello(frames)
                if member and hello.member != member:
                    raise PeerProtocolError(
                        f"the member at {address} is {hello.member}", step="peer.hello", peer=peer
                    )
                return frames, hello
            except BaseException:
                await frames.aclose()
                raise
        raise PeerUnreachableError(
            f"the peer did not accept the connection and send Hello within {DIAL_TIMEOUT_S} s",
            step="peer.dial",
            peer=peer,
        )

    def _hello(self) -> Hello:
        state = self._state
        return Hello(member=state.member, data_centre=state.data_centre, peer_address=state.address)

    # Connections

    async def _serve_listener(self, listener: trio.abc.Listener[trio.abc.Stream]) -> None:
        with self._listener_scope:
            await trio.serve_listeners(self._accept, [listener], handler_nursery=self._nursery)
        await trio.aclose_forcefully(listener)

    async def _accept(self, stream: trio.abc.Stream) -> None:
        frames = FrameStream(stream=stream)
        hello: Hello | None = None
        try:
            with trio.move_on_after(HELLO_TIMEOUT_S):
                hello = await _receive_hello(frames)
                if hello.member == self._state.member:
                    raise PeerProtocolError(
                        "the peer has the member id of this host", step="peer.hello"
                    )
                await frames.send([encode(self._hello())])
        except PeerError as exc:
            log.warning("incoming connection rejected", step=exc.step, reason=exc.message)
            hello = None
        if hello is None:
            await frames.aclose()
            return
        frames.peer = hello.member
        await self._run_connection(
            Connection(state=self._state, frames=frames, hello=hello, dialled=False), frames
        )

    async def _run_connection(self, conn: Connection, frames: FrameStream) -> None:
        self._connections.add(conn)
        log.info(
            "connection opened",
            step="peer.open",
            peer=conn.member,
            data_centre=conn.data_centre,
            dialled=conn.dialled,
        )
        try:
            await conn.run()
        except Exception as exc:
            # An error on one connection must not end the others.
            log.error(
                "connection closed after an unexpected error",
                step="peer.run",
                peer=conn.member,
                error=repr(exc),
            )
        finally:
            self._connections.discard(conn)
            peer = self._peers.get(conn.member)
            if peer is not None and peer.conn is conn:
                peer.conn = None
            self._state.activity_ended.unpark_all()
            await frames.aclose()

    async def _supervise(self) -> None:
        next_heartbeat = next_digest = next_check = self._state.clock.now()
        while True:
            now = self._state.clock.now()
            if now >= next_heartbeat:
                next_heartbeat = max(next_heartbeat + HEARTBEAT_PERIOD_S, now)
                for member in self._partners:
                    self._send_heartbeat(member)
            check_others = now >= next_check
            if check_others:
                next_check = now + CHECK_PERIOD_S
            wake_at = next_check if not self._partners else min(next_heartbeat, next_check)
            for conn in list(self._connections):
                if conn.partner or check_others:
                    conn.check_silence(now)
                    conn.check_activity(now)
                    wake_at = min(wake_at, conn.silence_deadline()) if conn.partner else wake_at
            if now >= next_digest:
                next_digest = now + DIGEST_PERIOD_S
                others = [member for member in self._peers if member not in self._partners]
                for member in self._rng.sample(others, min(DIGEST_PEERS, len(others))):
                    self._send_heartbeat(member)
            with trio.move_on_after(max(wake_at - now, 0)):
                await self._partners_changed.wait()
            self._partners_changed = trio.Event()
            late = self._state.clock.now() - wake_at
            if late > PAUSE_THRESHOLD_S:
                log.warning(
                    "this process was paused, the silence of peers is measured from now on",
                    step="peer.supervise",
                    seconds=late,
                )
                self._state.resumed_at = self._state.clock.now()

    def _send_heartbeat(self, member: str) -> None:
        peer = self._peers.get(member)
        if peer is None:
            return
        if peer.conn is not None and peer.conn.usable:
            peer.conn.heartbeat()
        elif self._state.clock.now() >= peer.retry_at and not self._state.stopping:
            self._start_dial(peer)


async def _receive_hello(frames: FrameStream) -> Hello:
    data = await frames.receive()
    if data is None:
        raise PeerUnreachableError(
            "the connection was closed before Hello", step="peer.hello", peer=frames.peer
        )
    message = decode(data)
    if not isinstance(message, Hello):
        raise PeerProtocolError(
            f"received {type(message).__name__} instead of Hello",
            step="peer.hello",
            peer=frames.peer,
        )
    return message
