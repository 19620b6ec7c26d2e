"""A routing node: its settings, its services and the function that runs it."""

from __future__ import annotations

from acaciasaddle.node._node import run_node
from acaciasaddle.node._settings import NodeSettings
from acaciasaddle.node._settings import load_node_settings

__all__ = ["NodeSettings", "load_node_settings", "run_node"]
