"""One attempt to send a request to an upstream and read its response."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore
import trio

from acaciasaddle.dispatch import _headers
from acaciasaddle.dispatch._connections import Connection
from acaciasaddle.dispatch._streams import STALL_TIMEOUT_S
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import RequestError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.http1 import response_problem
from acaciasaddle.model import WorkRequest
from acaciasaddle.ownership import Permit

if TYPE_CHECKING:
    from acaciasaddle.dispatch._streams import CallerResponse
    from acaciasaddle.dispatch._streams import Upload

MAX_REFUSAL_BODY_BYTES = 65_536
"""Largest body of a refusal that is read so that its connection can be reused."""

REFUSAL_BODY_TIMEOUT_S = 0.5

CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.RemoteProtocolError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)

STEP = "upstream.request"


@dataclass(slots=True, kw_only=True)
class Exchange:
    """Sends one request over one connection and forwards the response.

    ``sent`` is true once a byte may have reached the upstream, ``upstream_done`` once the
    upstream has finished with the request, and ``reusable`` if the connection can carry another
    request.
    """

    conn: Connection
    permit: Permit
    req: WorkRequest
    request_id: str
    sent: bool = False
    upstream_done: bool = False
    reusable: bool = False

    async def run(
        self,
        upload: Upload,
        caller_response: CallerResponse,
        *,
        remaining: float,
        deadline_ms: float,
        response_timeout: float,
    ) -> None:
        """Send the request and forward the response to the caller.

        ``remaining`` is the time in seconds until the deadline, ``deadline_ms`` the deadline on
        the upstream's clock. The response must begin within ``response_timeout`` seconds of the
        end of the upload.

        Raises ``NotOwnerError`` or ``RefusedError`` if the upstream refused the request,
        ``RefusedError`` also if the body could not be read from the caller or does not have the
        announced length, or if the response could not be sent to the caller, ``RequestError`` if
        the request is not valid HTTP or its body stalled or was too large at the ingress, and
        ``UpstreamError`` if the connection failed, or no valid response began in time.
        """
        request = self._build_request(upload, remaining=remaining, deadline_ms=deadline_ms)
        self.sent = True
        response = await self._send_and_read_head(request, upload, response_timeout)
        refusal = self._refusal_error(response)
        if refusal is not None:
            self.upstream_done = True
            await self._read_refusal_body(response)
            raise refusal
        await caller_response.head(response.status, _headers.response_headers(response.headers))
        try:
            async for chunk in response.aiter_stream():
                if chunk:
                    await caller_response.data(chunk)
        except CONNECTION_ERRORS as exc:
            raise self._upstream_error(f"the response was cut short: {_describe(exc)}") from exc
        self.upstream_done = True
        await response.aclose()
        self.reusable = self.conn.http.is_idle()
        await caller_response.end()

    def _build_request(
        self, upload: Upload, *, remaining: float, deadline_ms: float
    ) -> httpcore.Request:
        host, _, port = self.permit.address.rpartition(":")
        try:
            return httpcore.Request(
                method=self.req.method.encode("ascii"),
                url=httpcore.URL(
                    scheme=b"http",
                    host=host.encode("ascii"),
                    port=int(port),
                    target=self.req.target.encode("ascii"),
                ),
                headers=_headers.request_headers(
                    self.req,
                    self.permit,
                    request_id=self.request_id,
                    remaining_ms=remaining * 1000,
                    deadline_ms=deadline_ms,
                ),
                content=upload,
                extensions={"timeout": {"write": STALL_TIMEOUT_S}},
            )
        except UnicodeEncodeError as exc:
            raise RequestError(
                f"the request line or a header has a character that HTTP does not allow: {exc}",
                status=400,
                step=STEP,
            ) from exc

    async def _send_and_read_head(
        self, request: httpcore.Request, upload: Upload, response_timeout: float
    ) -> httpcore.Response:
        response: httpcore.Response | None = None
        with trio.CancelScope() as scope:
            upload.set_on_complete(
                lambda: setattr(scope, "deadline", trio.current_time() + response_timeout)
            )
            try:
                response = await self.conn.http.handle_async_request(request)
            except CONNECTION_ERRORS as exc:
                raise self._upstream_error(f"no response: {_describe(exc)}") from exc
            except httpcore.LocalProtocolError as exc:
                self.sent = upload.consumed
                raise RequestError(
                    f"the request is not valid HTTP: {exc}", status=400, step=STEP
                ) from exc
        if response is None:
            raise self._upstream_error(f"no response within {response_timeout * 1000:.0f} ms")
        problem = response_problem(
            version=response.extensions["http_version"].removeprefix(b"HTTP/"),
            status=response.status,
            headers=response.headers,
        )
        if problem:
            raise self._upstream_error(f"malformed response: {problem}")
        # httpcore takes this when it starts to read the body and applies it to each read, so a body
        # that stalls is cut off.
        request.extensions["timeout"]["read"] = STALL_TIMEOUT_S
        return response

    def _refusal_error(self, response: httpcore.Response) -> NotOwnerError | RefusedError | None:
        peer = str(self.req.upstream)
        if response.status == 421:
            return NotOwnerError(
                f"the upstream refused term {self.permit.term} or unit {self.req.unit}",
                step=STEP,
                peer=peer,
            )
        if response.status not in (503, 504):
            return None
        if _headers.find(response.headers, _headers.OUTCOME_HEADER) != Outcome.NOT_RUN.value:
            return None
        if response.status == 504:
            return RefusedError(
                "the deadline passed at the upstream",
                outcome=Outcome.NOT_RUN,
                status=504,
                step=STEP,
                peer=peer,
            )
        return RefusedError(
            "the upstream sheds load",
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after=_parse_seconds(_headers.find(response.headers, "retry-after")) or 1.0,
            step=STEP,
            peer=peer,
        )

    async def _read_refusal_body(self, response: httpcore.Response) -> None:
        size = 0
        try:
            with trio.move_on_after(REFUSAL_BODY_TIMEOUT_S):
                async for chunk in response.aiter_stream():
                    size += len(chunk)
                    if size > MAX_REFUSAL_BODY_BYTES:
                        break
            await response.aclose()
        except CONNECTION_ERRORS:
            return
        self.reusable = self.conn.http.is_idle()

    def _upstream_error(self, reason: str) -> UpstreamError:
        return UpstreamError(
            reason, outcome=Outcome.UNKNOWN, step=STEP, peer=str(self.req.upstream)
        )


def _describe(exc: BaseException) -> str:
    return str(exc) or type(exc).__name__


def _parse_seconds(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
