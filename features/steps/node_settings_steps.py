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
VALUES = {
    "node": "edge-1",
    "zone": "east",
    "ip": "10.1.0.35",
    "listen.front": "10.1.0.35:8144",
    "listen.readiness": "10.1.0.35:8140",
    "portRange": [7660, 7675],
    "platform.address": "10.200.1.7:8142",
}
NUMBER = 2


def _filled() -> str:
    def value(match: re.Match[str]) -> str:
        name, _, form = match.group(1).partition("|")
        found = VALUES.get(name, NUMBER)
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"{{([^}]+)}}", value, TEMPLATE.read_text())


def template_settings() -> NodeSettings:
    """Return the settings that the filled-in template gives."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(_filled())
        file.flush()
        return load_node_settings(file.name)


class NodeSettingsSteps:
    """Guards against a node that starts with settings that it reads wrongly."""

    @staticmethod
    def _load(context: Any, text: str) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            NodeSettingsSteps._read(context, file.name)

    @staticmethod
    def _read(context: Any, path: str) -> None:
        context.refused = ""
        try:
            context.settings = load_node_settings(path)
        except ConfigError as exc:
            context.refused = " ".join(exc.problems)

    @staticmethod
    @when("the node's template is filled in and read")
    def template(context: Any) -> None:
        NodeSettingsSteps._load(context, _filled())

    @staticmethod
    @when("the node's settings are read with {field} set to {value}")
    def changed(context: Any, field: str, value: str) -> None:
        lines = (line for line in _filled().splitlines() if not line.startswith("//"))
        settings = json.loads("\n".join(lines))
        settings[field] = json.loads(value)
        NodeSettingsSteps._load(context, json.dumps(settings))

    @staticmethod
    @when("the node's settings are read from a missing file")
    def missing(context: Any) -> None:
        NodeSettingsSteps._read(context, "/nonexistent/node.json")

    @staticmethod
    @then('the node\'s settings name the host "{host}" and the platform "{address}"')
    def valid(context: Any, host: str, address: str) -> None:
        assert not context.refused, context.refused
        assert context.settings.host_id == host
        assert context.settings.platform_address == address

    @staticmethod
    @then('the node\'s settings are refused for "{reason}"')
    def refused(context: Any, reason: str) -> None:
        assert reason in context.refused, context.refused

    @staticmethod
    @then("the node takes a free role after {seconds:g} s")
    def delay(context: Any, seconds: float) -> None:
        assert not context.refused, context.refused
        assert context.settings.capacity.takeover_delay_s == seconds
