"""Entry point of ``python -m acaciasaddle``."""

from __future__ import annotations

from acaciasaddle.cli import main

main()
