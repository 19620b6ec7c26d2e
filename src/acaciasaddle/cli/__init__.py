"""Command line."""

from __future__ import annotations

import sys


def main() -> None:
    """Run an entry host with the settings file given as the second argument."""
    from acaciasaddle.config import load_settings
    from acaciasaddle.entry import run_entry_host

    run_entry_host(load_settings(sys.argv[2]))
