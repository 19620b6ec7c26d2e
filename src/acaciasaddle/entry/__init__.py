"""An entry host: its HTTP interfaces for callers and operators, and its process."""

from __future__ import annotations

from acaciasaddle.entry._host import EntryHost
from acaciasaddle.entry._host import HostDependencies
from acaciasaddle.entry._host import run_entry_host
from acaciasaddle.entry._ingress import Ingress

__all__ = ["EntryHost", "HostDependencies", "Ingress", "run_entry_host"]
