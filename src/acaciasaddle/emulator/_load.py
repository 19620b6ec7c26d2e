"""Open-loop load: requests are sent at planned times without waiting for earlier responses."""

from __future__ import annotations

import random
import secrets
from functools import partial
from typing import TYPE_CHECKING

import trio

from acaciasaddle.emulator._http_caller import Attempt
from acaciasaddle.emulator._http_caller import HostConnections
from acaciasaddle.emulator._http_caller import OutgoingRequest
from acaciasaddle.emulator._load_results import LoadResults
from acaciasaddle.emulator._records import CallerOutcome
from acaciasaddle.emulator._records import CallerRecord
from acaciasaddle.emulator._uuid7 import uuid7
from acaciasaddle.emulator._workload import KeyPicker

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciasaddle.emulator._workload import LoadKind
    from acaciasaddle.emulator._workload import Workload

REPEATABLE_OUTCOMES = (CallerOutcome.NO_ANSWER, CallerOutcome.NOT_RUN, CallerOutcome.CUT)
STATUS_CONFLICT = 409
"""Status of a repeat if the first run is still in progress or its response body was not kept."""


class LoadRunner:
    """Runs one workload against entry hosts.

    Latency is measured from the planned time of a request to the end of its last attempt, so that
    neither a slow response nor a busy load tool hides a delay of later requests.
    """

    def __init__(self, *, workload: Workload, addresses: Sequence[str]) -> None:
        self.results = LoadResults(workload=workload)
        self.records: list[CallerRecord] = []
        self._workload = workload
        self._hosts = [HostConnections(address=address) for address in addresses]
        self._run_id = secrets.token_hex(4)
        self._sent = 0
        self._in_flight = 0
        self._planning_scope = trio.CancelScope()

    def stop(self) -> None:
        """Start no further requests; those in flight are still awaited and may be repeated."""
        self._planning_scope.cancel()

    def remove(self, address: str) -> None:
        """Send no further requests to an entry host, like a balancer that detected its failure."""
        self._hosts = [host for host in self._hosts if host.address != address]

    async def run(self) -> None:
        """Run until all requests have ended, but at most ``drain_s`` after the last planned one."""
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            with self._planning_scope:
                async with trio.open_nursery() as planners:
                    for kind in self._workload.kinds:
                        planners.start_soon(self._plan, nursery, kind, start)
            nursery.cancel_scope.deadline = trio.current_time() + self._workload.drain_s
        for host in self._hosts:
            await host.aclose()

    async def _plan(self, nursery: trio.Nursery, kind: LoadKind, start: float) -> None:
        rng = random.Random(f"{self._workload.seed}/{kind.name}")
        picker = KeyPicker(keys=kind.keys or self._workload.keys, rng=rng)
        end_s = min(kind.end_s, self._workload.duration_s)
        planned_at_s = kind.start_s
        while True:
            planned_at_s += rng.expovariate(kind.rate)
            if planned_at_s >= end_s:
                return
            key = picker.pick(planned_at_s)
            caller = f"caller-{rng.randrange(self._workload.callers)}"
            await trio.sleep_until(start + planned_at_s)
            if self._in_flight >= self._workload.max_in_flight:
                self.results.add(
                    kind, planned_at_s=planned_at_s, latency_s=0.0, outcome=CallerOutcome.NOT_SENT
                )
                continue
            send = partial(
                self._send, kind, key=key, caller=caller, start=start, planned_at_s=planned_at_s
            )
            nursery.start_soon(send)

    async def _send(
        self, kind: LoadKind, *, key: str, caller: str, start: float, planned_at_s: float
    ) -> None:
        self._in_flight += 1
        self._sent += 1
        number = self._sent
        idempotency_key = str(uuid7()) if kind.once else ""
        req = self._request(
            kind, number=number, key=key, caller=caller, idempotency_key=idempotency_key
        )
        attempts: list[Attempt] = []
        try:
            for attempt in range(self._max_attempts(kind)):
                # The result if the attempt times out or is cancelled: the request may still run.
                attempts.append(Attempt(outcome=CallerOutcome.NO_ANSWER))
                host = self._hosts[(number + attempt) % len(self._hosts)]
                with trio.move_on_after(kind.timeout_s):
                    attempts[-1] = await host.attempt(req)
                if not _is_repeatable(attempts[-1]):
                    break
                if attempt + 1 < self._max_attempts(kind):
                    await trio.sleep(attempts[-1].retry_after_s or self._workload.repeat_delay_s)
        finally:
            self._in_flight -= 1
            latency_s = trio.current_time() - start - planned_at_s
            self.results.add(
                kind, planned_at_s=planned_at_s, latency_s=latency_s, outcome=attempts[-1].outcome
            )
            if idempotency_key:
                self._record_outcome(kind, idempotency_key, attempts)

    def _record_outcome(
        self, kind: LoadKind, idempotency_key: str, attempts: list[Attempt]
    ) -> None:
        self.records.append(
            CallerRecord(
                idempotency_key=idempotency_key,
                kind=kind.name,
                outcome=attempts[-1].outcome,
                status=attempts[-1].status,
                earlier=tuple(attempt.outcome for attempt in attempts[:-1]),
            )
        )

    def _max_attempts(self, kind: LoadKind) -> int:
        return 1 + self._workload.repeats if kind.once else 1

    def _request(
        self, kind: LoadKind, *, number: int, key: str, caller: str, idempotency_key: str
    ) -> OutgoingRequest:
        tag = f"{self._run_id}-{number}"
        target = f"{kind.path.replace('{key}', key)}?tag={tag}"
        if kind.work_ms is not None:
            target += f"&work_ms={kind.work_ms:g}"
        if kind.reply_bytes:
            target += f"&reply_bytes={kind.reply_bytes}"
        headers = [(self._workload.caller_header.encode(), caller.encode())]
        if idempotency_key:
            headers.append((b"Idempotency-Key", idempotency_key.encode()))
        return OutgoingRequest(
            method=kind.method,
            target=target,
            tag=tag,
            headers=tuple(headers),
            body_bytes=kind.body_bytes,
        )


def _is_repeatable(attempt: Attempt) -> bool:
    return attempt.outcome in REPEATABLE_OUTCOMES or attempt.status == STATUS_CONFLICT
