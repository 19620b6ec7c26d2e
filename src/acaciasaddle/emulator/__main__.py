"""Entry point of ``python -m acaciasaddle.emulator``."""

from __future__ import annotations

from acaciasaddle.emulator.cli import main

main()
