"""Base class of the stand-ins' ASGI applications, and the HTTP exchange that they handle."""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qsl

import pydantic

from acaciasaddle.errors import AcaciasaddleError
from acaciasaddle.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_DISCARDED_BYTES = 256 * 1024
"""Largest unread rest of a request body that is read so that its connection can be reused."""

STATUS_PROCESSING = 102


class BodyCutError(AcaciasaddleError):
    """The connection ended before the request's body was complete."""


class Exchange:
    """One HTTP request and its response."""

    def __init__(self, *, scope: Scope, receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self._body_complete = False
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        query = str(scope["query_string"], "latin-1")
        self.target = str(scope["raw_path"], "latin-1") + (f"?{query}" if query else "")
        self.query = dict(parse_qsl(query, keep_blank_values=True))
        self.client: tuple[str, int] | None = scope["client"]
        self.server: tuple[str, int] | None = scope["server"]
        self._headers: dict[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.answered = False
        self.common_headers: dict[str, str] = {}

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is absent."""
        return self._headers.get(name.lower(), "")

    def query_number(self, name: str, default: float) -> float:
        """Return a numeric query parameter, or ``default`` if it is absent.

        Raises ``RequestError`` if it is not a number.
        """
        text = self.query.get(name)
        if text is None:
            return default
        try:
            return float(text)
        except ValueError:
            raise RequestError(
                f"query parameter {name!r} is not a number: {text!r}",
                status=400,
                step="emulator.query",
            ) from None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the unread rest of the body in chunks; raises ``BodyCutError`` if it is cut off."""
        while not self._body_complete:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise BodyCutError(
                    "the connection ended before the body was complete", step="emulator.body"
                )
            self._body_complete = not message.get("more_body", False)
            if message.get("body"):
                yield message["body"]

    async def body(self) -> bytes:
        """Return the whole body.

        Raises ``RequestError`` if it exceeds ``MAX_BODY_BYTES``, and ``BodyCutError`` if the
        connection ends early.
        """
        data = bytearray()
        async for chunk in self.chunks():
            data += chunk
            if len(data) > MAX_BODY_BYTES:
                raise RequestError(
                    f"the request body exceeds {MAX_BODY_BYTES} bytes",
                    status=413,
                    step="emulator.body",
                )
        return bytes(data)

    async def discard_body(self) -> None:
        """Read the rest of the body, so that the connection can be reused after a refusal.

        Stops once more than ``MAX_DISCARDED_BYTES`` have been read. Raises ``BodyCutError`` if the
        connection ends early.
        """
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > MAX_DISCARDED_BYTES:
                return

    async def wait_disconnected(self) -> None:
        """Wait until the connection ends. The unread rest of the body is discarded."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start_response(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status, the headers of the response and ``common_headers``."""
        self.answered = True
        merged = {**self.common_headers, **headers}
        raw = [(name.lower().encode(), value.encode()) for name, value in merged.items()]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def send_body(self, chunk: bytes, *, more: bool) -> None:
        """Send a chunk of the response body; ``more`` is false for the last one."""
        await self._send({"type": "http.response.body", "body": chunk, "more_body": more})

    async def respond(
        self, status: int, data: bytes, *, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response."""
        await self.start_response(status, {"content-length": str(len(data)), **(headers or {})})
        await self.send_body(data, more=False)

    async def respond_json(
        self, status: int, value: Any, *, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response with a JSON body."""
        merged = {"content-type": "application/json", **(headers or {})}
        await self.respond(status, json.dumps(value).encode(), headers=merged)

    async def close_without_response(self) -> None:
        """Have the connection closed without a response once the application has returned.

        ASGI has no message for this. Hypercorn closes a connection whose application returns
        after sending only an informational response, and clients ignore such a response.
        """
        self.answered = True
        await self._send(
            {"type": "http.response.start", "status": STATUS_PROCESSING, "headers": []}
        )


class AsgiApp(ABC):
    """An ASGI application that responds to invalid requests with problem details."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await self._handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._handle_http(Exchange(scope=scope, receive=receive, send=send))

    async def _handle_lifespan(self, receive: Receive, send: Send) -> None:
        while True:
            message = await receive()
            if message["type"] == "lifespan.startup":
                await send({"type": "lifespan.startup.complete"})
            elif message["type"] == "lifespan.shutdown":
                await self.shut_down()
                await send({"type": "lifespan.shutdown.complete"})
                return

    async def _handle_http(self, exchange: Exchange) -> None:
        try:
            await self.handle(exchange)
        except RequestError as exc:
            await self._send_problem(exchange, exc.status, str(exc))
        except pydantic.ValidationError as exc:
            problems = "; ".join(
                f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
                for item in exc.errors(include_url=False)
            )
            await self._send_problem(exchange, 400, problems)
        except BodyCutError:
            return

    @staticmethod
    async def _send_problem(exchange: Exchange, status: int, detail: str) -> None:
        await exchange.respond_json(
            status,
            {"title": "invalid request", "status": status, "detail": detail},
            headers={"content-type": "application/problem+json"},
        )

    @abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Respond to a request.

        Raises ``RequestError`` or ``pydantic.ValidationError`` if it is invalid, and
        ``BodyCutError`` if its body is cut off.
        """

    async def shut_down(self) -> None:  # noqa: B027
        """Release resources when the server stops. Does nothing by default."""


def not_found(exchange: Exchange) -> RequestError:
    """Return the error with status 404 for a method and path that do not exist."""
    return RequestError(
        f"{exchange.method} {exchange.path} does not exist", status=404, step="emulator.route"
    )
