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
