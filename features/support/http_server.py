"""HTTP/1.1 server for one ASGI application over in-memory streams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import h11
import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from features.support.network import MemoryListener
    from features.support.network import MemoryStream


async def serve(listener: MemoryListener, app: Callable[[Any, Any, Any], Awaitable[None]]) -> None:
    """Accept and serve connections until cancelled."""
    async with trio.open_nursery() as nursery:
        while True:
            stream = await listener.accept()
            nursery.start_soon(_Connection(stream, app).run)


class _Connection:
    def __init__(
        self, stream: MemoryStream, app: Callable[[Any, Any, Any], Awaitable[None]]
    ) -> None:
        self._stream = stream
        self._app = app
        self._http = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        try:
            while await self._serve_request():
                self._http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _serve_request(self) -> bool:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return False
        path, _, query = event.target.partition(b"?")
        scope = {
            "type": "http",
            "method": event.method.decode(),
            "path": path.decode(),
            "raw_path": path,
            "query_string": query,
            "headers": list(event.headers),
            "client": None,
            "server": None,
        }
        await self._app(scope, self._receive, self._send)
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._stream.receive_some(65_536))

    async def _receive(self) -> Any:
        try:
            if self._http.their_state is h11.DONE:
                while await self._stream.receive_some(1):
                    pass
                return {"type": "http.disconnect"}
            event = await self._next_event()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            return {"type": "http.disconnect"}
        if isinstance(event, h11.Data):
            return {"type": "http.request", "body": bytes(event.data), "more_body": True}
        if isinstance(event, h11.EndOfMessage):
            return {"type": "http.request", "body": b"", "more_body": False}
        return {"type": "http.disconnect"}

    async def _send(self, message: Any) -> None:
        if message["type"] == "http.response.start":
            headers = [(bytes(name), bytes(value)) for name, value in message["headers"]]
            data = self._http.send(h11.Response(status_code=message["status"], headers=headers))
        else:
            data = self._http.send(h11.Data(data=message.get("body", b""))) or b""
            if not message.get("more_body", False):
                data += self._http.send(h11.EndOfMessage()) or b""
        if data:
            await self._stream.send_all(data)
