"""Preview of the effects of a configuration change."""

from __future__ import annotations

from acaciasaddle.plan._plan import Change
from acaciasaddle.plan._plan import FieldChange
from acaciasaddle.plan._plan import GroupMoves
from acaciasaddle.plan._plan import Plan
from acaciasaddle.plan._plan import make_plan

__all__ = ["Change", "FieldChange", "GroupMoves", "Plan", "make_plan"]
