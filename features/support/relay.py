"""A TCP relay whose connections can be silenced: they stay open and pass no more bytes."""

from __future__ import annotations

from functools import partial

import trio

CHUNK_BYTES = 65_536


class Relay:
    """Copies bytes to ``target`` (``ip:port``) and back; ``opened`` counts accepted connections."""

    def __init__(self, *, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._silenced = trio.Event()
        self.address = ""
        self.opened = 0

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Accept connections on ``address`` until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = "127.0.0.1:{1}".format(*listeners[0].socket.getsockname())
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def silence(self) -> None:
        """Pass no more bytes over the connections opened so far, and keep them open."""
        self._silenced.set()
        self._silenced = trio.Event()

    async def _serve(self, client: trio.SocketStream) -> None:
        self.opened += 1
        silenced = self._silenced
        try:
            target = await trio.open_tcp_stream(self._host, self._port)
            async with target, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, client, target, silenced)
                nursery.start_soon(self._copy, target, client, silenced)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, silenced: trio.Event
    ) -> None:
        receive = partial(source.receive_some, CHUNK_BYTES)
        while data := await receive():
            if silenced.is_set():
                await trio.sleep_forever()
            await sink.send_all(data)
        if silenced.is_set():
            await trio.sleep_forever()
        await sink.send_eof()
