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
ROW = re.compile(r"^\| `([a-z_.<>]+)` \| (\w+) \|", re.MULTILINE)


def sent(source: str) -> Iterator[tuple[str, str]]:
    """Yield name and type of the metrics in a module; computed parts become ``<outcome>``."""
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = ast.unparse(node.func.value).rpartition(".")[2]
        if owner not in ("metrics", "_metrics") or node.func.attr not in TYPES:
            continue
        name = node.args[0]
        parts = name.values if isinstance(name, ast.JoinedStr) else [name]
        text = "".join(
            part.value if isinstance(part, ast.Constant) else "<outcome>" for part in parts
        )
        yield text, TYPES[node.func.attr]


class ObserveMetricsSteps:
    """Guards the page of metrics."""

    @staticmethod
    @then("the page of metrics has the names and types that the code has")
    def same(context: Any) -> None:
        modules = (ROOT / "src").rglob("*.py")
        code = {found for path in modules for found in sent(path.read_text())}
        page = set(ROW.findall((ROOT / "docs" / "metrics.md").read_text()))
        assert code, "no metric was found in the code"
        assert code == page, f"only in the code: {code - page}; only on the page: {page - code}"
