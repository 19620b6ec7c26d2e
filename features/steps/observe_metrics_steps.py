"""Steps of observe/metrics.feature."""

from __future__ import annotations

import ast
import re
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from behave import then

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parents[2]
TYPES = {"count": "counter", "timing": "timer", "gauge": "gauge"}
METRIC_ROW = re.compile(r"^\| `([a-z_.<>]+)` \| (\w+) \|", re.MULTILINE)


def sent_metrics(source: str) -> Iterator[tuple[str, str]]:
    """Yield the name and type of each metric sent by a module.

    Computed parts of names become ``<outcome>``.
    """
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        receiver = ast.unparse(node.func.value).rpartition(".")[2]
        if receiver not in ("metrics", "_metrics") or node.func.attr not in TYPES:
            continue
        name = node.args[0]
        parts = name.values if isinstance(name, ast.JoinedStr) else [name]
        text = "".join(
            part.value if isinstance(part, ast.Constant) else "<outcome>" for part in parts
        )
        yield text, TYPES[node.func.attr]


class ObserveMetricsSteps:
    """Guards against documentation of metrics that differs from the code."""

    @staticmethod
    @then("the documentation of metrics has the names and types that the code has")
    def matches_code(context: Any) -> None:
        modules = (ROOT / "src").rglob("*.py")
        code = {metric for path in modules for metric in sent_metrics(path.read_text())}
        docs = set(METRIC_ROW.findall((ROOT / "docs" / "metrics.md").read_text()))
        assert code, "no metric was found in the code"
        assert code == docs, f"only in the code: {code - docs}; only in the docs: {docs - code}"
