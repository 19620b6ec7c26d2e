"""Steps of fuzz/responses.feature: arbitrary input from hypothesis, the same at every run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import h11
import trio
import trio.testing
from behave import then
from behave import when
from features.support.raw_upstream import Ending
from features.support.raw_upstream import RawAnswer
from features.support.raw_upstream import RawUpstream
from hypothesis import HealthCheck
from hypothesis import given as arbitrary
from hypothesis import settings
from hypothesis import strategies as st

from acaciasaddle.callers import CallerConnection
from acaciasaddle.errors import UpstreamError
from acaciasaddle.forward import CallerResponse
from acaciasaddle.forward._headers import end_to_end_headers
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.routing import CallerLimits

if TYPE_CHECKING:
    from acaciasaddle.forward import CallerRequest
    from acaciasaddle.http1 import Response

REPEATABLE = settings(
    derandomize=True, database=None, deadline=None, suppress_health_check=list(HealthCheck)
)
BROKEN_OFF = settings(REPEATABLE, max_examples=120)
HEADS = settings(REPEATABLE, max_examples=500)
UPLOAD = bytes(6_000_000)
SILENCE_S = 0.05
"""Time after which an exchange is given up if the upstream sends nothing more."""
EXCHANGE_TIMEOUT_S = 5.0
LIMITS = CallerLimits(header_timeout_s=1.0, idle_timeout_s=5.0)

STATUS = st.sampled_from(
    [b"200", b"204", b"304", b"205", b"404", b"599", b"101", b"099", b"000", b"600", b"999"]
) | st.integers(200, 700).map(lambda status: b"%03d" % status)
REASONS = st.sampled_from([b"", b" ", b" OK", b" a\tb", b" \xe4\xff", b" a\x01\x7f", b" a\x00"])
NAMES = st.sampled_from(
    [
        *(b"Content-Length", b"Transfer-Encoding", b"Connection", b"Keep-Alive", b"Upgrade"),
        *(b"Trailer", b"Date", b"Request-Id", b"X-A", b"a b", b"\xe4", b"x(", b"", b" X"),
    ]
)
VALUES = st.sampled_from(
    [
        *(b"4", b"0", b"4, 4", b"4, 5", b"+4", b"chunked", b"gzip, chunked", b"close", b"upgrade"),
        *(
            b"keep-alive, x-a",
            b"content-length",
            b"a\x01b",
            b"a\x7f",
            b"\xff",
            b"a\x0bb",
            b"a\x00b",
        ),
        *(b"a\r\n b", b"a\r\n\t", b"a\nX-B: c", b"a\rb", b"", b"\xa0"),
    ]
)
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=2).map(
    lambda headers: b"".join(name + b": " + value + b"\r\n" for name, value in headers)
)
BODIES = st.sampled_from([b"", b"done", b"donedone", b"4\r\ndone\r\n0\r\n\r\n", b"0\r\n\r\n"])


@dataclass(frozen=True, slots=True, kw_only=True)
class MeantResponse:
    """A valid response as an upstream sends it: its head, the rest, and the body that it means."""

    head: bytes
    rest: bytes
    body: bytes
    framed: bool


@st.composite
def meant_responses(draw: st.DrawFn) -> MeantResponse:
    """Draw a valid response with a length, in chunks or ended by its connection."""
    body = draw(st.binary(min_size=1, max_size=40)) * draw(st.sampled_from([1, 1, 5000]))
    interim = draw(st.sampled_from([b"", b"", b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"]))
    framing = draw(st.sampled_from(["length", "chunks", "end", "end"]))
    head = interim + b"HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\n"
    rest = body
    if framing == "length":
        head += b"Content-Length: %d\r\n" % len(body)
    elif framing == "chunks":
        size = draw(st.integers(1, len(body)))
        parts = [body[start : start + size] for start in range(0, len(body), size)][:50]
        body = b"".join(parts)
        head += b"Transfer-Encoding: chunked\r\n"
        rest = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
    return MeantResponse(head=head + b"\r\n", rest=rest, body=body, framed=framing != "end")


def exchange(answer: RawAnswer, upload: bytes) -> Response | None:
    """Send an upload and return the response, or ``None`` if there is no complete one."""

    async def main() -> Response | None:
        upstream = RawUpstream(answers=[answer])
        response: Response | None = None
        silent = answer.ending is Ending.SILENCE
        async with trio.open_nursery() as nursery:
            await nursery.start(upstream.run)
            conn = await ClientConnection.connect(address=upstream.address, timeout_s=1.0)
            headers = [(b"Host", b"x"), (b"Content-Length", str(len(upload)).encode())]
            try:
                with trio.move_on_after(SILENCE_S if silent else EXCHANGE_TIMEOUT_S):
                    response = await conn.exchange(
                        method="POST", target="/", headers=headers, body=upload
                    )
            except UpstreamError:
                pass
            conn.abort()
            nursery.cancel_scope.cancel()
        return response

    return trio.run(main)


@arbitrary(
    meant_responses(),
    st.sampled_from(Ending),
    st.sampled_from([b"small", UPLOAD, UPLOAD]),
    st.floats(0, 0.01),
    st.data(),
)
def check_broken_off(
    meant: MeantResponse, ending: Ending, upload: bytes, pause_s: float, data: st.DataObject
) -> None:
    """Check that a response which breaks off is not complete, and that a whole one is."""
    wire = meant.head + meant.rest
    cut = data.draw(st.just(len(wire)) | st.integers(0, len(wire)) | st.just(len(wire) - 1))
    response = exchange(RawAnswer(data=wire[:cut], pause_s=pause_s, ending=ending), upload)
    whole = cut == len(wire)
    if not meant.framed:
        # A plain end of the stream ends the body, so the upstream means what it has sent.
        sent_body = wire[len(meant.head) : cut]
        plain = ending is Ending.END_AND_READ or (ending is Ending.END and upload is not UPLOAD)
        if response is not None:
            assert plain, ending
            assert cut >= len(meant.head), cut
            assert response.body == sent_body, (len(response.body), len(sent_body))
    elif response is not None:
        assert whole, f"complete, although cut at {cut} of {len(wire)}"
        assert response.body == meant.body, (len(response.body), len(meant.body))
    if whole and ending is Ending.END_AND_READ:
        assert response is not None, "a whole response in good order is not complete"


@arbitrary(
    st.sampled_from([b"1.1", b"1.1", b"1.1", b"1.0", b"2.0", b"0.9"]),
    STATUS,
    REASONS,
    HEADERS,
    BODIES,
    st.sampled_from(["GET", "HEAD", "POST", "CONNECT"]),
    st.sampled_from([b"1.1", b"1.0"]),
)
def check_head(
    version: bytes,
    status: bytes,
    reason: bytes,
    headers: bytes,
    body: bytes,
    method: str,
    caller_version: bytes,
) -> None:
    """Check that a response with this head is refused, or valid and passed on unchanged."""
    wire = b"HTTP/" + version + b" " + status + reason + b"\r\n" + headers + b"\r\n" + body

    async def main() -> None:
        near, far = trio.testing.memory_stream_pair()
        conn = ClientConnection(stream=near, peer="p")
        await far.send_all(wire)
        await far.send_eof()
        try:
            response = await conn.exchange(method=method, target="/", headers=[(b"Host", b"a")])
        except UpstreamError:
            return
        assert version.startswith(b"1."), version
        assert 200 <= response.status <= 599, response.status
        fields = response.fields
        assert not ("content-length" in fields and "transfer-encoding" in fields), fields
        got = await pass_on(response, method.encode() + b" / HTTP/" + caller_version)
        assert got == (response.status, response.body), got

    trio.run(main)


async def pass_on(response: Response, request_line: bytes) -> tuple[int, bytes]:
    """Send a response to a caller and return the status and the body that the caller reads."""

    async def handle(_: CallerRequest) -> CallerResponse:
        return CallerResponse(
            status=response.status,
            headers=end_to_end_headers(response.headers),
            body=response.body,
            reason=response.reason,
        )

    near, far = trio.testing.memory_stream_pair()
    await far.send_all(request_line + b"\r\nHost: a\r\n\r\n")
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=request_line.split()[0], target="/", headers=[("Host", "a")]))
    parser.send(h11.EndOfMessage())
    status, body = 0, b""
    async with trio.open_nursery() as nursery:
        conn = CallerConnection(stream=near, limits=lambda: LIMITS, handle=handle)
        nursery.start_soon(conn.run)
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                assert event is not h11.PAUSED, "the response ends the use of HTTP"
                assert not isinstance(event, h11.ConnectionClosed), "no response"
                if event is h11.NEED_DATA:
                    parser.receive_data(await far.receive_some(65_536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
        # The connection lingers until its caller has closed it.
        await far.aclose()
    return status, body


class ResponseSteps:
    """Guards against parts of responses that look complete, and heads that callers cannot get."""

    @staticmethod
    @when("uploads are answered with arbitrary responses that break off at arbitrary points")
    def broken_off(context: Any) -> None:
        context.check = BROKEN_OFF(check_broken_off)

    @staticmethod
    @when("upstreams answer with arbitrary heads")
    def heads(context: Any) -> None:
        context.check = HEADS(check_head)

    @staticmethod
    @then("each complete response has the body that the upstream meant")
    @then("each complete response is valid and reaches the caller with its status and body")
    def holds(context: Any) -> None:
        context.check()
