"""Command line interface."""

from __future__ import annotations

from acaciasaddle.cli._main import main

__all__ = ["main"]
