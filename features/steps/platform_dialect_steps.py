"""Steps of users_platform/dialect.feature."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when

from acaciasaddle.platform import PlatformDialect


class PauseSteps:
    """Guards against a pause that is missed, never ends or is not a number."""

    @staticmethod
    @when('an answer with status {status:d} has the Retry-After "{value}"')
    @when('an answer with status {status:d} has the Retry-After ""')
    def retry_after(context: Any, status: int, value: str = "") -> None:
        context.pause_s = PlatformDialect().requested_pause_s(status, {"retry-after": value})

    @staticmethod
    @when("an answer with status 503 has a Retry-After of 5000 digits")
    def long_value(context: Any) -> None:
        PauseSteps.retry_after(context, 503, "9" * 5000)

    @staticmethod
    @then("the upstream asks for a pause of {pause}")
    def pause(context: Any, pause: str) -> None:
        expected = None if pause == "none" else float(pause.removesuffix(" s"))
        assert context.pause_s == expected, context.pause_s


class LeavingMarkSteps:
    """Guards against a mark that is believed of an upstream that did not send it."""

    @staticmethod
    @when('an answer of {sender} with status {status:d} has the mark "{mark}"')
    def answer(context: Any, sender: str, status: int, mark: str) -> None:
        fields = {"server-leaving": mark}
        if sender != "none":
            fields["instance-id"] = sender
        context.leaves = PlatformDialect().is_leaving(status, fields, "u1")

    @staticmethod
    @then('upstream "u1" leaves')
    def leaves(context: Any) -> None:
        assert context.leaves

    @staticmethod
    @then('upstream "u1" does not leave')
    def stays(context: Any) -> None:
        assert not context.leaves
