"""Steps of entry/ingress.feature."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from acaciasaddle.clock import TrioClock
from acaciasaddle.config import Classifier
from acaciasaddle.config import Kind
from acaciasaddle.config import Rank
from acaciasaddle.config import Rules
from acaciasaddle.entry import Ingress
from acaciasaddle.errors import NotOwnerError
from acaciasaddle.errors import Outcome
from acaciasaddle.errors import PeerUnreachableError
from acaciasaddle.errors import RefusedError
from acaciasaddle.model import UnitId
from acaciasaddle.model import UpstreamId
from acaciasaddle.observe import NullMetrics
from acaciasaddle.ownership import Route

RULES = Rules(
    ranks=(Rank(name="r", target_ms=500, share=1.0),),
    kinds=(
        Kind(name="lookup", service="s", method="GET", path="/s/{key}", rank="r"),
        Kind(
            name="deposit",
            service="s",
            method="POST",
            path="/s/{key}",
            rank="r",
            once=True,
            idempotent=False,
        ),
        Kind(name="upload", service="s", method="PUT", path="/s/{key}", rank="r", idempotent=False),
    ),
)
METHODS = {"lookup": "GET", "deposit": "POST", "upload": "PUT"}
ROUTE = Route(
    unit=UnitId("s", "default", 0),
    owner=UpstreamId("s", "u"),
    holder="b@1",
    successor="",
    epoch=1,
    config_version=1,
)
ERRORS = {
    "not owner": NotOwnerError("elsewhere", step="permit"),
    "not owner for ever": NotOwnerError("elsewhere", step="permit"),
    "lost while running": NotOwnerError("lost", step="dispatch.lost"),
    "not sent": PeerUnreachableError("no connection", step="peer.work"),
    "sent": PeerUnreachableError("connection ended", sent=True, step="peer.work"),
    "refused": RefusedError("full", outcome=Outcome.NOT_RUN, status=503, step="dispatch.queue"),
}


class IngressSteps:
    """Guards against the outcome "not run" if an earlier attempt may have run the request."""

    @staticmethod
    @given('an ingress whose attempts at the holder end with "{attempts}"')
    def attempts(context: Any, attempts: str) -> None:
        context.attempts = attempts.split(", ")

    @staticmethod
    @when('the ingress serves a "{kind}"')
    def serve(context: Any, kind: str) -> None:
        trio.run(
            IngressSteps.main, context, kind, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    @staticmethod
    async def main(context: Any, kind: str) -> None:
        remaining = list(context.attempts)

        async def work(member: str, req: Any, body: Any, response: Any) -> None:
            await trio.lowlevel.checkpoint()
            attempt = remaining.pop(0) if len(remaining) > 1 else remaining[0]
            if attempt != "answered":
                raise ERRORS[attempt]
            await response.head(200, ())
            await response.end()

        cfg: Any = SimpleNamespace(
            rules=RULES,
            classifier=Classifier(RULES),
            inventory=SimpleNamespace(data_centres=(SimpleNamespace(name="dc"),)),
            upstreams={ROUTE.owner: SimpleNamespace(entry=SimpleNamespace(data_centre="dc"))},
        )
        settings: Any = SimpleNamespace(
            host_id="a", max_body_bytes=1000, body_stall_timeout_s=5.0, max_header_bytes=1000
        )
        mirror: Any = SimpleNamespace(
            configuration=cfg, complete=True, wait_changed=trio.sleep_forever
        )
        ingress = Ingress(
            member="a@1",
            settings=settings,
            mirror=mirror,
            router=SimpleNamespace(route=lambda **_: ROUTE),  # type: ignore[arg-type]
            dispatcher=None,  # type: ignore[arg-type]
            hub=SimpleNamespace(work=work),  # type: ignore[arg-type]
            clock=TrioClock(),
            metrics=NullMetrics(),
        )
        messages = [{"type": "http.request", "body": b"", "more_body": False}]
        context.sent = []

        async def receive() -> Any:
            if not messages:
                await trio.sleep_forever()
            return messages.pop()

        async def send(message: Any) -> None:
            context.sent.append(message)

        scope = {
            "method": METHODS[kind],
            "raw_path": b"/s/k",
            "query_string": b"",
            "headers": [(b"idempotency-key", b"k")],
        }
        await ingress.handle(scope, receive, send)

    @staticmethod
    @then('the ingress answers {status:d} with outcome "{outcome}"')
    def answers(context: Any, status: int, outcome: str) -> None:
        head = context.sent[0]
        seen = dict(head["headers"])[b"acaciasaddle-outcome"].decode()
        assert (head["status"], seen) == (status, outcome), context.sent
