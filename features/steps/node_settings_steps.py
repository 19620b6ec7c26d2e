"""Steps of node/settings.feature."""

from __future__ import annotations

import json
import re
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from behave import then
from behave import when

from acaciasaddle.errors import ConfigError
from acaciasaddle.node import load_node_settings

if TYPE_CHECKING:
    from acaciasaddle.node._settings import NodeSettings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "node.json.template"
TEMPLATE_VALUES = {
    "node": "edge-1",
    "zone": "east",
    "ip": "10.1.0.35",
    "listen.front": "10.1.0.35:8144",
    "listen.readiness": "10.1.0.35:8140",
    "portRange": [7660, 7675],
    "platform.address": "10.200.1.7:8142",
}
OTHER_VALUE = 2
"""Value of the placeholders that ``TEMPLATE_VALUES`` does not list, which are numbers."""


def _filled_template() -> str:
    def replacement(match: re.Match[str]) -> str:
        name, _, form = match.group(1).partition("|")
        value = TEMPLATE_VALUES.get(name, OTHER_VALUE)
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"{{([^}]+)}}", replacement, TEMPLATE.read_text())


def template_settings() -> NodeSettings:
    """Return the settings read from the filled-in template."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(_filled_template())
        file.flush()
        return load_node_settings(file.name)


class NodeSettingsSteps:
    """Guards against a node that starts with misread settings."""

    @staticmethod
    def _load(context: Any, text: str) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            NodeSettingsSteps._read(context, file.name)

    @staticmethod
    def _read(context: Any, path: str) -> None:
        context.problems = ""
        try:
            context.settings = load_node_settings(path)
        except ConfigError as exc:
            context.problems = " ".join(exc.problems)

    @staticmethod
    @when("the node's template is filled in and read")
    def template(context: Any) -> None:
        NodeSettingsSteps._load(context, _filled_template())

    @staticmethod
    @when("the node's settings are read with {field} set to {value}")
    def changed(context: Any, field: str, value: str) -> None:
        lines = (line for line in _filled_template().splitlines() if not line.startswith("//"))
        settings = json.loads("\n".join(lines))
        settings[field] = json.loads(value)
        NodeSettingsSteps._load(context, json.dumps(settings))

    @staticmethod
    @when("the node's settings are read with the bounds {text}")
    def bounds(context: Any, text: str) -> None:
        settings = json.loads(re.sub(r"^//.*$", "", _filled_template(), flags=re.MULTILINE))
        del settings["bounds"]
        content = json.dumps(settings).removesuffix("}")
        NodeSettingsSteps._load(context, f'{content}, "bounds": {text}}}')

    @staticmethod
    @then("the node's grace time is {grace:g} s and its repeat ratio {ratio:g}")
    def read_bounds(context: Any, grace: float, ratio: float) -> None:
        assert not context.problems, context.problems
        found = context.settings.bounds
        assert (found.grace_s, found.repeat_ratio) == (grace, ratio), found

    @staticmethod
    @when("the node's settings are read from a missing file")
    def missing(context: Any) -> None:
        NodeSettingsSteps._read(context, "/nonexistent/node.json")

    @staticmethod
    @then('the node\'s settings name the host "{host}" and the platform "{address}"')
    def valid(context: Any, host: str, address: str) -> None:
        assert not context.problems, context.problems
        assert context.settings.host_id == host
        assert context.settings.platform_address == address

    @staticmethod
    @then('the node\'s settings are refused for "{reason}"')
    def refused(context: Any, reason: str) -> None:
        assert reason in context.problems, context.problems

    @staticmethod
    @then("the node takes a free coordinator role after {seconds:g} s")
    def delay(context: Any, seconds: float) -> None:
        assert not context.problems, context.problems
        assert context.settings.capacity.takeover_delay_s == seconds
