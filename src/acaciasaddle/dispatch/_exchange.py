"""One attempt to have an upstream run a request."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore
import trio

from acaciasaddle.dispatch import _headers
from acaciasaddle.dispatch._connections import Connection
from acaciasaddle.dispatch._streams import STALL_LIMIT_S
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import RefusedError
from acaciasaddle.errors import RequestError
from acaciasaddle.errors import UpstreamError
from acaciasaddle.model import WorkRequest
from acaciasaddle.ownership import Permit

if TYPE_CHECKING:
    from acaciasaddle.dispatch._streams import Answer
    from acaciasaddle.dispatch._streams import Upload

REFUSAL_BODY_LIMIT = 65_536
"""Bytes of a refusal's body that are read to keep the connection usable."""

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
    """Sends one request over one connection and passes on its answer.

    ``sent`` is true once a byte may have reached the upstream, ``settled`` once the upstream
    is done with the request, and ``reusable`` if the connection may carry another request.
    """

    conn: Connection
    permit: Permit
    req: WorkRequest
    request_id: str
    sent: bool = False
    settled: bool = False
    reusable: bool = False

    async def run(
        self,
        upload: Upload,
        answer: Answer,
        *,
        remaining: float,
        deadline_ms: float,
        patience: float,
    ) -> None:
        """Run the exchange.

        ``remaining`` is the time to the deadline, and ``deadline_ms`` the deadline on the
        upstream's clock. The answer must begin within ``patience`` seconds after the end of
        the upload.

        Raises ``NotOwnerError`` and ``RefusedError`` if the upstream refused the request,
        ``UpstreamError`` if the connection failed.
        """
        request = self._request(upload, remaining=remaining, deadline_ms=deadline_ms)
        self.sent = True
        response = await self._head(request, upload, patience)
        refusal = self._refusal(response)
        if refusal is not None:
            self.settled = True
            await self._finish_refusal(response)
            raise refusal
        await answer.head(response.status, _headers.answer_headers(response.headers))
        try:
            async for chunk in response.aiter_stream():
                if chunk:
                    await answer.data(chunk)
        except CONNECTION_ERRORS as exc:
            raise self._failure(f"the answer was cut short: {_reason(exc)}") from exc
        self.settled = True
        await response.aclose()
        self.reusable = self.conn.http.is_idle()
        await answer.end()

    def _request(self, upload: Upload, *, remaining: float, deadline_ms: float) -> httpcore.Request:
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
                extensions={"timeout": {"write": STALL_LIMIT_S}},
            )
        except UnicodeEncodeError as exc:
            raise RequestError(
                f"the request line or a header has a character that HTTP does not allow: {exc}",
                status=400,
                step=STEP,
            ) from exc

    async def _head(
        self, request: httpcore.Request, upload: Upload, patience: float
    ) -> httpcore.Response:
        response: httpcore.Response | None = None
        with trio.CancelScope() as scope:
            upload.then(lambda: setattr(scope, "deadline", trio.current_time() + patience))
            try:
                response = await self.conn.http.handle_async_request(request)
            except CONNECTION_ERRORS as exc:
                raise self._failure(f"no answer: {_reason(exc)}") from exc
            except httpcore.LocalProtocolError as exc:
                self.sent = upload.consumed
                raise RequestError(
                    f"the request is not valid HTTP: {exc}", status=400, step=STEP
                ) from exc
        if response is None:
            raise self._failure(f"no answer within {patience * 1000:.0f} ms")
        # Read at each chunk by httpcore: from here on a stalled answer is cut.
        request.extensions["timeout"]["read"] = STALL_LIMIT_S
        return response

    def _refusal(self, response: httpcore.Response) -> NotOwnerError | RefusedError | None:
        peer = str(self.req.upstream)
        if response.status == 421:
            return NotOwnerError(
                f"the upstream refused term {self.permit.term} or unit {self.req.unit}",
                step=STEP,
                peer=peer,
            )
        if response.status not in (503, 504):
            return None
        if _headers.find(response.headers, _headers.OUTCOME) != Outcome.NOT_RUN.value:
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
            retry_after=_seconds(_headers.find(response.headers, "retry-after")) or 1.0,
            step=STEP,
            peer=peer,
        )

    async def _finish_refusal(self, response: httpcore.Response) -> None:
        size = 0
        try:
            with trio.move_on_after(REFUSAL_BODY_TIMEOUT_S):
                async for chunk in response.aiter_stream():
                    size += len(chunk)
                    if size > REFUSAL_BODY_LIMIT:
                        break
            await response.aclose()
        except CONNECTION_ERRORS:
            return
        self.reusable = self.conn.http.is_idle()

    def _failure(self, reason: str) -> UpstreamError:
        return UpstreamError(
            reason, outcome=Outcome.UNKNOWN, step=STEP, peer=str(self.req.upstream)
        )


def _reason(exc: BaseException) -> str:
    return str(exc) or type(exc).__name__


def _seconds(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
