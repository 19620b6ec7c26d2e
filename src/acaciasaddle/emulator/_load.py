"""Open-loop load: requests are sent at planned times, whether or not earlier ones were answered."""

from __future__ import annotations

import random
import secrets
from functools import partial
from typing import TYPE_CHECKING

import trio

from acaciasaddle.emulator._http_caller import Attempt
from acaciasaddle.emulator._http_caller import OutgoingRequest
from acaciasaddle.emulator._http_caller import Target
from acaciasaddle.emulator._load_results import LoadResults
from acaciasaddle.emulator._records import CallerRecord
from acaciasaddle.emulator._records import SeenOutcome
from acaciasaddle.emulator._uuid7 import uuid7
from acaciasaddle.emulator._workload import KeyPicker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciasaddle.emulator._workload import LoadKind
    from acaciasaddle.emulator._workload import Workload

REPEATABLE = (SeenOutcome.NO_ANSWER, SeenOutcome.NOT_RUN, SeenOutcome.CUT)
STATUS_IN_PROGRESS = 409


class LoadRunner:
    """Runs one workload against entry hosts.

    Latency counts from the planned time of a request, so a slow answer or a busy load tool does
    not hide the wait of the requests behind it.
    """

    def __init__(self, *, workload: Workload, addresses: Sequence[str]) -> None:
        self.results = LoadResults(workload=workload)
        self.records: list[CallerRecord] = []
        self._workload = workload
        self._targets = [Target(address=address) for address in addresses]
        self._run_id = secrets.token_hex(4)
        self._sent = 0
        self._in_flight = 0
        self._planning = trio.CancelScope()

    def stop(self) -> None:
        """Plan no more requests; those in flight are still waited for."""
        self._planning.cancel()

    def remove(self, address: str) -> None:
        """Send no more requests to an entry host, as a balancer that noticed its loss."""
        self._targets = [target for target in self._targets if target.address != address]

    async def run(self) -> None:
        """Run until all requests have been answered or have failed."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            with self._planning:
                async with trio.open_nursery() as planners:
                    for kind in self._workload.kinds:
                        planners.start_soon(self._plan, nursery, kind, start)
            nursery.cancel_scope.deadline = trio.current_time() + self._workload.drain_s
        for target in self._targets:
            await target.aclose()

    async def _plan(self, nursery: trio.Nursery, kind: LoadKind, start: float) -> None:
        rng = random.Random(f"{self._workload.seed}/{kind.name}")
        picker = KeyPicker(keys=kind.keys or self._workload.keys, rng=rng)
        end_s = min(kind.end_s, self._workload.duration_s)
        at_s = kind.start_s
        while True:
            at_s += rng.expovariate(kind.rate)
            if at_s >= end_s:
                return
            key = picker.pick(at_s)
            caller = f"caller-{rng.randrange(self._workload.callers)}"
            await trio.sleep_until(start + at_s)
            if self._in_flight >= self._workload.max_in_flight:
                self.results.add(kind, at_s=at_s, latency_s=0.0, outcome=SeenOutcome.NOT_SENT)
                continue
            call = partial(self._call, kind, key=key, caller=caller, start=start, at_s=at_s)
            nursery.start_soon(call)

    async def _call(
        self, kind: LoadKind, *, key: str, caller: str, start: float, at_s: float
    ) -> None:
        self._in_flight += 1
        self._sent += 1
        number = self._sent
        once_key = str(uuid7()) if kind.once else ""
        req = self._request(kind, number=number, key=key, caller=caller, once_key=once_key)
        seen: list[Attempt] = []
        try:
            for attempt in range(self._attempts(kind)):
                # Stays if the run ends during the attempt: the request may run nevertheless.
                seen.append(Attempt(outcome=SeenOutcome.NO_ANSWER))
                target = self._targets[(number + attempt) % len(self._targets)]
                with trio.move_on_after(kind.timeout_s):
                    seen[-1] = await target.attempt(req)
                if not _is_repeatable(seen[-1]):
                    break
                if attempt + 1 < self._attempts(kind):
                    await trio.sleep(seen[-1].retry_after_s or self._workload.repeat_delay_s)
        finally:
            self._in_flight -= 1
            latency_s = trio.current_time() - start - at_s
            self.results.add(kind, at_s=at_s, latency_s=latency_s, outcome=seen[-1].outcome)
            if once_key:
                self._keep(kind, once_key, seen)

    def _keep(self, kind: LoadKind, once_key: str, seen: list[Attempt]) -> None:
        self.records.append(
            CallerRecord(
                idempotency_key=once_key,
                kind=kind.name,
                outcome=seen[-1].outcome,
                status=seen[-1].status,
                earlier=tuple(attempt.outcome for attempt in seen[:-1]),
            )
        )

    def _attempts(self, kind: LoadKind) -> int:
        return 1 + self._workload.repeats if kind.once else 1

    def _request(
        self, kind: LoadKind, *, number: int, key: str, caller: str, once_key: str
    ) -> OutgoingRequest:
        tag = f"{self._run_id}-{number}"
        target = f"{kind.path.replace('{key}', key)}?tag={tag}"
        if kind.work_ms is not None:
            target += f"&work_ms={kind.work_ms:g}"
        if kind.reply_bytes:
            target += f"&reply_bytes={kind.reply_bytes}"
        headers = [(self._workload.caller_header.encode(), caller.encode())]
        if once_key:
            headers.append((b"Idempotency-Key", once_key.encode()))
        return OutgoingRequest(
            method=kind.method,
            target=target,
            tag=tag,
            headers=tuple(headers),
            body_bytes=kind.body_bytes,
        )


def _is_repeatable(seen: Attempt) -> bool:
    return seen.outcome in REPEATABLE or seen.status == STATUS_IN_PROGRESS
