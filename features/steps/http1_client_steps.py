"""Steps of http1/client.feature: real connections on loopback."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from features.support.raw_upstream import Ending
from features.support.raw_upstream import RawAnswer
from features.support.raw_upstream import RawUpstream

from acaciasaddle.errors import Outcome
from acaciasaddle.errors import UpstreamError
from acaciasaddle.http1 import ClientConnection
from acaciasaddle.http1 import Response

HEAD = b"HTTP/1.1 200 OK\r\nResponse-Signature: s.1\r\n"
BODY = b"done"
ANSWERS = {
    "a part of a response without length": HEAD + b"\r\n" + BODY,
    "a response without length": HEAD + b"\r\n" + BODY,
    "a response with a length": HEAD + b"Content-Length: 4\r\n\r\n" + BODY,
}
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"4\r\ndone\r\n0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n"
NOT_MODIFIED = b"HTTP/1.1 304 Not Modified\r\n"
RESPONSES = {
    "a length and chunks": OK + LENGTH + CHUNKED + b"\r\n" + CHUNKS,
    "chunks and a length": OK + CHUNKED + LENGTH + b"\r\n" + CHUNKS,
    "two different lengths": OK + LENGTH + b"Content-Length: 5\r\n\r\ndone!",
    "a list of different lengths": OK + b"Content-Length: 4, 5\r\n\r\ndone!",
    "a negative length": OK + b"Content-Length: -4\r\n\r\ndone",
    "an encoding other than chunks": OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKS,
    "chunks named twice": OK + CHUNKED + CHUNKED + b"\r\n" + CHUNKS,
    "chunks of version HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + CHUNKED + b"\r\n" + CHUNKS,
    "a 204 with a length": NO_CONTENT + LENGTH + b"\r\ndone",
    "a 204 with chunks": NO_CONTENT + CHUNKED + b"\r\n" + CHUNKS,
    "chunks without the last one": OK + CHUNKED + b"\r\n4\r\ndone\r\n",
    "less than its length": OK + LENGTH + b"\r\ndon",
    "chunks": OK + CHUNKED + b"\r\n" + CHUNKS,
    "two equal lengths": OK + LENGTH + LENGTH + b"\r\ndone",
    "a 204 without length": NO_CONTENT + b"\r\n",
    "a 204 with length 0": NO_CONTENT + b"Content-Length: 0\r\n\r\n",
    "a 204 with a body": NO_CONTENT + b"\r\ndone",
    "a 304 with a length": NOT_MODIFIED + LENGTH + b"\r\n",
    "a 304 with a length and its body": NOT_MODIFIED + LENGTH + b"\r\ndone",
    "a length without its body": OK + LENGTH + b"\r\n",
    "no length": OK + b"\r\ndone",
}
MAX_PAUSE_S = 0.03
"""The pauses before the endings are spread over this time, in which the upload is written."""
EXCHANGE_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The response of an exchange or the error that it raised."""

    response: Response | None
    error: UpstreamError | None
    reusable: bool


async def exchange(address: str, *, method: str, body: bytes) -> Result:
    """Send one request on a new connection."""
    conn = await ClientConnection.connect(address=address, timeout_s=1.0)
    headers = [(b"Host", b"x"), (b"Content-Length", str(len(body)).encode())]
    response: Response | None = None
    error: UpstreamError | None = None
    try:
        with trio.fail_after(EXCHANGE_TIMEOUT_S):
            response = await conn.exchange(method=method, target="/", headers=headers, body=body)
    except UpstreamError as exc:
        error = exc
    reusable = conn.reusable
    conn.abort()
    return Result(response=response, error=error, reusable=reusable)


def run_exchanges(answers: list[RawAnswer], *, method: str, body: bytes) -> list[Result]:
    """Send one request for each answer, each on a new connection, one after the other."""

    async def main() -> list[Result]:
        upstream = RawUpstream(answers=answers)
        async with trio.open_nursery() as nursery:
            await nursery.start(upstream.run)
            results = [await exchange(upstream.address, method=method, body=body) for _ in answers]
            nursery.cancel_scope.cancel()
        return results

    return trio.run(main)


class UploadSteps:
    """Guards against an end of the stream that hides a reset, and against reuse after a cut."""

    @staticmethod
    @given("an upstream that answers an upload with {answer}")
    def upstream(context: Any, answer: str) -> None:
        context.answer = ANSWERS[answer]

    @staticmethod
    @given("then {ending}")
    def ending(context: Any, ending: str) -> None:
        context.ending = Ending(ending)

    @staticmethod
    @when("{count:d} uploads of {megabytes:d} MB are sent")
    def uploads(context: Any, count: int, megabytes: int) -> None:
        answers = [
            RawAnswer(
                data=context.answer, pause_s=MAX_PAUSE_S * number / count, ending=context.ending
            )
            for number in range(count)
        ]
        body = bytes(megabytes * 1_000_000)
        context.results = run_exchanges(answers, method="POST", body=body)

    @staticmethod
    @then("no response is complete")
    def none_complete(context: Any) -> None:
        complete = sum(result.response is not None for result in context.results)
        assert not complete, f"{complete} of {len(context.results)} were complete"
        outcomes = {result.error.outcome for result in context.results}
        assert outcomes == {Outcome.UNKNOWN}, outcomes

    @staticmethod
    @then("all responses are complete")
    def all_complete(context: Any) -> None:
        errors = [result.error for result in context.results if result.error is not None]
        assert not errors, f"{len(errors)} of {len(context.results)} failed: {errors[0]}"
        assert {result.response.body for result in context.results} == {BODY}

    @staticmethod
    @then("no connection can be used again")
    def not_reusable(context: Any) -> None:
        reusable = sum(result.reusable for result in context.results)
        assert not reusable, f"{reusable} of {len(context.results)}"


class HeadSteps:
    """Guards against responses that are not valid HTTP, and against misread ends of valid ones."""

    @staticmethod
    @given("an upstream that sends a response with status {status}")
    def status(context: Any, status: str) -> None:
        context.answer = b"HTTP/1.1 " + status.encode() + b" Any\r\n" + LENGTH + b"\r\n" + BODY

    @staticmethod
    @given("an upstream that sends a response of version {version}")
    def version(context: Any, version: str) -> None:
        context.answer = version.encode() + b" 200 OK\r\n" + LENGTH + b"\r\n" + BODY

    @staticmethod
    @given("an upstream that sends {response}")
    def response(context: Any, response: str) -> None:
        context.answer = RESPONSES[response]

    @staticmethod
    @when("a request is sent")
    def request(context: Any) -> None:
        HeadSteps.request_with_method(context, "GET")

    @staticmethod
    @when("a {method} request is sent")
    def request_with_method(context: Any, method: str) -> None:
        # An end at once would hide a connection that is used again by mistake.
        answer = RawAnswer(data=context.answer, pause_s=0.05, ending=Ending.END_AND_READ)
        context.results = run_exchanges([answer], method=method, body=b"")

    @staticmethod
    @then('the response has {status:d} and the body "{body}"')
    def complete(context: Any, status: int, body: str) -> None:
        (result,) = context.results
        assert result.response is not None, result.error
        assert result.response.status == status, result.response.status
        assert result.response.body == body.encode(), result.response.body

    @staticmethod
    @then('the response has {status:d} and the body ""')
    def complete_without_body(context: Any, status: int) -> None:
        HeadSteps.complete(context, status, "")

    @staticmethod
    @then("the connection can be used again: {again}")
    def usable(context: Any, again: str) -> None:
        (result,) = context.results
        assert result.reusable is (again == "yes"), result.reusable
