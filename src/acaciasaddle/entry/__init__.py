"""An entry host: the HTTP side for callers and operators, and the process itself."""

from __future__ import annotations

from acaciasaddle.entry._host import EntryHost
from acaciasaddle.entry._host import HostDependencies
from acaciasaddle.entry._host import run_entry_host
from acaciasaddle.entry._ingress import Ingress

__all__ = ["EntryHost", "HostDependencies", "Ingress", "run_entry_host"]
