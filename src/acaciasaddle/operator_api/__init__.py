"""Operator API: bodies, what a change would do, and the client."""

from __future__ import annotations

from acaciasaddle.operator_api._bodies import ChangeAccepted
from acaciasaddle.operator_api._bodies import ChangeRequest
from acaciasaddle.operator_api._bodies import HostProgress
from acaciasaddle.operator_api._bodies import KeyExplanation
from acaciasaddle.operator_api._bodies import Progress
from acaciasaddle.operator_api._bodies import Status
from acaciasaddle.operator_api._bodies import UpstreamStatus
from acaciasaddle.operator_api._bodies import from_json
from acaciasaddle.operator_api._bodies import to_json
from acaciasaddle.operator_api._client import OperatorClient
from acaciasaddle.operator_api._errors import ChangeConflictError
from acaciasaddle.operator_api._errors import ChangeNotConfirmedError
from acaciasaddle.operator_api._errors import HostUnreachableError
from acaciasaddle.operator_api._errors import OperatorApiError
from acaciasaddle.operator_api._plan import Change
from acaciasaddle.operator_api._plan import Configuration
from acaciasaddle.operator_api._plan import FieldChange
from acaciasaddle.operator_api._plan import GroupMoves
from acaciasaddle.operator_api._plan import Plan
from acaciasaddle.operator_api._plan import plan_change

__all__ = [
    "Change",
    "ChangeAccepted",
    "ChangeConflictError",
    "ChangeNotConfirmedError",
    "ChangeRequest",
    "Configuration",
    "FieldChange",
    "GroupMoves",
    "HostProgress",
    "HostUnreachableError",
    "KeyExplanation",
    "OperatorApiError",
    "OperatorClient",
    "Plan",
    "Progress",
    "Status",
    "UpstreamStatus",
    "from_json",
    "plan_change",
    "to_json",
]
