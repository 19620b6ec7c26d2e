"""A routing node: its settings, its services and the function that runs it.

The names are imported when they are first used, so that the entry point can run before that.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from acaciasaddle.node._node import run_node
    from acaciasaddle.node._settings import NodeSettings
    from acaciasaddle.node._settings import load_node_settings

__all__ = ["NodeSettings", "load_node_settings", "run_node"]

_MODULES = {
    "NodeSettings": "acaciasaddle.node._settings",
    "load_node_settings": "acaciasaddle.node._settings",
    "run_node": "acaciasaddle.node._node",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)
