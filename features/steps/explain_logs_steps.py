"""Steps of explain/logs.feature."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from behave import then
from behave import when
from click.testing import CliRunner

from acaciasaddle.cli import main

LOGS = Path(__file__).parents[1] / "data" / "logs"


class ExplainLogsSteps:
    """Guards against failures that cannot be explained from the logs."""

    @staticmethod
    @when('request "{request}" is explained from the logs "{names}"')
    def explain(context: Any, request: str, names: str) -> None:
        args = ["explain", "request", request]
        for name in names.split(", "):
            args += ["--logs", str(LOGS / f"{name}.log")]
        context.explained_text = CliRunner().invoke(main, args)
        context.explained_json = CliRunner().invoke(main, [*args, "--json"])

    @staticmethod
    def _content(context: Any) -> dict[str, Any]:
        assert context.explained_json.exit_code == 0, context.explained_json.output
        content: dict[str, Any] = json.loads(context.explained_json.output)
        return content

    @staticmethod
    @then('the explanation has the reason "{reason}"')
    @then('the explanation has the reason ""')
    def reason(context: Any, reason: str = "") -> None:
        assert ExplainLogsSteps._content(context)["reason"] == reason

    @staticmethod
    @then('the explanation shows "{event}" with "{text}"')
    def shows(context: Any, event: str, text: str) -> None:
        lines = context.explained_text.output.splitlines()
        assert any(event in line and text in line for line in lines), context.explained_text.output

    @staticmethod
    @then('the explanation does not show "{text}"')
    def does_not_show(context: Any, text: str) -> None:
        assert text not in context.explained_text.output, context.explained_text.output

    @staticmethod
    @then("the explanation counts {count:d} unreadable lines")
    def unreadable(context: Any, count: int) -> None:
        assert ExplainLogsSteps._content(context)["unreadable lines"] == count

    @staticmethod
    @then('the explanation fails with "{reason}"')
    def fails(context: Any, reason: str) -> None:
        assert context.explained_text.exit_code == 1
        assert reason in context.explained_text.output, context.explained_text.output
