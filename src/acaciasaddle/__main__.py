"""Runs ``python -m acaciasaddle``."""

from __future__ import annotations

from acaciasaddle.cli import main

main()
