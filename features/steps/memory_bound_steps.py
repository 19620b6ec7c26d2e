"""Steps of memory/bound.feature, on a mock clock."""

from __future__ import annotations

import math
from typing import Any

import trio
from behave import given
from behave import then
from behave import when
from trio.testing import MockClock

from acaciasaddle.errors import RefusedError
from acaciasaddle.memory import BodyTerms
from acaciasaddle.memory import Hold
from acaciasaddle.memory import MemoryBound

MB = 1_000_000
SMALL_BYTES = 64_000


def _run(main: Any) -> Any:
    return trio.run(main, clock=MockClock(autojump_threshold=0))


class UploadSteps:
    """Guards against uploads that are admitted beyond the bound, too late or in another order."""

    @staticmethod
    @given("the memory of bodies on a host with {size:d} MB")
    def bound(context: Any, size: int) -> None:
        context.bound = MemoryBound(host_bytes=size * MB)

    @staticmethod
    @when("these uploads arrive")
    def arrive(context: Any) -> None:
        UploadSteps._send_all(context)

    @staticmethod
    @when("these uploads arrive, and that of {name} is cancelled at {at:g} s")
    def arrive_and_cancel(context: Any, name: str, at: float) -> None:
        UploadSteps._send_all(context, cancelled=name, cancel_at=at)

    @staticmethod
    @when("these uploads arrive, and the host stops at {at:g} s")
    def arrive_and_stop(context: Any, at: float) -> None:
        UploadSteps._send_all(context, stop_at=at)

    @staticmethod
    def _send_all(
        context: Any, *, cancelled: str = "", cancel_at: float = math.inf, stop_at: float = math.inf
    ) -> None:
        context.ends = []

        async def send(row: Any, started: float) -> None:
            await trio.sleep_until(started + float(row["at"]))
            now = trio.current_time()
            terms = BodyTerms(
                request_id=row["name"], rank=int(row["rank"]), ends_at=now + float(row["time left"])
            )
            try:
                hold = await context.bound.hold_upload(int(row["MB"]) * MB, terms)
            except RefusedError as exc:
                assert exc.status == 503 and exc.retry_after, exc
                hold = None
            kind = "refused" if hold is None else "held"
            at = round(trio.current_time() - started, 3)
            context.ends.append(f"{row['name']} {kind} at {at:g}")
            if hold is not None:
                await trio.sleep(float(row["held for"]))
                hold.release()

        async def main() -> None:
            started = trio.current_time()
            async with trio.open_nursery() as nursery:
                for row in context.table:
                    if row["name"] != cancelled:
                        nursery.start_soon(send, row, started)
                        continue
                    nursery.start_soon(cancel_later, row, started)
                if stop_at < math.inf:
                    await trio.sleep_until(started + stop_at)
                    context.bound.refuse_waiting()

        async def cancel_later(row: Any, started: float) -> None:
            with trio.move_on_at(started + cancel_at):
                await send(row, started)

        _run(main)

    @staticmethod
    @then('the uploads end as "{ends}"')
    def ended(context: Any, ends: str) -> None:
        assert sorted(context.ends) == sorted(ends.split(", ")), context.ends

    @staticmethod
    @then("no memory is held")
    def none_held(context: Any) -> None:
        assert context.bound.used == 0, context.bound.used
        assert context.bound.waiting == 0, context.bound.waiting


class ShareSteps:
    """Guards against small bodies that large ones hold up, and against too many of them."""

    @staticmethod
    @when("uploads hold {uploads:g} MB and responses {responses:g} MB")
    def held(context: Any, uploads: float, responses: float) -> None:
        context.large = (("upload", int(uploads * MB)), ("response", int(responses * MB)))

    @staticmethod
    def _count_small(context: Any, wanted: int) -> int:
        """Return how many small bodies of the wanted number are held beside the large ones."""

        async def main() -> int:
            bound = context.bound
            large = [Hold(bound=bound, kind=kind, size=size) for kind, size in context.large]
            small: list[Hold] = []
            try:
                while len(small) < wanted:
                    small.append(bound.hold_small(SMALL_BYTES))
            except RefusedError:
                pass
            for hold in large:
                hold.release()
            return len(small)

        return int(_run(main))

    @staticmethod
    @then("{count:d} bodies of 64 KB are held without waiting")
    def small_held(context: Any, count: int) -> None:
        found = ShareSteps._count_small(context, count)
        assert found == count, found

    @staticmethod
    @then("no more than {count:d} bodies of 64 KB are held")
    def small_limited(context: Any, count: int) -> None:
        found = ShareSteps._count_small(context, 10 * count)
        assert found <= count, found

    @staticmethod
    @when("an upload of {size:d} MB is dropped without being released")
    def dropped(context: Any, size: int) -> None:
        async def main() -> None:
            terms = BodyTerms(request_id="", rank=0, ends_at=trio.current_time() + 1)
            await context.bound.hold_upload(size * MB, terms)

        _run(main)

    @staticmethod
    @then("an upload of {size:d} MB is held without waiting")
    def held_at_once(context: Any, size: int) -> None:
        assert context.bound.fits("upload", size * MB), context.bound.used


class ResponseSteps:
    """Guards against responses that wait for each other's memory."""

    @staticmethod
    @when(
        "{count:d} responses of {size:d} MB grow by 1 MB at a time and are held for {seconds:g} s "
        "at their end"
    )
    def grow(context: Any, count: int, size: int, seconds: float) -> None:
        context.ended, context.most = 0, 0

        async def receive() -> None:
            hold: Hold | None = None
            for megabytes in range(1, size + 1):
                hold = await context.bound.grow_response(hold, megabytes * MB, is_next=lambda: True)
                context.most = max(context.most, context.bound.used)
                await trio.sleep(0.001)
            await trio.sleep(seconds)
            assert hold is not None
            hold.release()
            context.ended += 1

        async def main() -> float:
            started = trio.current_time()
            with trio.move_on_after(60):
                async with trio.open_nursery() as nursery:
                    for _ in range(count):
                        nursery.start_soon(receive)
            return trio.current_time() - started

        context.response_count, context.response_s = count, _run(main)

    @staticmethod
    @then("all of them have ended within {seconds:g} s")
    def all_ended(context: Any, seconds: float) -> None:
        assert context.ended == context.response_count, context.ended
        assert context.response_s < seconds, context.response_s

    @staticmethod
    @then("at most {size:d} MB were held at once")
    def most(context: Any, size: int) -> None:
        assert context.most <= size * MB, context.most
