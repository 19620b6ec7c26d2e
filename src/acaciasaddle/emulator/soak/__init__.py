"""Soak test: runs real processes under load and random faults, and checks the router's promises."""

from __future__ import annotations

from acaciasaddle.emulator.soak._callers import DEADLINE_S
from acaciasaddle.emulator.soak._checks import Finding
from acaciasaddle.emulator.soak._checks import check_records
from acaciasaddle.emulator.soak._checks import judged_pauses
from acaciasaddle.emulator.soak._faults import RESTORE
from acaciasaddle.emulator.soak._faults import RESTORE_WITH_LATE_WRITES
from acaciasaddle.emulator.soak._faults import Fault
from acaciasaddle.emulator.soak._faults import draw_changes
from acaciasaddle.emulator.soak._faults import draw_faults
from acaciasaddle.emulator.soak._faults import draw_reloads
from acaciasaddle.emulator.soak._faults import draw_restores
from acaciasaddle.emulator.soak._faults import draw_stops
from acaciasaddle.emulator.soak._records import RecordFile
from acaciasaddle.emulator.soak._relay import Relay
from acaciasaddle.emulator.soak._relay import RelayFaults
from acaciasaddle.emulator.soak._restores import RestoreSummary
from acaciasaddle.emulator.soak._restores import summarize_restores
from acaciasaddle.emulator.soak._run import SoakOptions
from acaciasaddle.emulator.soak._run import SoakResult
from acaciasaddle.emulator.soak._run import run_soak

__all__ = [
    "DEADLINE_S",
    "RESTORE",
    "RESTORE_WITH_LATE_WRITES",
    "Fault",
    "Finding",
    "RecordFile",
    "Relay",
    "RelayFaults",
    "RestoreSummary",
    "SoakOptions",
    "SoakResult",
    "check_records",
    "draw_changes",
    "draw_faults",
    "draw_reloads",
    "draw_restores",
    "draw_stops",
    "judged_pauses",
    "run_soak",
    "summarize_restores",
]
