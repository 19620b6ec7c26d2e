"""The command ``acaciasaddle-emulator``."""

from __future__ import annotations

from acaciasaddle.emulator.cli._main import main

__all__ = ["main"]
