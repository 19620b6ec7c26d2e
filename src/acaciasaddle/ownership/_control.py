"""Orders to one upstream over HTTP, which renew its lease and set the units that it may serve."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

from acaciasaddle.errors import DECODING_ERRORS
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.errors import UpstreamUnreachableError


@dataclass(frozen=True, slots=True, kw_only=True)
class GrantState:
    """An upstream's response to an order.

    ``accepted`` is false if the upstream has seen a higher term, or an order of this term with a
    higher ``seq``. ``instance`` names the upstream's process, since a restarted one has another
    clock. ``clock`` is the reading of that clock in milliseconds, ``valid_until`` the reading at
    which the lease of ``units`` expires, 0 if the upstream reports none. ``running`` are the units
    with requests in progress at the upstream.
    """

    accepted: bool
    instance: str
    clock: float
    term: int
    seq: int
    valid_until: float
    units: frozenset[str]
    running: frozenset[str]
    state: str


class BufferedWrites(httpcore.AsyncNetworkStream):
    """Buffers what is written and sends it before the next read.

    httpcore writes the head and the body of a request separately. Orders are small, and sending
    both in one write halves the number of system calls of the sender and of the upstream.
    """

    def __init__(self, *, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            await self._stream.write(data, timeout)
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._buffer += buffer

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self._stream.get_extra_info(info)


class UpstreamControl:
    """Sends orders and health checks to one upstream over one connection.

    The connection is closed if a request gets no response, and the next request opens another.
    """

    def __init__(
        self, *, address: str, backend: httpcore.AsyncNetworkBackend, timeout: float
    ) -> None:
        self._address = address
        host, port = address.rsplit(":", 1)
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._backend = backend
        self._timeout = timeout
        self._conn: httpcore.AsyncHTTP11Connection | None = None

    async def order(self, order: dict[str, Any]) -> GrantState:
        """Send an order and return the response.

        Raises ``UpstreamError`` if no valid response arrives in time.
        """
        status, data = await self._request("POST", "/grant", json.dumps(order).encode())
        if status not in (200, 409):
            raise self._error(f"order was answered with status {status}")
        try:
            value = json.loads(data)
            return GrantState(
                accepted=status == 200,
                instance=str(value["instance"]),
                clock=float(value["clock"]),
                term=int(value["term"]),
                seq=int(value["seq"]),
                valid_until=float(value["valid_until"] or 0),
                units=frozenset(value["units"]),
                running=frozenset(value["running"]),
                state=str(value["state"]),
            )
        except (KeyError, TypeError, *DECODING_ERRORS) as exc:
            raise self._error(f"order was answered with a malformed body: {exc}") from exc

    async def health(self) -> str:
        """Return the state that the health endpoint reports, ``ready`` if it reports none.

        It is for upstreams that do not check orders. Raises ``UpstreamError`` if no valid response
        arrives in time.
        """
        status, data = await self._request("GET", "/health", b"")
        if status != 200:
            raise self._error(f"health check was answered with status {status}")
        try:
            return str(json.loads(data).get("state", "ready"))
        except (AttributeError, *DECODING_ERRORS) as exc:
            raise self._error("health check was answered with a malformed body") from exc

    async def close(self) -> None:
        """Close the connection."""
        conn, self._conn = self._conn, None
        if conn is None:
            return
        with trio.CancelScope(shield=True), trio.move_on_after(1):
            await conn.aclose()

    async def _request(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        try:
            with trio.fail_after(self._timeout):
                if self._conn is not None and not self._conn.is_available():
                    # The upstream asked to close the connection after its last response.
                    await self.close()
                conn = self._conn or await self._connect()
                response = await conn.request(
                    method,
                    httpcore.URL(
                        scheme=b"http",
                        host=self._origin.host,
                        port=self._origin.port,
                        target=path.encode(),
                    ),
                    headers=[
                        ("Host", self._address),
                        ("Content-Type", "application/json"),
                        ("Content-Length", str(len(body))),
                    ],
                    content=body,
                )
                return response.status, response.content
        except (httpcore.ConnectError, httpcore.ConnectTimeout, ConnectionRefusedError) as exc:
            await self.close()
            raise UpstreamUnreachableError(
                "could not connect to the upstream",
                outcome=Outcome.NOT_RUN,
                step="grant.connect",
                peer=self._address,
            ) from exc
        except (trio.TooSlowError, OSError, httpcore.NetworkError, httpcore.ProtocolError) as exc:
            await self.close()
            raise self._error(f"request to the upstream was not answered: {exc!r}") from exc
        except trio.Cancelled:
            await self.close()
            raise

    async def _connect(self) -> httpcore.AsyncHTTP11Connection:
        host = self._origin.host.decode()
        stream = await self._backend.connect_tcp(host, self._origin.port, timeout=self._timeout)
        self._conn = httpcore.AsyncHTTP11Connection(
            origin=self._origin, stream=BufferedWrites(stream=stream)
        )
        return self._conn

    def _error(self, message: str) -> UpstreamError:
        return UpstreamError(
            message, outcome=Outcome.UNKNOWN, step="grant.order", peer=self._address
        )
